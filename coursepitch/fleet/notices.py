"""What instances say of themselves in their answers, whatever was asked."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.fleet.rate_limits import RateLimits
    from coursepitch.fleet.rests import InstanceRests
    from coursepitch.fleet.view import FleetView
    from coursepitch.platform.headers import AnswerMarks

__all__ = ['InstanceNotices']


@dataclass(eq=False)
class InstanceNotices:
    """Reads every answer of an instance: to requests, questions and orders.

    :param me: name of this node.
    """

    me: str
    view: FleetView
    limits: RateLimits
    rests: InstanceRests
    #: Counts notices by kind.
    count: Callable[[str], None] = lambda kind: None
    _leaving: dict[str, int] = field(default_factory=dict)

    def take(self, name: str, marks: AnswerMarks) -> None:
        """Take what an answer says of the instance that was asked.

        One that says that the request belongs elsewhere is of another instance, unless
        it names itself.
        """
        if marks.misplaced and marks.instance != name:
            return
        self._take_rest(name, marks)
        self._take_leaving(name, marks)
        if not marks.misplaced:
            self._take_limit(name, marks)

    def _take_rest(self, name: str, marks: AnswerMarks) -> None:
        if marks.rest_s is None and marks.damaged_rest is None:
            return
        self.count('rest' if marks.rest_s is not None else 'damaged')
        if marks.rest_s is not None:
            self.rests.note(name, marks.rest_s)
        log.emit(
            events.INSTANCE_RESTING,
            instance=name,
            rest_s=marks.rest_s,
            value=marks.damaged_rest,
        )

    def _take_leaving(self, name: str, marks: AnswerMarks) -> None:
        found = self.view.instances.get(name)
        if not marks.leaving or found is None or self._leaving.get(name) == found.born:
            return
        self._leaving[name] = found.born
        self.count('leaving')
        log.emit(
            events.INSTANCE_SAYS_LEAVING,
            instance=name,
            born=found.born,
            read_by=self.me,
            listed_leaving=found.draining,
        )

    def _take_limit(self, name: str, marks: AnswerMarks) -> None:
        """Take what an answer says of the instance's limit.

        A rejection without one says nothing: it may come from an instance that is too
        busy to name it.
        """
        if marks.damaged_limit is not None:
            self.limits.note_damaged(name, marks.damaged_limit)
        if marks.limit is not None or (marks.signed and marks.damaged_limit is None):
            self.limits.note_answer(name, marks.limit)

    def forget(self, present: set[str]) -> None:
        """Drop what is known of instances that are gone."""
        for name in [name for name in self._leaving if name not in present]:
            del self._leaving[name]
