"""Listening sockets, also before the rest of the program is imported.

Importing takes a few tenths of a second on the users' machines.  A node that is
started again listens for clients before that: what they send waits in the
kernel, where it would find no connection otherwise.
"""

from __future__ import annotations

import configparser
import os
import socket

__all__ = ['SETTINGS_VARIABLE', 'listen', 'listen_early']

#: Where the platform tells a process the path of its settings.
SETTINGS_VARIABLE = 'COURSEPITCH_CONFIG'

#: New connections that wait to be accepted.
BACKLOG = 1024

_early: dict[tuple[str, int], socket.socket] = {}


def listen(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket; port 0 lets the OS choose."""
    early = _early.pop((address, port), None)
    if early is not None:
        return early
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def listen_early(arguments: list[str]) -> None:
    """Listen for clients if the command line is that of a node on the platform.

    Nothing is reported here: a file that can't be read, or an address that can't
    be bound, is found again and told of when the settings are checked in full.

    :param arguments: the command line, the program first.
    """
    if arguments[1:2] != ['serve']:
        return
    path = arguments[2] if len(arguments) > 2 else os.environ.get(SETTINGS_VARIABLE, '')
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding='utf-8')
        host, _, port = parser.get('listen', 'clients', fallback='').rpartition(':')
        if port.isdigit() and int(port):
            _early[host, int(port)] = listen(host, int(port))
    except (OSError, ValueError, configparser.Error):
        return
