"""Bytes of peers that send without end, as clients of a WebSocket connection."""

from __future__ import annotations

CONTINUATION, TEXT, BINARY, PING, PONG = 0x0, 0x1, 0x2, 0x9, 0xA


def build_request(path='/', lines=()):
    """Return the request that opens a WebSocket connection.

    :param lines: further header lines.
    """
    head = [
        f'GET {path} HTTP/1.1',
        'Host: x',
        'Upgrade: websocket',
        'Connection: Upgrade',
        'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
        'Sec-WebSocket-Version: 13',
        *lines,
    ]
    return '\r\n'.join([*head, '', '']).encode()


def build_frame(opcode, data=b'', *, final=True, masked=True):
    """Return a frame of at most 125 bytes; clients mask theirs, with zeros here."""
    first = opcode | (0x80 if final else 0)
    size = len(data) | (0x80 if masked else 0)
    return bytes([first, size]) + (bytes(4) if masked else b'') + data
