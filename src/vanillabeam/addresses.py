"""Parsing and validation of network addresses in the form ``host:port``."""

import re

__all__ = ["is_address", "split_address"]

MAX_ADDRESS_CHARACTERS = 262
MAX_PORT = 65_535

_ADDRESS = re.compile(r"(?:\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z][0-9A-Za-z.-]*):([0-9]{1,5})")


def is_address(text: str) -> bool:
    """Return whether ``text`` is a valid ``host:port`` address.

    The host is a name, an IPv4 address or an IPv6 address in brackets.
    """
    if len(text) > MAX_ADDRESS_CHARACTERS:
        return False
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Split a ``host:port`` address into its host and its port.

    The brackets around an IPv6 host are removed.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
