"""Client of the platform's key-value service, JSON over HTTP/1.1.

Only this module knows the service's wire format.  Each operation returns a typed
result; a failed call returns :class:`Unavailable` rather than raising.
"""

from __future__ import annotations

import base64
import contextlib
import math
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote, urlsplit

import anyio
import orjson

from coursepitch import events, log
from coursepitch.clock import Clock, boottime
from coursepitch.errors import CodecError
from coursepitch.http.client import ConnectionPool, ExchangeError, NoConnectionError
from coursepitch.util.decoding import raise_codec_errors

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from coursepitch.http.client import Connection, Response
    from coursepitch.metrics import Metrics

__all__ = [
    'Condition',
    'Conflict',
    'Entry',
    'Events',
    'KeyValue',
    'Rejected',
    'Swapped',
    'Unavailable',
    'Write',
    'compute_backoff_s',
    'swap_with_readback',
]

T = TypeVar('T')

#: Maximum size of a response in bytes: a page of keys is limited to 1 MB, which the
#: JSON and base64 encodings enlarge.
MAX_RESPONSE_BYTES = 8_388_608

#: Statuses that tell that a call took no effect; their bodies tell nothing more.
_REFUSALS = (429, 503)

#: Size in bytes, and time in seconds, up to which the body of a refusal is read so that
#: its connection can be used again.
MAX_REFUSAL_BYTES = 65_536
REFUSAL_TIMEOUT_S = 0.1

#: Maximum number of pages of a listing.  A page has some 500 keys, so this is ten times
#: as many as a platform of 10,000 instances has.
MAX_LIST_PAGES = 256

#: Maximum size of a listing in bytes, 64 pages of 1 MB; nodes have 300 MB of memory.
MAX_LIST_BYTES = 67_108_864

#: Maximum number of entries in a transaction.  Source: the platform's protocol.
MAX_TRANSACTION_ENTRIES = 32


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable response from the service; an expected result, not an exception.

    :param reason: the cause, for the log.
    :param maybe_applied: whether a write may have taken effect nevertheless.
    """

    reason: str
    maybe_applied: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The service understood a call but refused it.

    :param reason: the cause: an expired lease, or a key that may not be written.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value; ``revision`` 0 stands for an absent key.

    :param deleted_at: revision at which an absent key was deleted; 0 if unknown.
    """

    key: str
    value: str = ''
    revision: int = 0
    deleted_at: int = 0

    @property
    def present(self) -> bool:
        """Whether the key exists."""
        return self.revision > 0

    @property
    def changed_at(self) -> int:
        """Revision of the latest change of the key, including its deletion."""
        return self.revision or self.deleted_at


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition on the revision of a key; 0 requires the key to be absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A key to write, or to delete when the value is ``None``.

    :param lease: id of the lease whose end deletes the key; empty for none.
    """

    key: str
    value: str | None
    lease: str = ''


@dataclass(frozen=True, slots=True)
class Swapped:
    """A write took effect; ``revision`` is that of the store after it."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A write did not take effect because a precondition failed.

    :param current: first entry that violates its precondition.
    :param entries: all entries that the service returned.
    """

    current: Entry
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Events:
    """Result of a watch or a listing.

    :param entries: the changed keys; a deleted key has revision 0.
    :param revision: revision of the store from which to continue watching.
    :param complete: whether these are all keys instead of only the changed ones.
    """

    entries: tuple[Entry, ...]
    revision: int
    complete: bool = False


class CallRateLimiter:
    """Token bucket that limits the call rate of a node by delaying calls.

    :param rate: calls per second, and the largest burst in calls.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._updated_at = clock()

    def reserve(self) -> float:
        """Reserve one call and return the seconds to wait before making it."""
        now = self._clock()
        self._tokens += (now - self._updated_at) * self._rate
        self._tokens = min(self._tokens, self._rate) - 1
        self._updated_at = now
        return max(0.0, -self._tokens / self._rate)


class KeyValue:
    """Client of the key-value service.

    :param url: ``http://IP:port`` or ``IP:port``.
    :param timeout_s: timeout of a call in seconds; a watch adds its own wait.
    :param calls_per_s: maximum call rate of this client per second.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        calls_per_s: float,
        metrics: Metrics,
        clock: Clock = boottime,
    ) -> None:
        self._address = urlsplit(url).netloc or url
        self._pool = ConnectionPool(clock, connect_timeout_s=timeout_s)
        self._timeout_s = timeout_s
        self._rate_limiter = CallRateLimiter(calls_per_s, clock)
        self._metrics = metrics

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def get(self, key: str, wait_s: float = 0.0) -> Entry | Unavailable:
        """Read one key.

        :param wait_s: seconds to wait for the answer beyond the usual timeout.
        """
        target = f'/-/kv-key?tls_key={quote(key)}'
        response = await self._call('get', 'GET', target, wait_s=wait_s)
        if isinstance(response, Unavailable):
            return response
        status, data = response
        if status == 404:
            return Entry(key)
        return _decode(lambda: _decode_entry(data), 'get')

    async def list_prefix(self, prefix: str) -> Events | Unavailable:
        """Read all keys under a prefix.

        The pages do not form a snapshot.  The result carries the revision of the
        first page, so that a watch from there reports every later change.
        """
        entries: list[Entry] = []
        size = 0
        revision = -1
        after = ''
        for _ in range(MAX_LIST_PAGES):
            target = f'/-/kv-range?path_prefix={quote(prefix)}'
            if after:
                target += f'&after_rev={quote(after)}'
            response = await self._call('list', 'GET', target)
            if isinstance(response, Unavailable):
                return response
            page = _decode(partial(_decode_page, response[1]), 'list')
            if isinstance(page, Unavailable):
                return page
            found, page_revision, more = page
            entries += found
            revision = page_revision if revision < 0 else revision
            if not more or not found:
                return Events(tuple(entries), revision, complete=True)
            if found[-1].key == after:
                return Unavailable('list: a page repeats the one before')
            after = found[-1].key
            size += sum(len(entry.key) + len(entry.value) for entry in found)
            if size > MAX_LIST_BYTES:
                return Unavailable(f'list: larger than {MAX_LIST_BYTES} bytes')
        return Unavailable(f'list: more than {MAX_LIST_PAGES} pages')

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write] = ()
    ) -> Swapped | Conflict | Rejected | Unavailable:
        """Apply all writes atomically if all conditions hold.

        Without writes this only checks the conditions; the result was true at some
        moment after the call was sent.
        """
        body = {
            'expected_rev': [
                {'tls_key': item.key, 'revision': item.revision} for item in conditions
            ],
            'writes': [
                _encode_write(item) for item in writes if item.value is not None
            ],
            'delete': [item.key for item in writes if item.value is None],
        }
        operation = 'swap' if writes else 'confirm'
        response = await self._call(
            operation, 'POST', '/-/kv-txn', body, write=bool(writes)
        )
        if isinstance(response, Unavailable):
            return response
        status, data = response
        if status == 404:
            return Rejected('the lease has expired')
        if status == 412:
            found = _decode(lambda: _decode_entries(data['items']), operation)
            if isinstance(found, Unavailable):
                return found
            return Conflict(_find_conflict(conditions, found), found)
        return _decode(
            lambda: Swapped(int(data['revision'])), operation, write=bool(writes)
        )

    async def swap(
        self, key: str, value: str | None, expect: int, lease: str = ''
    ) -> Swapped | Conflict | Unavailable:
        """Write a key if its revision is the expected one; 0 if it must be absent.

        :param value: the new value, or ``None`` to delete the key.
        """
        condition, write = Condition(key, expect), Write(key, value, lease)
        result = await self.transact([condition], [write])
        if isinstance(result, Rejected):
            return Conflict(Entry(key))
        return result

    async def grant(self, ttl_s: float) -> str | Unavailable:
        """Create a lease and return its id."""
        body = {'ttl_ms': int(ttl_s * 1000)}
        response = await self._call(
            'lease/grant', 'POST', '/-/kv-lease', body, write=True
        )
        if isinstance(response, Unavailable):
            return response
        return _decode(
            lambda: str(int(response[1]['lease'])), 'lease/grant', write=True
        )

    async def renew(self, lease: str) -> bool | Unavailable:
        """Renew a lease; return ``False`` if it has expired."""
        response = await self._call('lease/renew', 'POST', f'/-/kv-keep/{lease}')
        return response if isinstance(response, Unavailable) else response[0] == 200

    async def revoke(self, lease: str) -> None | Unavailable:
        """Revoke a lease, which deletes its keys."""
        target = f'/-/kv-lease-end/{lease}'
        response = await self._call('lease/revoke', 'DELETE', target, write=True)
        return response if isinstance(response, Unavailable) else None

    async def watch(
        self, prefix: str, after: int, wait_s: float, *, new_connection: bool = False
    ) -> Events | Unavailable:
        """Wait for changes under a prefix after a revision of the store.

        If the store has compacted that revision, all keys are listed instead.

        :param wait_s: maximum time in seconds to wait for a change.
        :param new_connection: whether to open a new connection rather than reuse one.
        """
        target = (
            f'/-/kv-watch?path_prefix={quote(prefix)}'
            f'&after_rev={after}&wait_ms={int(wait_s * 1000)}'
        )
        response = await self._call(
            'watch', 'GET', target, wait_s=wait_s, new_connection=new_connection
        )
        if isinstance(response, Unavailable):
            return response
        status, data = response
        if status == 410:
            return await self.list_prefix(prefix)
        return _decode(
            lambda: Events(_decode_entries(data['events']), int(data['timestamp'])),
            'watch',
        )

    async def _call(
        self,
        operation: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        *,
        write: bool = False,
        wait_s: float = 0.0,
        new_connection: bool = False,
    ) -> tuple[int, Any] | Unavailable:
        """Call the service; return the status and the decoded body."""
        wait = self._rate_limiter.reserve()
        if wait > self._timeout_s:
            return Unavailable('rate limit for store calls of this node exceeded')
        if wait:
            await anyio.sleep(wait)
        self._metrics.kv_calls.inc({'operation': operation})
        sent = False
        try:
            with anyio.fail_after(self._timeout_s + wait_s):
                connection = await self._pool.acquire(
                    self._address, fresh=new_connection
                )
                sent = True
                return await self._exchange(
                    connection, operation, method, target, body, write=write
                )
        except NoConnectionError as error:
            return Unavailable(f'{operation}: {error}')
        except ExchangeError as error:
            return Unavailable(f'{operation}: {error}', write)
        except TimeoutError:
            return Unavailable(f'{operation}: timed out', write and sent)

    async def _exchange(
        self,
        connection: Connection,
        operation: str,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        *,
        write: bool,
    ) -> tuple[int, Any] | Unavailable:
        headers: tuple[tuple[bytes, bytes], ...] = ((b'Host', self._address.encode()),)
        content = b''
        if body is not None:
            headers += ((b'Content-Type', b'application/json'),)
            content = orjson.dumps(body)
        http_response = await self._pool.exchange(
            connection, method.encode(), target.encode(), headers, content
        )
        status = http_response.status
        try:
            if status in _REFUSALS:
                await _skip_body(http_response)
                return Unavailable(f'{operation}: status {status}')
            text = await http_response.read_whole(MAX_RESPONSE_BYTES)
        finally:
            http_response.release()
        if status not in (200, 404, 410, 412):
            return Unavailable(f'{operation}: status {status}', write)
        try:
            return status, orjson.loads(text) if text else {}
        except orjson.JSONDecodeError:
            if status == 200:
                return Unavailable(f'{operation}: invalid JSON', write)
            return status, {}


async def _skip_body(response: Response) -> None:
    """Read the body of a response, unless it is long or late."""
    with (
        contextlib.suppress(ExchangeError),
        anyio.move_on_after(REFUSAL_TIMEOUT_S),
    ):
        await response.read_whole(MAX_REFUSAL_BYTES)


def _encode_write(item: Write) -> dict[str, object]:
    value = base64.b64encode((item.value or '').encode()).decode()
    return {'tls_key': item.key, 'value': value, 'lease': int(item.lease or 0)}


def _decode(
    decode: Callable[[], T], operation: str, *, write: bool = False
) -> T | Unavailable:
    """Return the decoded response, or :class:`Unavailable` if it is malformed.

    :param write: whether the response says that a write took effect.
    """
    try:
        with raise_codec_errors(f'{operation}: malformed response'):
            return decode()
    except CodecError as error:
        return Unavailable(str(error), maybe_applied=write)


def _decode_entry(data: Any) -> Entry:
    key = str(data['tls_key'])
    if data.get('deleted') or not data.get('revision'):
        return Entry(key, deleted_at=int(data.get('revision') or 0))
    raw = base64.b64decode(data['value'])
    return Entry(key, raw.decode('utf-8', 'replace'), int(data['revision']))


def _decode_entries(items: Any) -> tuple[Entry, ...]:
    return tuple(_decode_entry(item) for item in items)


def _decode_page(data: Any) -> tuple[tuple[Entry, ...], int, bool]:
    entries = _decode_entries(data['items'])
    return entries, int(data['timestamp']), bool(data.get('has_more'))


def _find_conflict(conditions: Sequence[Condition], found: Sequence[Entry]) -> Entry:
    """Return the first entry that is not at its expected revision."""
    entries_by_key = {entry.key: entry for entry in found}
    for condition in conditions:
        entry = entries_by_key.get(condition.key, Entry(condition.key))
        if entry.revision != condition.revision:
            return entry
    return Entry(conditions[0].key if conditions else '')


async def swap_with_readback(
    kv: KeyValue, key: str, value: str, expect: int, lease: str = ''
) -> Swapped | Conflict | Unavailable:
    """Write a key and, if the response is lost, read it back to learn the result.

    The value must be unique to this writer, for example by a random nonce or a
    counter protected by compare-and-swap.
    """
    result = await kv.swap(key, value, expect, lease)
    if not isinstance(result, Unavailable) or not result.maybe_applied:
        return result
    entry = await kv.get(key)
    if isinstance(entry, Unavailable):
        return result
    if entry.present and entry.value == value:
        log.emit(events.SWAP_RESOLVED, key=key, won=True)
        return Swapped(entry.revision)
    if entry.revision == expect:
        # The write may still be in flight, so its result is unknown.
        return result
    log.emit(events.SWAP_RESOLVED, key=key, won=False)
    return Conflict(entry)


def compute_backoff_s(
    attempt: int, chance: float, base_s: float = 0.1, top_s: float = 3
) -> float:
    """Return the jittered exponential back-off before the next attempt, in seconds.

    :param attempt: number of attempts made so far.
    :param chance: random number from 0 to 1, spread over 25 to 100 % of the back-off.
    :param base_s: upper bound for attempt 0, in seconds; doubles with each attempt.
    :param top_s: upper bound for any attempt, in seconds.
    """
    ceiling = min(top_s, base_s * math.pow(2, min(attempt, 16)))
    return ceiling * (0.25 + 0.75 * chance)
