"""Checks of network addresses that other processes give."""

from __future__ import annotations

import ipaddress

__all__ = ['MAX_PORT', 'is_address']

MAX_PORT = 65_535

#: Maximum length of a port in characters, leading zeros included.
MAX_PORT_CHARACTERS = 5


def is_address(text: str) -> bool:
    """Whether a text is ``IP:port``; the IP of version 6 may stand in brackets."""
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_CHARACTERS):
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return True
