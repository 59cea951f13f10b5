"""Accessors for the answers of a gateway to clients."""


def outcome(answer):
    return answer.headers[b"gaproute-outcome"].decode()
