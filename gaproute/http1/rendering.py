"""Responses as bytes, with the reason phrases of RFC 9110."""

REASONS = {
    100: "Continue",
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    414: "URI Too Long",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def render(status, headers, body, close):
    """An answer's bytes; `headers` are (name, value) pairs of bytes."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Other").encode())]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    lines.append(b"Content-Length: %d\r\n%s\r\n" % (len(body), b"Connection: close\r\n" if close else b""))
    return b"".join(lines) + body
