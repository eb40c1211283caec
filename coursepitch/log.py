"""Structured log: numbered events as JSON lines through eliot."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from coursepitch.events import Event

__all__ = ['continue_tree', 'emit', 'open_log', 'start_tree', 'tree_id']


def open_log(path: str, node: str) -> None:
    """Send all events to a file, or to stderr when the path is empty."""
    file = open(path, 'a', buffering=1, encoding='utf-8') if path else sys.stderr  # noqa: SIM115
    eliot.to_file(file)
    eliot.add_global_fields(node=node)


def emit(event: Event, **fields: Any) -> None:
    """Write one event within the current action tree."""
    eliot.log_message(message_type=event.name, number=event.number, **fields)


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
