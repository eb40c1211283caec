"""Listening sockets."""

from __future__ import annotations

import socket

__all__ = ['listen']

#: New connections that wait to be accepted.
BACKLOG = 1024


def listen(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket; port 0 lets the OS choose."""
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
