"""Answers of servers in trouble that are none in the protocol, though they look like one."""

CRLF = b"\r\n"
# The parser refuses the last four by itself.
STATUSES = ("000", "001", "099", "101", "600", "700", "999", "0200", "20", "2000", "2x0")
PROTOCOLS = ("HTTP/2.0", "HTTP/0.9", "RTSP/1.0", "ICE/1.0")
CODINGS = ("chunked, identity", "xchunked", "gzip", "gzip, chunked", "chunked, chunked")
FIELD_NAMES = (b"X Y", b"X\x00Y", b"X\x01", b"\x07X", b"X\x7f", b"X\t", b"X ", b" X", b"X\xe9")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# A field of a name that no answer may have.
BLANK_IN_NAME = repr(FIELD_NAMES[0])


def malformed_answers(fields: bytes, body: bytes) -> dict[str, bytes]:
    """Return what looks like a 200 with some fields and a body, by what is wrong with it.

    Each field ends with its line.
    """
    ok = b"HTTP/1.1 200 OK\r\n" + fields
    length = b"Content-Length: %d\r\n" % len(body)
    rest = fields + length + CRLF + body
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    statuses = {one: b"HTTP/1.1 %b Status\r\n%b" % (one.encode(), rest) for one in STATUSES}
    protocols = {one: b"%b 200 OK\r\n%b" % (one.encode(), rest) for one in PROTOCOLS}
    codings = {
        one: ok + b"Transfer-Encoding: %b\r\n\r\n%b" % (one.encode(), chunks) for one in CODINGS
    }
    names = {repr(one): ok + length + one + b": 1\r\n\r\n" + body for one in FIELD_NAMES}
    behind = {
        "an interim answer": INTERIM + b"no answer",
        "an interim answer and a head": INTERIM + statuses["000"],
    }
    return statuses | protocols | codings | names | behind
