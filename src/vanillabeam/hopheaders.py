"""Headers that concern one connection and never go further."""

__all__ = ["HOP_BY_HOP", "strip_hop_by_hop"]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

Headers = list[tuple[bytes, bytes]]


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that go further, their names in lower case.

    Those that ``Connection`` names stay behind as well.
    """
    lowered = [(name.lower(), value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in lowered
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return [(name, value) for name, value in lowered if name not in dropped]
