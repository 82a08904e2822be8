"""Hop-by-hop HTTP headers, which a proxy must not forward (RFC 9110, 7.6.1)."""

__all__ = ["strip_hop_by_hop"]

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
    """Return the end-to-end headers, with their names in lower case.

    Headers that ``Connection`` lists are removed as well.
    """
    lowered = [(name.lower(), value) for name, value in headers]
    listed = {
        token.strip().lower()
        for name, value in lowered
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | listed
    return [(name, value) for name, value in lowered if name not in dropped]
