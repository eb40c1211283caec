"""Session of a node with the key-value service: lease, watch and configuration."""

from __future__ import annotations

import dataclasses
import json
import random
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.config.history import (
    Change,
    Configuration,
    Head,
    apply_changes,
    decode_head,
    decode_snapshot,
    encode_head,
    encode_snapshot,
    extend_head,
)
from coursepitch.control.view import ClusterView, Duty, Lease
from coursepitch.errors import CodecError, ConflictError, UnavailableError
from coursepitch.platform.kv import (
    Conflict,
    Entry,
    Events,
    Swapped,
    Unavailable,
    compute_backoff_s,
    swap_with_readback,
)
from coursepitch.platform.watch import follow_prefix
from coursepitch.util.topic import ObservableValue

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.config.resources import Key, Resource, Spec
    from coursepitch.config.settings import PlatformSettings
    from coursepitch.platform.kv import KeyValue

__all__ = ['DUTY_PREFIX', 'Session', 'parse_duty']

#: Maximum length of a number in the store, that of an integer of 64 bits.
MAX_DIGITS = 20

WATCH_PREFIX = 'c/'
HEAD_KEY = 'c/config'
SNAPSHOT_MARK_KEY = 'c/snapshot'
DUTY_PREFIX = 'c/duty/'
LIVE_PREFIX = 'c/live/'
SNAPSHOT_KEY = 'snapshot/config'

#: Number of changes after which a new snapshot is written.
SNAPSHOT_INTERVAL = 8

#: Longest time for an answer that confirms the configuration, as a share of the time
#: for which a confirmation counts.  Its age begins with the question, so that two such
#: answers in a row leave no gap.
CONFIRM_TIMEOUT_SHARE = 0.45

#: Maximum number of attempts at a write that conflicts with concurrent writers; after
#: the last one, the write fails.
MAX_WRITE_ATTEMPTS = 8


class Session:
    """Maintains the node's view of the cluster and publishes it in ``view``."""

    def __init__(
        self, name: str, kv: KeyValue, settings: PlatformSettings, clock: Clock
    ) -> None:
        self._name = name
        self._kv = kv
        self._settings = settings
        self._clock = clock
        self._service_up = True
        self._ending = False
        self._changes: dict[int, Change] = {}
        self.view = ObservableValue(ClusterView())

    async def run(self) -> None:
        """Maintain the lease and the watch and refresh the contact until cancelled.

        A contact is a confirmation by the service that the revision in force is the
        newest.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._maintain_lease)
            group.start_soon(self._run_watch)
            group.start_soon(self._refresh_contact)

    @property
    def is_up(self) -> bool:
        """Whether the service answered the last lease request."""
        return self._service_up

    # -- updates from peers and other tasks --------------------------------

    def merge_changes(self, changes: tuple[Change, ...], source: str) -> None:
        """Apply changes received from the service or a peer."""
        held = self.view.value.configuration
        configuration = apply_changes(held, changes)
        if configuration.revision > held.revision:
            self._cache_changes(changes)
            cause = next(
                item.cause
                for item in changes
                if item.revision == configuration.revision
            )
            with log.continue_action(cause, 'config.apply'):
                self._apply_configuration(configuration, source)

    def merge_configuration(self, configuration: Configuration, source: str) -> None:
        """Replace the configuration if the given one is newer."""
        if configuration.revision > self.view.value.configuration.revision:
            self._apply_configuration(configuration, source)

    def record_contact(self, contact_at: float) -> None:
        """Record when the service confirmed the revision in force.

        :param contact_at: monotonic time in seconds.
        """
        held = self.view.value.contact_at
        if held is None or contact_at > held:
            self._update_view(contact_at=contact_at)

    def add_duty(self, duty: str, holder: str, lease: str) -> None:
        """Add a duty that this node acquired, before the watch reports it."""
        duties = {**self.view.value.duties, duty: Duty(holder, lease)}
        self._update_view(duties=duties)

    def remove_duty(self, duty: str) -> None:
        """Remove a duty from the view before its key is deleted."""
        duties = dict(self.view.value.duties)
        duties.pop(duty, None)
        self._update_view(duties=duties)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return all changes after a revision, or ``None`` if not all are cached."""
        newest = self.view.value.configuration.revision
        wanted = range(revision + 1, newest + 1)
        if any(number not in self._changes for number in wanted):
            return None
        return tuple(self._changes[number] for number in wanted)

    def _cache_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            self._changes[change.revision] = change
        while len(self._changes) > 256:
            del self._changes[min(self._changes)]

    def _apply_configuration(self, configuration: Configuration, source: str) -> None:
        self._update_view(configuration=configuration)
        log.emit(events.CONFIG_IN_FORCE, revision=configuration.revision, source=source)

    def _update_view(self, **changes: object) -> None:
        self.view.set(dataclasses.replace(self.view.value, **changes))  # type: ignore[arg-type]

    # -- configuration writes -------------------------------------------------

    async def record(
        self, key: Key, spec: Spec | None, expect: int | None = None
    ) -> Resource | int:
        """Write a change; return the resource, or the revision of a deletion.

        :param spec: new specification; ``None`` deletes the resource.
        :param expect: expected current resource version; 0 if the resource must
            not exist, ``None`` to skip the check.
        :raises ConflictError: the resource version differs, or concurrent writers
            won every attempt.
        :raises UnavailableError: the service did not return a usable answer.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            head, entry = await self.read_head()
            held = self.view.value.configuration.resources.get(key)
            version = held.revision if held else 0
            if expect is not None and expect != version:
                raise ConflictError(
                    f'{key} has resource version {version}, not {expect}'
                )
            if held and spec is not None and held.spec == spec:
                return held
            if held is None and spec is None:
                return head.revision
            generation = (held.generation if held else 0) + 1
            snapshot = self.view.value.snapshot_revision
            new_head = extend_head(
                head, snapshot, key, spec, generation, log.current_task_id()
            )
            result = await swap_with_readback(
                self._kv, HEAD_KEY, encode_head(new_head), entry.revision
            )
            if isinstance(result, Unavailable):
                raise UnavailableError(
                    result.reason, maybe_applied=result.maybe_applied
                )
            if isinstance(result, Conflict):
                continue
            log.emit(
                events.CONFIG_RECORDED, revision=new_head.revision, resource=str(key)
            )
            self.merge_changes(new_head.changes, 'own write')
            if spec is None:
                return new_head.revision
            return self.view.value.configuration.resources[key]
        raise ConflictError(f'{key}: too many concurrent writers, try again')

    async def read_head(self, wait_s: float = 0.0) -> tuple[Head, Entry]:
        """Read and apply the head of the change history, and record the contact.

        :param wait_s: seconds to wait for the answer beyond the usual timeout.
        :raises CodecError: the head or the snapshot is damaged.
        :raises UnavailableError: the service did not return a usable answer.
        """
        asked_at = self._clock()
        entry = await self._kv.get(HEAD_KEY, wait_s)
        if isinstance(entry, Unavailable):
            raise UnavailableError(entry.reason)
        head = decode_head(entry.value) if entry.present else Head()
        await self._apply_head(head)
        if self.view.value.configuration.revision >= head.revision:
            self.record_contact(asked_at)
            self._update_view(own_contact_at=asked_at)
        return head, entry

    async def _apply_head(self, head: Head) -> None:
        if head.floor > self.view.value.configuration.revision:
            entry = await self._kv.get(SNAPSHOT_KEY)
            if isinstance(entry, Unavailable):
                raise UnavailableError(entry.reason)
            if entry.present:
                self.merge_configuration(decode_snapshot(entry.value), 'snapshot')
        self.merge_changes(head.changes, 'service')

    async def write_snapshot(self) -> None:
        """Write a snapshot after every ``SNAPSHOT_INTERVAL`` changes."""
        view = self.view.value
        configuration = view.configuration
        if configuration.revision - view.snapshot_revision < SNAPSHOT_INTERVAL:
            return
        entry = await self._kv.get(SNAPSHOT_KEY)
        if isinstance(entry, Unavailable):
            return
        if entry.present:
            held = decode_snapshot(entry.value).revision
            if held >= configuration.revision:
                await self._mark_snapshot(held)
                return
        text = encode_snapshot(configuration)
        result = await swap_with_readback(self._kv, SNAPSHOT_KEY, text, entry.revision)
        if isinstance(result, Swapped):
            await self._mark_snapshot(configuration.revision)

    async def _mark_snapshot(self, revision: int) -> None:
        entry = await self._kv.get(SNAPSHOT_MARK_KEY)
        if isinstance(entry, Unavailable):
            return
        if parse_number(entry.value) < revision:
            await swap_with_readback(
                self._kv, SNAPSHOT_MARK_KEY, str(revision), entry.revision
            )

    # -- lease ---------------------------------------------------------------

    async def _maintain_lease(self) -> None:
        attempt = 0
        while not self._ending:
            lease = self.view.value.lease
            succeeded = (
                await self._renew_lease(lease)
                if lease.name
                else await self._grant_lease()
            )
            attempt = 0 if succeeded else attempt + 1
            pause_s = self._settings.lease_s / 3
            if not succeeded:
                pause_s = min(pause_s, compute_backoff_s(attempt, random.random()))
            await anyio.sleep(pause_s)

    async def _grant_lease(self) -> bool:
        asked_at = self._clock()
        name = await self._kv.grant(self._settings.lease_s)
        if isinstance(name, Unavailable):
            self._mark_unavailable(name)
            return False
        self._mark_available()
        self._update_view(lease=Lease(name, asked_at + self._settings.lease_s))
        if await self._write_live_entry(name):
            return True
        # Without its live entry the node counts as dead and takes no duties, even
        # while the lease is valid.  Request a new lease and write the entry again.
        self._update_view(lease=Lease())
        return False

    async def _write_live_entry(self, lease: str) -> bool:
        key = LIVE_PREFIX + self._name
        entry = await self._kv.get(key)
        if isinstance(entry, Unavailable):
            return False
        result = await swap_with_readback(self._kv, key, lease, entry.revision, lease)
        return isinstance(result, Swapped)

    async def _renew_lease(self, lease: Lease) -> bool:
        asked_at = self._clock()
        renewed = await self._kv.renew(lease.name)
        if self._ending:
            return True
        if isinstance(renewed, Unavailable):
            self._mark_unavailable(renewed)
            return False
        self._mark_available()
        if not renewed:
            log.emit(events.LEASE_LOST)
            self._update_view(lease=Lease())
            return False
        deadline = asked_at + self._settings.lease_s
        self._update_view(lease=Lease(lease.name, deadline))
        return True

    async def revoke_lease(self) -> None:
        """Revoke the lease so that other nodes can take over the duties at once."""
        self._ending = True
        lease = self.view.value.lease
        self._update_view(lease=Lease())
        if lease.name:
            await self._kv.revoke(lease.name)

    def _mark_unavailable(self, state: Unavailable) -> None:
        if self._service_up:
            self._service_up = False
            log.emit(events.SERVICE_LOST, reason=state.reason)

    def _mark_available(self) -> None:
        if not self._service_up:
            self._service_up = True
            log.emit(events.SERVICE_BACK)

    # -- watch and contact ---------------------------------------------------

    async def _run_watch(self) -> None:
        wait_s = self._settings.watch_s
        await follow_prefix(self._kv, WATCH_PREFIX, wait_s, self._apply_events)

    async def _apply_events(self, found: Events) -> None:
        view = self.view.value
        duties = {} if found.complete else dict(view.duties)
        live = {} if found.complete else dict(view.live)
        for entry in found.entries:
            if entry.key == HEAD_KEY and entry.present:
                await self._apply_head(decode_head(entry.value))
            elif entry.key == SNAPSHOT_MARK_KEY and entry.present:
                self._update_view(snapshot_revision=parse_number(entry.value))
            elif entry.key.startswith(DUTY_PREFIX):
                _set_duty(duties, entry)
            elif entry.key.startswith(LIVE_PREFIX):
                _set_live(live, entry)
        self._update_view(duties=duties, live=live, is_loaded=True)

    async def _refresh_contact(self) -> None:
        bound_s = self._settings.confirm_bound_s
        period = bound_s / 3
        wait_s = max(0.0, bound_s * CONFIRM_TIMEOUT_SHARE - self._settings.timeout_s)
        while True:
            before = self.view.value.contact_at
            if self._needs_contact(period):
                try:
                    await self.read_head(wait_s)
                except (UnavailableError, CodecError):
                    await anyio.sleep(period / 4)
                    continue
                if self._needs_contact(period) and before != self.view.value.contact_at:
                    # The service is slow: the next answer will be as old.
                    continue
            await anyio.sleep(period * (0.5 + 0.5 * random.random()))

    def _needs_contact(self, period: float) -> bool:
        """Whether the last contact is about a period old, or there was none."""
        contact_at = self.view.value.contact_at
        return contact_at is None or self._clock() - contact_at >= period * 0.9


def parse_number(text: str) -> int:
    """Parse a decimal number; return 0 if it is missing or damaged."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else 0


def _set_duty(duties: dict[str, Duty], entry: Entry) -> None:
    name = entry.key.removeprefix(DUTY_PREFIX)
    if not entry.present:
        duties.pop(name, None)
        return
    duty = parse_duty(entry.value)
    if duty is not None:
        duties[name] = duty


def parse_duty(text: str) -> Duty | None:
    """Parse a duty from JSON text; return ``None`` if it is damaged."""
    try:
        data = json.loads(text)
        return Duty(str(data['holder']), str(data['lease']))
    except (KeyError, TypeError, ValueError, RecursionError):
        return None


def _set_live(live: dict[str, str], entry: Entry) -> None:
    name = entry.key.removeprefix(LIVE_PREFIX)
    if entry.present:
        live[name] = entry.value
    else:
        live.pop(name, None)
