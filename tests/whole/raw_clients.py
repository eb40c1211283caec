"""Clients on plain sockets, for requests that libraries do not send."""

from __future__ import annotations

import contextlib
import socket
import time
from dataclasses import dataclass
from pathlib import Path

import h11

from tests.whole.platform_base import build_headers

__all__ = ['RawClient', 'Reply', 'build_request', 'wait_until']

#: Longest time in seconds that a client waits for bytes.
PATIENCE_S = 15.0


@dataclass(frozen=True, slots=True)
class Reply:
    """What a client got in response to one request.

    :param status: 0 if not even a head arrived.
    :param whole: whether the regular end of the response arrived.
    """

    status: int = 0
    body: bytes = b''
    whole: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def is_answered(self) -> bool:
        """Whether it is a whole response, or the refusal of one that did not run."""
        return self.whole and self.status in (200, 503)

    def says_close(self) -> bool:
        """Whether it announces the end of the connection."""
        return (b'connection', b'close') in self.headers


def build_request(method, path, request, *, chunked=False, **headers):
    """Return the bytes of a request; those of a chunked one lack its body.

    :param request: its id.
    """
    fields = build_headers(request, **headers)
    if chunked:
        fields['Transfer-Encoding'] = 'chunked'
    elif method == 'POST':
        fields['Content-Length'] = '1'
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    body = 'x' if method == 'POST' and not chunked else ''
    return '\r\n'.join([*lines, '', body]).encode()


def wait_until(at):
    """Wait until a time of the monotonic clock."""
    time.sleep(max(0.0, at - time.monotonic()))


class RawClient:
    """A connection to a node."""

    def __init__(self, node):
        self._sock = socket.create_connection(('127.0.0.1', node.ports['clients']))
        self._sock.settimeout(PATIENCE_S)
        self._rest = b''

    def send(self, data):
        """Send bytes unless the node has ended the connection."""
        with contextlib.suppress(OSError):
            self._sock.sendall(data)

    def was_read(self):
        """Whether the node has read all that was sent.

        Source: the receive queue of the node's side of the connection, proc(5).
        """
        port = f':{self._sock.getsockname()[1]:04X}'
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            _, _, remote, _, queues, *_ = line.split()
            if remote.endswith(port):
                return int(queues.partition(':')[2], 16) == 0
        return False

    def read(self):
        """Return the next response; what follows it is kept for the one after it."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
        parser.send(h11.EndOfMessage())
        status, body, headers = 0, b'', ()
        if self._rest:
            parser.receive_data(self._rest)
        self._rest = b''
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(self._sock.recv(65_536))
                elif isinstance(event, h11.Response):
                    status, headers = event.status_code, tuple(event.headers)
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._rest = parser.trailing_data[0]
                    return Reply(status, body, True, headers)
                elif isinstance(event, h11.ConnectionClosed):
                    return Reply(status, body, False, headers)
        except (OSError, h11.RemoteProtocolError):
            return Reply(status, body, False, headers)

    def ask(self, data):
        """Send a request and return its response."""
        self.send(data)
        return self.read()

    def close(self):
        """End the connection."""
        self._sock.close()
