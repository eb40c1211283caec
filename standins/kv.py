"""Stand-in for the platform's key-value service: swap, leases, watches, faults."""

from __future__ import annotations

import collections
import secrets
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


class Store:
    """Keys with revisions, leases and a bounded history of events."""

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.revision = 0
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=HISTORY
        )
        self.changed = anyio.Event()
        self.calls: collections.Counter[str] = collections.Counter()
        self.fault: dict[str, Any] = {'mode': 'none'}

    def expire(self) -> None:
        """Drop lapsed leases and what hangs on them."""
        now = time.monotonic()
        lapsed = {name for name, (_, end) in self.leases.items() if end <= now}
        for name in lapsed:
            del self.leases[name]
        if lapsed:
            for key, entry in list(self.entries.items()):
                if entry['lease'] in lapsed:
                    self.put(key, None, '')

    def put(self, key: str, value: str | None, lease: str) -> int:
        """Write or delete a key and tell the watches."""
        self.revision += 1
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = {
                'key': key,
                'value': value,
                'revision': self.revision,
                'lease': lease,
            }
        self.events.append({'key': key, 'value': value, 'revision': self.revision})
        self.changed.set()
        self.changed = anyio.Event()
        return self.revision

    def since(self, prefix: str, after: int) -> list[dict[str, Any]] | None:
        """Return the events after a revision, or ``None`` when some are gone."""
        if self.events and self.events[0]['revision'] > after + 1:
            return None
        return [
            event
            for event in self.events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


def build_app(store: Store) -> Starlette:
    """Return the application over a store."""

    async def get(data: Any) -> Any:
        entry = store.entries.get(data['key'])
        return {'entry': entry, 'revision': store.revision}

    async def list_entries(data: Any) -> Any:
        found = [
            store.entries[key]
            for key in sorted(store.entries)
            if key.startswith(data['prefix'])
        ]
        return {'entries': found, 'revision': store.revision}

    async def swap(data: Any) -> Any:
        key, value, lease = data['key'], data['value'], data.get('lease', '')
        current = store.entries.get(key)
        held = current['revision'] if current else 0
        too_large = value is not None and len(value) > VALUE_LIMIT
        if too_large or (lease and lease not in store.leases):
            return {'swapped': False, 'current': current, 'refused': True}
        if data['expect'] != held:
            return {'swapped': False, 'current': current}
        return {'swapped': True, 'revision': store.put(key, value, lease)}

    async def grant(data: Any) -> Any:
        name = secrets.token_hex(8)
        ttl = float(data['ttl_s'])
        store.leases[name] = (ttl, time.monotonic() + ttl)
        return {'lease': name}

    async def renew(data: Any) -> Any:
        held = store.leases.get(data['lease'])
        if held is None:
            return {'renewed': False}
        store.leases[data['lease']] = (held[0], time.monotonic() + held[0])
        return {'renewed': True}

    async def revoke(data: Any) -> Any:
        if data['lease'] in store.leases:
            store.leases[data['lease']] = (0.0, 0.0)
        store.expire()
        return {}

    async def watch(data: Any) -> Any:
        with anyio.move_on_after(float(data['wait_s'])):
            while True:
                found = store.since(data['prefix'], data['after'])
                if found is None:
                    return {'compacted': True, 'revision': store.revision}
                if found or store.fault['mode'] == 'down':
                    break
                await store.changed.wait()
        found = store.since(data['prefix'], data['after']) or []
        return {'events': found, 'revision': store.revision}

    def route(path: str, operation: Any) -> Route:
        async def endpoint(request: Request) -> Response:
            store.calls[path] += 1
            data = await read_json(request)
            fault = store.fault
            if fault['mode'] == 'down':
                return answer({'error': 'down'}, 503)
            if fault['mode'] == 'slow':
                await anyio.sleep(fault.get('delay_s', 5))
            result = await operation(data)
            if fault['mode'] == 'drop_answers' and path in fault['paths']:
                store.calls['dropped'] += 1
                return answer({'error': 'answer lost'}, 504)
            return answer(result)

        return Route(f'/{path}', endpoint, methods=['POST'])

    async def set_fault(request: Request) -> Response:
        store.fault = await read_json(request)
        store.changed.set()
        store.changed = anyio.Event()
        return answer({})

    async def show(request: Request) -> Response:
        return answer({'calls': store.calls, 'entries': store.entries})

    operations = {
        'get': get,
        'list': list_entries,
        'swap': swap,
        'watch': watch,
        'lease/grant': grant,
        'lease/renew': renew,
        'lease/revoke': revoke,
    }
    routes = [route(path, operation) for path, operation in operations.items()]
    routes.append(Route('/fault', set_fault, methods=['POST']))
    routes.append(Route('/stats', show, methods=['GET']))

    async def expire_leases() -> None:
        while True:
            store.expire()
            await anyio.sleep(0.1)

    return Starlette(routes=routes, lifespan=_run_beside(expire_leases))


def _run_beside(task: Any) -> Any:
    """Return a lifespan that runs a task beside the application."""
    import contextlib

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
