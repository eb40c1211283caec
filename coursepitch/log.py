"""Structured logging: numbered events as JSON lines, written with eliot."""

from __future__ import annotations

import collections
import os
import sys
import traceback
from typing import TYPE_CHECKING, Any

import anyio
import eliot
import orjson

from coursepitch import events

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from coursepitch.events import Event

__all__ = [
    'BoundedOutput',
    'continue_action',
    'current_task_id',
    'describe_error',
    'emit',
    'open_log',
    'open_output',
    'start_action',
]


#: Maximum number of lines buffered for standard output; further lines are dropped.
MAX_BUFFERED_LINES = 5_000

#: Seconds between two flushes of the buffer.
FLUSH_INTERVAL_S = 0.05

#: Maximum length of a logged traceback in characters; its end is kept.
MAX_TRACEBACK_CHARS = 4_000

#: Maximum size of one write to standard output in bytes.  Linux writes up to PIPE_BUF
#: bytes to a pipe atomically, so lines of several writers are not interleaved.
MAX_WRITE_BYTES = 4_096


class BoundedOutput:
    """Bounded buffer of log lines that writes to standard output without blocking.

    When the reader is slow, new lines are dropped and counted.  The number of dropped
    lines is logged as soon as the buffer has space.

    :param descriptor: file descriptor in non-blocking mode to which lines are written.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self._line_added: anyio.Event | None = None
        self.dropped = 0

    def add_message(self, message: dict[str, Any]) -> None:
        """Buffer a message from eliot."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=str) + b'\n')
        if self._line_added is not None:
            self._line_added.set()

    def flush(self) -> None:
        """Write as many buffered lines as standard output accepts without blocking."""
        if self.dropped and len(self._lines) < MAX_BUFFERED_LINES:
            count, self.dropped = self.dropped, 0
            emit(events.LINES_DROPPED, count=count)
        while self._lines or self._unwritten:
            data = self._unwritten
            while self._lines and len(data) + len(self._lines[0]) <= MAX_WRITE_BYTES:
                data += self._lines.popleft()
            if not data:
                data = self._lines.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, and there is no other place to log to.
                self._unwritten = b''
                self._lines.clear()
                return
            self._unwritten = data[written:]
            if self._unwritten:
                return

    async def run(self) -> None:
        """Flush the buffer periodically until cancelled."""
        while True:
            if not self._lines and not self._unwritten:
                self._line_added = anyio.Event()
                await self._line_added.wait()
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()


def open_output(node: str) -> BoundedOutput:
    """Send all events to standard output and return the buffer.

    The caller runs :meth:`BoundedOutput.run` in a task.

    :param node: name of the node, added to each event.
    """
    output = BoundedOutput()
    os.set_blocking(1, False)
    eliot.add_destinations(output.add_message)
    eliot.add_global_fields(node=node)
    return output


def open_log(path: str, node: str) -> None:
    """Append all events to a file, or write them to stderr if the path is empty.

    :param node: name of the node, added to each event.
    """
    file = open(path, 'a', buffering=1, encoding='utf-8') if path else sys.stderr  # noqa: SIM115
    eliot.to_file(file)
    eliot.add_global_fields(node=node)


def emit(event: Event, **fields: Any) -> None:
    """Log an event within the current eliot action."""
    eliot.log_message(message_type=event.name, number=event.number, **fields)


def describe_error(error: BaseException) -> dict[str, str]:
    """Return an exception and its traceback as fields of an event."""
    lines = traceback.format_exception(error)
    return {'error': repr(error), 'traceback': ''.join(lines)[-MAX_TRACEBACK_CHARS:]}


def start_action(name: str, **fields: Any) -> AbstractContextManager[Any]:
    """Start an eliot action, as a child of the current one if there is one."""
    action: AbstractContextManager[Any] = eliot.start_action(action_type=name, **fields)
    return action


def continue_action(task_id: str, name: str) -> AbstractContextManager[Any]:
    """Continue an eliot task that another process started.

    :param task_id: serialized id of the task; a new action is started if it is empty.
    :param name: type of the action.
    """
    if not task_id:
        return start_action(name)
    action: AbstractContextManager[Any] = eliot.Action.continue_task(
        task_id=task_id.encode(), action_type=name
    )
    return action


def current_task_id() -> str:
    """Return the serialized id with which another process can continue the task.

    It is empty outside an action.
    """
    action = eliot.current_action()
    return '' if action is None else str(action.serialize_task_id().decode())
