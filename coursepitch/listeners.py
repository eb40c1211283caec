"""Listening sockets, which can be opened before the rest of the program is imported.

Importing the program takes a few tenths of a second on the users' machines.  A
restarted node listens for clients before that, so that connections wait in the
backlog of the kernel instead of being refused.
"""

from __future__ import annotations

import configparser
import os
import socket

__all__ = ['SETTINGS_PATH_VARIABLE', 'listen', 'listen_early']

#: Environment variable in which the platform passes the path of the settings file.
SETTINGS_PATH_VARIABLE = 'COURSEPITCH_CONFIG'

#: Maximum number of connections that wait to be accepted.
BACKLOG = 1024

_preopened: dict[tuple[str, int], socket.socket] = {}


def listen(address: str, port: int) -> socket.socket:
    """Return a non-blocking listening TCP socket.

    A socket that :func:`listen_early` opened for this address is returned once.

    :param port: port to bind; 0 lets the operating system choose one.
    :raises OSError: the address cannot be bound.
    """
    preopened = _preopened.pop((address, port), None)
    if preopened is not None:
        return preopened
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def listen_early(arguments: list[str]) -> None:
    """Listen for clients if the command line starts a node on the platform.

    Errors are ignored here.  An unreadable file or an address that cannot be bound is
    reported later, when the settings are fully validated.

    :param arguments: the command line, starting with the program.
    """
    if arguments[1:2] != ['serve']:
        return
    path = (
        arguments[2]
        if len(arguments) > 2
        else os.environ.get(SETTINGS_PATH_VARIABLE, '')
    )
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding='utf-8')
        host, _, port = parser.get('listen', 'clients', fallback='').rpartition(':')
        if port.isdigit() and int(port):
            _preopened[host, int(port)] = listen(host, int(port))
    except (OSError, ValueError, configparser.Error):
        return
