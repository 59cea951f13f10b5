"""What a test reads of a gateway's answers to clients."""


def outcome(answer):
    return answer.headers[b"gaproute-outcome"].decode()
