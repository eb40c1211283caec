"""Stand-in for the platform's key-value service, with its faults.

It speaks the published protocol of the platform's metadata store: items with
revisions, conditional transactions, leases, watches and a bounded history.
Faults are set by ``POST /fault`` with a mode: ``down``, ``slow`` (the operations in
``paths``, or all), ``drop_answers`` (of the operations in ``paths``), ``late`` (writes
are done after ``delay_s``, unanswered), ``silent`` (watches hear nothing), ``stale``
(serializable reads are old), ``forget`` (history is dropped at once) and ``refuse``
(429).  ``POST /silence`` lets the connections of pending watches go silent for good,
while new ones work.
"""

from __future__ import annotations

import base64
import collections
import contextlib
import time
from typing import TYPE_CHECKING, Any

import anyio
from starlette.applications import Starlette
from starlette.routing import Route

from standins.common import answer, build_parser, read_json, run

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response

VALUE_LIMIT = 1_048_576
HISTORY = 4096
PAGE = 500
ENTRY_LIMIT = 32


class Store:
    """Items with revisions, leases and a bounded history of events."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 0
        self.forgotten = 0
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=HISTORY
        )
        self.changed = anyio.Event()
        #: Number of times that the connections of pending watches went silent.
        self.silences = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.listings: collections.Counter[str] = collections.Counter()
        self.fault: dict[str, Any] = {'mode': 'none'}
        self.old_items: dict[str, dict[str, Any]] = {}

    def expire(self) -> None:
        """Drop lapsed leases and what hangs on them."""
        now = time.monotonic()
        lapsed = {name for name, (_, end) in self.leases.items() if end <= now}
        for name in lapsed:
            del self.leases[name]
        keys = [key for key, item in self.items.items() if item['lease'] in lapsed]
        if keys:
            self.apply([], keys)

    def apply(self, writes: list[dict[str, Any]], delete: list[str]) -> int:
        """Carry out the entries of a transaction at one revision."""
        self.revision += 1
        for write in writes:
            key = write['tls_key']
            created = self.items.get(key, {}).get('created', self.revision)
            item = {
                'tls_key': key,
                'value': write['value'],
                'revision': self.revision,
                'created': created,
                'lease': int(write.get('lease') or 0),
            }
            self.items[key] = item
            self._note(item)
        for key in delete:
            if self.items.pop(key, None) is not None:
                self._note({'tls_key': key, 'revision': self.revision, 'deleted': True})
        self.wake()
        return self.revision

    def _note(self, event: dict[str, Any]) -> None:
        if len(self.events) == HISTORY:
            self.forgotten = self.events[0]['revision']
        self.events.append(event)

    def wake(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = anyio.Event()

    def forget(self) -> None:
        """Drop the history."""
        self.events.clear()
        self.forgotten = self.revision
        self.wake()

    def since(self, prefix: str, after: int) -> list[dict[str, Any]] | None:
        """Return the events after a revision, or ``None`` when some are gone."""
        if after < self.forgotten:
            return None
        return [
            event
            for event in self.events
            if event['revision'] > after and event['tls_key'].startswith(prefix)
        ]

    def check(self, conditions: list[dict[str, Any]]) -> bool:
        """Return whether all conditions hold."""
        return all(
            self.items.get(row['tls_key'], {}).get('revision', 0) == row['revision']
            for row in conditions
        )


def find_problem(store: Store, data: dict[str, Any]) -> tuple[Any, int] | None:
    """Return the answer to a transaction that can't be carried out."""
    writes, delete = data.get('writes', []), data.get('delete', [])
    conditions = data.get('expected_rev', [])
    if len(writes) + len(delete) + len(conditions) > ENTRY_LIMIT:
        return {'error': 'too many entries'}, 400
    keys = [write['tls_key'] for write in writes] + list(delete)
    if any(key.startswith(('op/', 'servers/')) for key in keys):
        return {'error': 'not allowed'}, 403
    if any(len(base64.b64decode(item['value'])) > VALUE_LIMIT for item in writes):
        return {'error': 'too large'}, 413
    if not store.check(conditions):
        found = [
            store.items.get(row['tls_key'], {'tls_key': row['tls_key'], 'revision': 0})
            for row in conditions
        ]
        return {'items': found}, 412
    leases = {int(write.get('lease') or 0) for write in writes} - {0}
    if leases - set(store.leases):
        return {'error': 'no such lease'}, 404
    return None


def build_app(store: Store) -> Starlette:
    """Return the application over a store."""

    async def read_key(request: Request) -> tuple[Any, int]:
        item = store.items.get(request.query_params['tls_key'])
        if item is None:
            return {'error': 'no such key'}, 404
        return {**item, 'timestamp': store.revision}, 200

    async def read_range(request: Request) -> tuple[Any, int]:
        prefix = request.query_params.get('path_prefix', '')
        store.listings[prefix] += 1
        after = request.query_params.get('after_rev', '')
        items = store.items
        if request.query_params.get('serializable') == '1':
            items = store.old_items if store.fault['mode'] == 'stale' else items
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        found = [items[key] for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return {'items': found, 'has_more': more, 'timestamp': store.revision}, 200

    async def transact(request: Request) -> tuple[Any, int]:
        data = await read_json(request)
        if store.fault['mode'] == 'late' and (data['writes'] or data['delete']):
            store.calls['late'] += 1
            await anyio.sleep(store.fault.get('delay_s', 2))
        problem = find_problem(store, data)
        if problem is not None:
            return problem
        writes, delete = data.get('writes', []), data.get('delete', [])
        if not writes and not delete:
            return {'revision': store.revision}, 200
        return {'revision': store.apply(writes, delete)}, 200

    async def grant(request: Request) -> tuple[Any, int]:
        ttl_ms = int((await read_json(request))['ttl_ms'])
        store.revision += 1
        ttl_s = ttl_ms / 1000
        store.leases[store.revision] = (ttl_s, time.monotonic() + ttl_s)
        return {'lease': store.revision, 'ttl_ms': ttl_ms}, 200

    async def renew(request: Request) -> tuple[Any, int]:
        name = int(request.path_params['lease'])
        held = store.leases.get(name)
        if held is None:
            return {'error': 'no such lease'}, 404
        store.leases[name] = (held[0], time.monotonic() + held[0])
        return {'ttl_ms': int(held[0] * 1000)}, 200

    async def revoke(request: Request) -> tuple[Any, int]:
        name = int(request.path_params['lease'])
        if name in store.leases:
            store.leases[name] = (0.0, 0.0)
        store.expire()
        return {}, 200

    async def watch(request: Request) -> tuple[Any, int]:
        prefix = request.query_params.get('path_prefix', '')
        after = int(request.query_params['after_rev'])
        found: list[dict[str, Any]] | None = []
        silences = store.silences
        with anyio.move_on_after(int(request.query_params['wait_ms']) / 1000):
            while True:
                silent = store.fault['mode'] == 'silent'
                found = [] if silent else store.since(prefix, after)
                if found is None or found or store.fault['mode'] == 'down':
                    break
                await store.changed.wait()
                if store.silences > silences:
                    await anyio.sleep_forever()
        if found is None:
            return {'error': 'history is gone'}, 410
        stamp = max([after, *(event['revision'] for event in found)])
        return {'events': found, 'timestamp': stamp}, 200

    def route(path: str, method: str, name: str, operation: Any) -> Route:
        async def endpoint(request: Request) -> Response:
            store.calls[name] += 1
            fault = store.fault
            if fault['mode'] == 'down':
                return answer({'error': 'down'}, 503)
            if fault['mode'] == 'refuse':
                return answer({'error': 'too many calls'}, 429)
            if fault['mode'] == 'slow' and name in fault.get('paths', (name,)):
                await anyio.sleep(fault.get('delay_s', 5))
            result, status = await operation(request)
            if fault['mode'] == 'drop_answers' and name in fault['paths']:
                store.calls['dropped'] += 1
                return answer({'error': 'answer lost'}, 504)
            return answer(result, status)

        return Route(path, endpoint, methods=[method])

    async def set_fault(request: Request) -> Response:
        store.fault = await read_json(request)
        if store.fault['mode'] == 'stale':
            store.old_items = dict(store.items)
        if store.fault['mode'] == 'forget':
            store.forget()
        store.wake()
        return answer({})

    async def silence(request: Request) -> Response:
        store.silences += 1
        return answer({})

    async def put_as_operator(request: Request) -> Response:
        """Write a key that the system may not write."""
        data = await read_json(request)
        value = base64.b64encode(data['value'].encode()).decode()
        writes = [{'tls_key': data['key'], 'value': value}]
        return answer({'revision': store.apply(writes, [])})

    async def delete_as_operator(request: Request) -> Response:
        """Delete a key that the system may not write."""
        data = await read_json(request)
        return answer({'revision': store.apply([], [data['key']])})

    async def show(request: Request) -> Response:
        entries = {
            key: {**item, 'value': base64.b64decode(item['value']).decode()}
            for key, item in store.items.items()
        }
        stats = {'calls': store.calls, 'listings': store.listings}
        return answer({**stats, 'entries': entries})

    routes = [
        route('/-/kv-key', 'GET', 'get', read_key),
        route('/-/kv-range', 'GET', 'list', read_range),
        route('/-/kv-txn', 'POST', 'swap', transact),
        route('/-/kv-watch', 'GET', 'watch', watch),
        route('/-/kv-lease', 'POST', 'lease/grant', grant),
        route('/-/kv-keep/{lease}', 'POST', 'lease/renew', renew),
        route('/-/kv-lease-end/{lease}', 'DELETE', 'lease/revoke', revoke),
        Route('/fault', set_fault, methods=['POST']),
        Route('/silence', silence, methods=['POST']),
        Route('/operator', put_as_operator, methods=['POST']),
        Route('/operator', delete_as_operator, methods=['DELETE']),
        Route('/stats', show, methods=['GET']),
    ]

    async def expire_leases() -> None:
        while True:
            store.expire()
            await anyio.sleep(0.1)

    return Starlette(routes=routes, lifespan=_run_beside(expire_leases))


def _run_beside(task: Any) -> Any:
    """Return a lifespan that runs a task beside the application."""

    @contextlib.asynccontextmanager
    async def lifespan(app: Any) -> Any:
        async with anyio.create_task_group() as group:
            group.start_soon(task)
            yield
            group.cancel_scope.cancel()

    return lifespan


def main() -> None:
    """Run the stand-in."""
    options = build_parser(__doc__ or '').parse_args()
    run(build_app(Store()), options.port)


if __name__ == '__main__':
    main()
