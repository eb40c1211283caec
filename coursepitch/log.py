"""Structured log: numbered events as JSON lines through eliot."""

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
    'continue_tree',
    'describe',
    'emit',
    'open_log',
    'open_output',
]
__all__ += ['start_tree', 'tree_id']


#: Lines that wait for standard output; further ones are dropped and counted.
WAITING_LINES = 5_000

#: Seconds between two writes of what waits.
FLUSH_S = 0.05

#: Characters of a traceback that are logged, from its end.
TRACEBACK_CHARS = 4_000

#: Bytes written to standard output at once.  Source: a pipe takes so many as a
#: whole (PIPE_BUF on Linux), so that lines of several writers don't mix.
WRITE_BYTES = 4_096


class BoundedOutput:
    """Lines on their way to standard output, which never hold the process up.

    When the reader is slow, the newest lines are dropped and counted, and a
    line tells how many as soon as there is room.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self._came: anyio.Event | None = None
        self.dropped = 0

    def take(self, message: dict[str, Any]) -> None:
        """Take an event as eliot makes it."""
        if len(self._lines) >= WAITING_LINES:
            self.dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=str) + b'\n')
        if self._came is not None:
            self._came.set()

    def flush(self) -> None:
        """Write what standard output takes now."""
        if self.dropped and len(self._lines) < WAITING_LINES:
            count, self.dropped = self.dropped, 0
            emit(events.LINES_DROPPED, count=count)
        while self._lines or self._rest:
            data = self._rest
            while self._lines and len(data) + len(self._lines[0]) <= WRITE_BYTES:
                data += self._lines.popleft()
            if not data:
                data = self._lines.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is no other place for a log line.
                self._rest = b''
                self._lines.clear()
                return
            self._rest = data[written:]
            if self._rest:
                return

    async def run(self) -> None:
        """Write what came, now and then, until cancelled."""
        while True:
            if not self._lines and not self._rest:
                self._came = anyio.Event()
                await self._came.wait()
            await anyio.sleep(FLUSH_S)
            self.flush()


def open_output(node: str) -> BoundedOutput:
    """Send all events to standard output; the caller runs what is returned."""
    output = BoundedOutput()
    os.set_blocking(1, False)
    eliot.add_destinations(output.take)
    eliot.add_global_fields(node=node)
    return output


def open_log(path: str, node: str) -> None:
    """Send all events to a file, or to stderr when the path is empty."""
    file = open(path, 'a', buffering=1, encoding='utf-8') if path else sys.stderr  # noqa: SIM115
    eliot.to_file(file)
    eliot.add_global_fields(node=node)


def emit(event: Event, **fields: Any) -> None:
    """Write one event within the current action tree."""
    eliot.log_message(message_type=event.name, number=event.number, **fields)


def describe(error: BaseException) -> dict[str, str]:
    """Return an error and where it was raised, as fields of an event."""
    lines = traceback.format_exception(error)
    return {'error': repr(error), 'traceback': ''.join(lines)[-TRACEBACK_CHARS:]}


def start_tree(name: str, **fields: Any) -> AbstractContextManager[Any]:
    """Start an action tree, or a branch of the current one."""
    action: AbstractContextManager[Any] = eliot.start_action(action_type=name, **fields)
    return action


def continue_tree(task_id: str, name: str) -> AbstractContextManager[Any]:
    """Continue a tree that another process started; start one if there is none."""
    if not task_id:
        return start_tree(name)
    action: AbstractContextManager[Any] = eliot.Action.continue_task(
        task_id=task_id.encode(), action_type=name
    )
    return action


def tree_id() -> str:
    """Return the name under which another process can continue the tree."""
    action = eliot.current_action()
    return '' if action is None else str(action.serialize_task_id().decode())
