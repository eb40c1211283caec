"""Key-value service of the platform: port, adapter over HTTP, settling of writes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from coursepitch import events, log
from coursepitch.clock import Clock, monotonic

if TYPE_CHECKING:
    from coursepitch.metrics import Metrics

__all__ = [
    'Conflict',
    'Entry',
    'Events',
    'KeyValue',
    'Swapped',
    'Unavailable',
    'settle_swap',
]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service gave no usable answer; a normal state, not an exception.

    :param maybe_applied: whether a write may have taken effect all the same.
    """

    reason: str
    maybe_applied: bool = False


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value; ``revision`` 0 stands for an absent key."""

    key: str
    value: str = ''
    revision: int = 0

    @property
    def present(self) -> bool:
        """Whether the key exists."""
        return self.revision > 0


@dataclass(frozen=True, slots=True)
class Swapped:
    """A write took effect at a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A write did not take effect; ``current`` is what is there."""

    current: Entry


@dataclass(frozen=True, slots=True)
class Events:
    """What a watch or a listing gave.

    :param entries: changed keys; a deleted one has revision 0.
    :param revision: revision of the store from which to watch on.
    :param complete: whether these are all keys, not only the changed ones.
    """

    entries: tuple[Entry, ...]
    revision: int
    complete: bool = False


class CallBudget:
    """Calls a second that a node may make; those beyond it wait.

    :param rate: calls a second; the same number may come at once.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._seen = clock()

    def take(self) -> float:
        """Take one call and return the seconds to wait before it."""
        now = self._clock()
        self._tokens += (now - self._seen) * self._rate
        self._tokens = min(self._tokens, self._rate) - 1
        self._seen = now
        return max(0.0, -self._tokens / self._rate)


class KeyValue:
    """Adapter to the service over HTTP.

    Each operation returns a typed value, :class:`Unavailable` among them.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        calls_per_s: float,
        metrics: Metrics,
        clock: Clock = monotonic,
    ) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=timeout_s)
        self._timeout_s = timeout_s
        self._budget = CallBudget(calls_per_s, clock)
        self._metrics = metrics

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str) -> Entry | Unavailable:
        """Read one key."""
        data = await self._call('get', {'key': key})
        if isinstance(data, Unavailable):
            return data
        return _read_entry(data['entry'], key)

    async def list_prefix(self, prefix: str) -> Events | Unavailable:
        """Read all keys under a prefix."""
        data = await self._call('list', {'prefix': prefix})
        if isinstance(data, Unavailable):
            return data
        entries = tuple(_read_entry(item, '') for item in data['entries'])
        return Events(entries, int(data['revision']), complete=True)

    async def swap(
        self, key: str, value: str | None, expect: int, lease: str = ''
    ) -> Swapped | Conflict | Unavailable:
        """Write a key if its revision is the expected one; 0 expects none.

        :param value: the new value, or ``None`` to delete the key.
        """
        body = {'key': key, 'value': value, 'expect': expect, 'lease': lease}
        data = await self._call('swap', body, write=True)
        if isinstance(data, Unavailable):
            return data
        if data['swapped']:
            return Swapped(int(data['revision']))
        return Conflict(_read_entry(data['current'], key))

    async def grant(self, ttl_s: float) -> str | Unavailable:
        """Create a lease and return its name."""
        data = await self._call('lease/grant', {'ttl_s': ttl_s}, write=True)
        return data if isinstance(data, Unavailable) else str(data['lease'])

    async def renew(self, lease: str) -> bool | Unavailable:
        """Renew a lease; ``False`` says that it lapsed."""
        data = await self._call('lease/renew', {'lease': lease}, write=True)
        return data if isinstance(data, Unavailable) else bool(data['renewed'])

    async def revoke(self, lease: str) -> None | Unavailable:
        """End a lease and delete its keys."""
        data = await self._call('lease/revoke', {'lease': lease}, write=True)
        return data if isinstance(data, Unavailable) else None

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Events | Unavailable:
        """Wait for changes under a prefix after a revision of the store."""
        body = {'prefix': prefix, 'after': after, 'wait_s': wait_s}
        data = await self._call('watch', body, wait_s=wait_s)
        if isinstance(data, Unavailable):
            return data
        if data.get('compacted'):
            return await self.list_prefix(prefix)
        entries = tuple(_read_entry(item, '') for item in data['events'])
        return Events(entries, int(data['revision']))

    async def _call(
        self, path: str, body: dict[str, Any], *, write: bool = False, wait_s: float = 0
    ) -> Any:
        wait = self._budget.take()
        if wait > self._timeout_s:
            return Unavailable('call budget of this node is used up')
        if wait:
            await anyio.sleep(wait)
        self._metrics.kv_calls.inc({'operation': path})
        timeout = self._timeout_s + wait_s
        try:
            reply = await self._client.post(f'/{path}', json=body, timeout=timeout)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Unavailable(f'{path}: {type(error).__name__}')
        except httpx.HTTPError as error:
            return Unavailable(f'{path}: {type(error).__name__}', write)
        if reply.status_code != 200:
            return Unavailable(f'{path}: status {reply.status_code}', write)
        try:
            return reply.json()
        except ValueError:
            return Unavailable(f'{path}: no JSON', write)


def _read_entry(data: Any, key: str) -> Entry:
    if data is None:
        return Entry(key)
    if data['value'] is None:
        return Entry(str(data['key']))
    return Entry(str(data['key']), str(data['value']), int(data['revision']))


async def settle_swap(
    kv: KeyValue, key: str, value: str, expect: int, lease: str = ''
) -> Swapped | Conflict | Unavailable:
    """Swap and settle a lost answer by reading the key back.

    The value has to carry something that only this writer writes, such as a
    random nonce or a counter that compare-and-swap protects.
    """
    result = await kv.swap(key, value, expect, lease)
    if not isinstance(result, Unavailable) or not result.maybe_applied:
        return result
    entry = await kv.get(key)
    if isinstance(entry, Unavailable):
        return result
    if entry.present and entry.value == value:
        log.emit(events.SWAP_SETTLED, key=key, won=True)
        return Swapped(entry.revision)
    if entry.revision == expect:
        # The write may still be on its way; whoever asked has to look again.
        return result
    log.emit(events.SWAP_SETTLED, key=key, won=False)
    return Conflict(entry)


def back_off(
    attempt: int, chance: float, base_s: float = 0.1, top_s: float = 3
) -> float:
    """Return a jittered wait in seconds before a further attempt.

    :param attempt: attempts made so far, from 0.
    :param chance: a random number from 0 to 1 (full jitter).
    """
    ceiling = min(top_s, base_s * math.pow(2, min(attempt, 16)))
    return ceiling * (0.25 + 0.75 * chance)
