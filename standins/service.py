"""Stand-in for a plain service: echoes, counts what it ran, can fail on order."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import anyio
from starlette.applications import Starlette
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from standins.common import answer, build_parser, read_json, run

if TYPE_CHECKING:
    from starlette.requests import Request

METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


def build_app() -> Starlette:
    """Return the application."""
    ran: collections.Counter[str] = collections.Counter()
    fault: dict[str, Any] = {}

    async def call(request: Request) -> Response:
        name = request.headers.get('x-request-id', '')
        body = await request.body()
        ran[name] += 1
        if fault.get('hang'):
            await anyio.sleep(3600)
        if fault.get('cut'):
            return StreamingResponse(cut_body())
        headers = {'x-ran': str(sum(ran.values()))}
        path = request.scope['raw_path'].partition(b'?')[0]
        reply = Response(body or path, media_type='text/plain', headers=headers)
        reply.set_cookie('one', '1')
        reply.set_cookie('two', '2')
        return reply

    async def cut_body() -> Any:
        yield b'half'
        raise ConnectionAbortedError

    async def set_fault(request: Request) -> Response:
        fault.clear()
        fault.update(await read_json(request))
        return answer({})

    async def stats(request: Request) -> Response:
        return answer({'ran': ran})

    return Starlette(
        routes=[
            Route('/standin/fault', set_fault, methods=['POST']),
            Route('/standin/stats', stats, methods=['GET']),
            Route('/{path:path}', call, methods=METHODS),
        ]
    )


def main() -> None:
    """Run the stand-in."""
    options = build_parser(__doc__ or '').parse_args()
    run(build_app(), options.port)


if __name__ == '__main__':
    main()
