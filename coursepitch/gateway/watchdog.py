"""Detection of dead members of groups whose streams stall.

A group with a dead member continues to accept requests for seconds but does not
respond.  So when a stream stalls, the node probes all members of its group at once.  A
member that fails to respond twice is reported to all nodes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.control import Probe
from coursepitch.fleet.pause_detector import TimeoutFilter
from coursepitch.gateway.reply_times import ReplyTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.control import InstanceControl
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.session import FleetSession
    from coursepitch.fleet.view import OpenGroup

__all__ = ['RECHECK_S', 'Stall', 'Watchdog']

#: Seconds for which the result of probing a group is cached.  The loss of a member
#: that has just responded may go unnoticed for as long; a shorter time multiplies the
#: probes, each of which has its own connection, when responses are lost.
PROBE_CACHE_S = 0.8

#: Seconds for which a group counts as silent without another probe when a second run
#: of a request is about to begin, or when its head sends data, and seconds for which a
#: second run waits for the probe.  Live instances respond within a few milliseconds.
RECHECK_S = 0.3
RECHECK_TIMEOUT_S = 0.06

#: Seconds for which a single stream may stall while others of the same head progress.
SINGLE_STREAM_STALL_S = 1.5

#: Seconds for which this node avoids a group with an unresponsive member, whatever
#: other nodes report.
GROUP_AVOIDANCE_S = 4.0


class Stall(enum.Enum):
    """Why a run that makes no progress is suspected of having failed.

    :cvar SILENT: a member of its group does not answer this node.
    :cvar REPORTED: a member of its group is known to be lost.
    :cvar CUT_OFF: this node lost its paths to the instances.
    :cvar OVERDUE: all members of its group answer.
    """

    SILENT = 'a member of the group is silent'
    REPORTED = 'a member of the group is reported lost'
    CUT_OFF = 'the node lost its paths'
    OVERDUE = 'overdue'

    @property
    def is_silence(self) -> bool:
        """Whether a member of the group does not answer."""
        return self in (Stall.SILENT, Stall.REPORTED)


@dataclass(frozen=True, slots=True)
class _Avoidance:
    """A group that is avoided.

    :param since: monotonic time at which it was last probed.
    :param until: monotonic time until which it is avoided.
    :param members: names of the members that did not respond.
    :param ended: whether the process of one of them is proven to be gone.
    """

    group: OpenGroup
    since: float
    until: float
    members: tuple[str, ...]
    ended: bool


class Watchdog:
    """Probe the members of groups, with one probe per group at a time.

    :param was_cut_off_after: whether this node has lost its paths to the instances
        since a monotonic time.
    """

    def __init__(
        self,
        session: FleetSession,
        control: InstanceControl,
        clock: Clock,
        was_cut_off_after: Callable[[float], bool] = lambda since: False,
    ) -> None:
        self._was_cut_off_after = was_cut_off_after
        self._session = session
        self._control = control
        self._clock = clock
        self._cached_results: dict[tuple[str, int], tuple[float, bool]] = {}
        self._pending: dict[tuple[str, int], anyio.Event] = {}
        self._avoided: dict[tuple[str, int], _Avoidance] = {}
        self._last_activity: dict[str, float] = {}
        #: Avoided groups to probe once their heads send data.
        self._unsure: dict[str, _Avoidance] = {}
        self._to_probe: list[OpenGroup] = []
        self._unreported: dict[str, bool] = {}
        self._has_work = anyio.Event()
        #: Called with a head that this node does not reach directly.
        self.on_unreached: Callable[[FleetInstance], None] = lambda instance: None
        #: Response times of models, for the timeouts.
        self.reply_times = ReplyTimes()

    async def run(self) -> None:
        """Report lost members, and probe avoided groups, until cancelled.

        A report waits for the store, which stalled runs must not.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_work.wait()
                self._has_work = anyio.Event()
                due, self._unreported = self._unreported, {}
                for name, ended in due.items():
                    report = partial(self._session.losses.report, name, ended=ended)
                    tasks.start_soon(report)
                groups, self._to_probe = self._to_probe, []
                for group in groups:
                    tasks.start_soon(self._check_members, group, 0.0)

    def is_avoided(self, group: OpenGroup) -> bool:
        """Whether a member of the group recently failed to respond.

        It counts as responding again once it sends data or a node tells so.  What the
        head sends tells nothing of another member, as it may have been sent before.
        """
        key = (group.claim.name, group.claim.epoch)
        found = self._avoided.get(key)
        if found is None:
            return False
        lost, active_at = self._session.view.lost, self._last_activity
        if found.until <= self._clock() or all(
            lost.has_answered_since(name, found.since)
            or active_at.get(name, float('-inf')) > found.since
            for name in found.members
        ):
            del self._avoided[key]
            return False
        return True

    def has_ended_member(self, group: OpenGroup) -> bool:
        """Whether the process of a member is proven to be gone."""
        lost = self._session.view.lost
        if any(lost.has_ended(item.name) for item in group.members):
            return True
        # Reports are ignored for a moment after the instance has answered.
        key = (group.claim.name, group.claim.epoch)
        return self.is_avoided(group) and self._avoided[key].ended

    def note_activity(self, head: str) -> None:
        """Record that a head sent data on any stream of this node.

        The group is probed if it is avoided because of another member.
        """
        now = self._last_activity[head] = self._clock()
        found = self._unsure.get(head)
        if found is not None and now - found.since >= RECHECK_S:
            del self._unsure[head]
            if self._avoided.get((found.group.claim.name, found.group.claim.epoch)):
                self._to_probe.append(found.group)
                self._has_work.set()

    def find_quiet_left_s(self, head: str, since: float, quiet_limit_s: float) -> float:
        """Return the seconds left before the group of a silent head is probed.

        :param since: monotonic time at which the waiting stream last progressed.
        :param quiet_limit_s: longest silence of the head in seconds.
        """
        now = self._clock()
        heard = max(since, self._last_activity.get(head, float('-inf')))
        return min(heard + quiet_limit_s, since + SINGLE_STREAM_STALL_S) - now

    def is_lost(self, group: OpenGroup) -> bool:
        """Whether any node reported a member as lost."""
        lost = self._session.view.lost
        return any(lost.has(item.name) for item in group.members)

    async def wait_quiet_limit(self, group: OpenGroup, since: float) -> float:
        """Wait until a run may be silent for long, or a member is reported lost.

        Nothing else needs to be checked before: other limits are longer.

        :param since: monotonic time at which the waiting request last progressed.
        :return: the same, or the end of the last pause of this process after it.
        """
        limit_s = self.reply_times.find_first_quiet_limit_s(group.claim.model)
        timeouts = TimeoutFilter()
        now = self._clock()
        if not timeouts.holds(limit_s, now - since):
            since = now
        while not self.is_lost(group):
            left_s = since + limit_s - self._clock()
            if left_s <= 0:
                break
            since = await self._wait_changed(left_s, since, timeouts)
        return since

    async def wait_until_unresponsive(self, group: OpenGroup, since: float) -> Stall:
        """Wait until a member of a group is found unresponsive by any node.

        :param since: monotonic time at which the waiting request last progressed.
        """
        timeouts = TimeoutFilter()
        while not self.is_lost(group):
            quiet_limit_s = self.reply_times.find_first_quiet_limit_s(group.claim.model)
            left_s = self.find_quiet_left_s(group.head.name, since, quiet_limit_s)
            if left_s > 0:
                since = await self._wait_changed(left_s, since, timeouts)
                continue
            stall = await self.find_stall(group, since)
            if stall is not None:
                return stall
            since = self._clock()
        return Stall.REPORTED

    async def _wait_changed(
        self, limit_s: float, since: float, timeouts: TimeoutFilter
    ) -> float:
        """Wait until the view changes, up to a limit.

        :return: ``since``, or the time now if this process has paused.
        """
        asked_at = self._clock()
        await self._session.wait_changed(limit_s)
        now = self._clock()
        return since if timeouts.holds(limit_s, now - asked_at) else now

    async def find_stall(
        self, group: OpenGroup, since: float = float('inf')
    ) -> Stall | None:
        """Return why a stream of a group may be stalled, or ``None``.

        :param since: monotonic time at which the stream last progressed.
        """
        if self.is_lost(group):
            return Stall.REPORTED
        if self._was_cut_off_after(since):
            return Stall.CUT_OFF
        return None if await self._check_members(group) else Stall.SILENT

    async def check_members(
        self, group: OpenGroup, since: float = float('inf')
    ) -> bool:
        """Return whether all members of a group respond; probe them if necessary.

        :param since: monotonic time at which the stream that waits last progressed.
        :return: ``False`` as well if the connection of the stream is lost.
        """
        return await self.find_stall(group, since) is None

    async def answers_again(self, group: OpenGroup) -> bool:
        """Whether all members of a suspected group respond to this node at once.

        What other nodes report of them does not count.
        """
        answers = False
        if not self.has_ended_member(group):
            with anyio.move_on_after(RECHECK_TIMEOUT_S):
                answers = await self._check_members(group, RECHECK_S)
        return answers

    async def _check_members(
        self, group: OpenGroup, cached_for_s: float = PROBE_CACHE_S
    ) -> bool:
        """Probe the members of a group unless they were probed recently."""
        key = (group.claim.name, group.claim.epoch)
        while (pending := self._pending.get(key)) is not None:
            await pending.wait()
        asked_at, all_respond = self._cached_results.get(key, (float('-inf'), True))
        if self._clock() - asked_at < cached_for_s:
            return all_respond
        done = self._pending[key] = anyio.Event()
        try:
            all_respond = await self._probe_members(group)
        finally:
            del self._pending[key]
            done.set()
        if all_respond:
            self._avoided.pop(key, None)
        self._forget_old()
        self._cached_results[key] = (self._clock(), all_respond)
        return all_respond

    def _forget_old(self) -> None:
        """Drop what no longer counts, which may be of groups that are gone."""
        now = self._clock()
        self._cached_results = {
            key: item
            for key, item in self._cached_results.items()
            if now - item[0] < PROBE_CACHE_S
        }
        self._avoided = {
            key: item for key, item in self._avoided.items() if item.until > now
        }
        self._unsure = {
            name: item for name, item in self._unsure.items() if item.until > now
        }
        self._last_activity = {
            name: at
            for name, at in self._last_activity.items()
            if now - at < GROUP_AVOIDANCE_S
        }

    def _was_restarted(self, instance: FleetInstance) -> bool:
        """Whether another process is listed under the name of an instance."""
        listed = self._session.view.instances.get(instance.name)
        return listed is not None and listed.born != instance.born

    async def _probe_members(self, group: OpenGroup) -> bool:
        found: dict[str, Probe] = {}

        async def ask(instance: FleetInstance) -> None:
            found[instance.name] = await self._control.probe(instance)

        async with anyio.create_task_group() as tasks:
            for instance in group.members:
                tasks.start_soon(ask, instance)
        silent = [name for name, probe in found.items() if probe is not Probe.ANSWERS]
        unreached = {
            name
            for name, probe in found.items()
            if probe in (Probe.INDIRECT, Probe.NO_PATH)
        }
        lost = [name for name in silent if name not in unreached]
        log.emit(
            events.INSTANCE_PROBED,
            group=group.claim.name,
            silent=silent,
            refused=[name for name in silent if found[name] is Probe.REFUSED],
            answered=len(found) - len(silent),
        )
        if lost:
            key = (group.claim.name, group.claim.epoch)
            now = self._clock()
            ended = {
                item.name
                for item in group.members
                if item.name in lost
                and found[item.name].proves_end
                and not self._was_restarted(item)
            }
            avoidance = _Avoidance(
                group, now, now + GROUP_AVOIDANCE_S, tuple(lost), bool(ended)
            )
            self._avoided[key] = avoidance
            if lost != [group.head.name]:
                self._unsure[group.head.name] = avoidance
            self._unreported.update({name: name in ended for name in lost})
            self._has_work.set()
        if group.head.name in unreached:
            self.on_unreached(group.head)
        return not lost and group.head.name not in unreached
