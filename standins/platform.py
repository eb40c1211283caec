"""Stand-in for the platform's list of instances and its weight store."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import anyio
from starlette.applications import Starlette
from starlette.routing import Route

from standins.common import answer, build_parser, read_json, run

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response


def build_app(instances: list[dict[str, Any]], lag_s: float, load_s: float) -> Any:
    """Return the application.

    :param instances: the list; each has id, address, domain and the rest.
    :param lag_s: seconds after which a change shows in the list.
    :param load_s: seconds that the store takes to hand out one set of weights.
    """
    changes: list[tuple[float, str, dict[str, Any]]] = []
    listed = {item['id']: dict(item) for item in instances}
    limiter = anyio.CapacityLimiter(4)
    counts = {'weights': 0, 'lists': 0}

    async def show(request: Request) -> Response:
        counts['lists'] += 1
        now = time.monotonic()
        while changes and changes[0][0] <= now:
            _, name, fields = changes.pop(0)
            if fields.get('state') == 'gone':
                listed.pop(name, None)
            else:
                listed.setdefault(name, {'id': name}).update(fields)
        return answer({'instances': list(listed.values())})

    async def change(request: Request) -> Response:
        data = await read_json(request)
        name = data.pop('id')
        changes.append((time.monotonic() + lag_s, name, data))
        return answer({})

    async def weights(request: Request) -> Response:
        counts['weights'] += 1
        async with limiter:
            await anyio.sleep(load_s)
        return answer({'model': request.path_params['model']})

    async def stats(request: Request) -> Response:
        return answer(counts)

    return Starlette(
        routes=[
            Route('/instances', show, methods=['GET']),
            Route('/instances', change, methods=['POST']),
            Route('/weights/{model}/{version}', weights, methods=['GET']),
            Route('/stats', stats, methods=['GET']),
        ]
    )


def main() -> None:
    """Run the stand-in."""
    parser = build_parser(__doc__ or '')
    parser.add_argument('--instances', required=True, help='JSON file with the list')
    parser.add_argument('--lag-s', type=float, default=0.5)
    parser.add_argument('--load-s', type=float, default=0.2)
    options = parser.parse_args()
    with open(options.instances, encoding='utf-8') as file:
        instances = json.load(file)
    run(build_app(instances, options.lag_s, options.load_s), options.port)


if __name__ == '__main__':
    main()
