"""Stand-in for one instance of a model engine.

The instance of rank 0 answers requests; it ends every answer when another
member of its replica does not answer.  Tokens are a function of the prompt and
their place alone, so that a resumed answer can be checked token by token.

With the fault ``{"mode": "endless", "kind": KIND, "pace": PACE}``, bytes that are no
answer come until the caller closes, see :mod:`standins.endless`, in answer to requests,
or to what comes to one of the path prefixes in ``at``; the kind ``report`` concerns
checks.  Other members of the replica get sound answers.
"""

from __future__ import annotations

import collections
import hashlib
import json
import os
import secrets
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import httpx
from starlette.applications import Starlette
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from standins.common import CONNECTION, answer, build_parser, read_json, run
from standins.endless import build_endless, send_endless

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

WORDS = ('the', 'image', 'adds', 'fixes', 'meter', 'clock', 'boot', 'slot', 'key')
MEMBER_CHECK_S = 0.1

#: Header of requests between members of a replica.
MEMBER_HEADER = 'x-member'

#: Path prefixes of requests, and of checks, whose answers have no end.
REQUEST_PATHS = ('/v1/',)
CHECK_PATHS = ('/health',)


def make_token(prompt: str, place: int) -> str:
    """Return the token at a place of the answer to a prompt."""
    digest = hashlib.sha256(f'{prompt}\0{place}'.encode()).digest()
    return f'{WORDS[digest[0] % len(WORDS)]}-{place} '


@dataclass
class Work:
    """One request that runs here."""

    prompt: str
    limit: int
    offset: int
    tokens: list[str] = field(default_factory=list)
    done: bool = False
    failed: bool = False
    cancelled: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)

    def tell(self) -> None:
        """Wake those who wait for the next token."""
        self.changed.set()
        self.changed = anyio.Event()


class Engine:
    """State of the instance."""

    def __init__(self, options: Any) -> None:
        self.options = options
        self.boot = secrets.token_hex(4)
        self.state = 'idle'
        self.epoch = 0
        self.order: dict[str, Any] = {}
        self.works: dict[str, Work] = {}
        self.ran: collections.Counter[str] = collections.Counter()
        self.cancelled: collections.Counter[str] = collections.Counter()
        self.prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.prefix_hits = 0
        self.fault: dict[str, Any] = {}
        self.floods: list[dict[str, Any]] = []
        self.group: Any = None
        self.still_until = 0.0
        self.client = httpx.AsyncClient(timeout=1.0, headers={MEMBER_HEADER: '1'})

    async def stand_still(self) -> None:
        """Wait until the instance no longer stands still, see ``still_s``."""
        await anyio.sleep_until(self.still_until)

    def describe(self) -> dict[str, Any]:
        """Return what a check shows."""
        return {
            'instance': self.options.id,
            'boot': self.boot,
            'state': self.state,
            'epoch': self.epoch,
            'claim': self.order.get('claim', ''),
            'model': self.order.get('model', ''),
            'version': self.order.get('version', ''),
            'adapters': self.order.get('adapters', []),
            'running': sum(not work.done for work in self.works.values()),
            'prefixes': list(self.prefixes)[-64:],
        }

    async def load(self, order: dict[str, Any]) -> None:
        """Load weights as ordered; a later order wins."""
        self.order = order
        self.state = 'loading'
        path = f'{self.options.weights}/weights/{order["model"]}/{order["version"]}'
        try:
            await self.client.get(path, timeout=60)
        except httpx.HTTPError:
            if self.order is order:
                self.state = 'failed'
            return
        if self.order is order:
            self.state = 'ready'

    async def watch_members(self) -> None:
        """End all work when another member of the replica is gone."""
        while True:
            await anyio.sleep(MEMBER_CHECK_S)
            if self.state != 'ready' or self.order.get('rank') != 0:
                continue
            for address in self.order.get('members', []):
                if not await self.check_member(address):
                    self.state = 'failed'
                    self.fail_all()
                    break

    async def check_member(self, address: str) -> bool:
        """Return whether another member still serves the same claim."""
        try:
            reply = await self.client.get(f'http://{address}/health', timeout=1.0)
        except httpx.HTTPError:
            return False
        seen = reply.json()
        same = seen['claim'] == self.order.get('claim')
        return same and seen['state'] in ('ready', 'loading')

    def fail_all(self) -> None:
        """End every answer without its end mark."""
        for work in self.works.values():
            if not work.done:
                work.done = work.failed = True
                work.tell()

    async def generate(self, name: str, work: Work) -> None:
        """Make the tokens of one request."""
        delay = self.options.token_s
        slots = self.options.slots
        while not work.done:
            running = sum(not other.done for other in self.works.values())
            factor = max(1.0, running / slots) * self.fault.get('slow', 1.0)
            await anyio.sleep(delay * factor)
            await self.stand_still()
            if work.done:
                break
            if work.cancelled:
                work.done = True
                self.cancelled[name] += 1
            else:
                place = work.offset + len(work.tokens)
                work.tokens.append(make_token(work.prompt, place))
                work.done = place + 1 >= work.limit
            work.tell()
        await anyio.sleep(30)
        self.works.pop(name, None)


def fold_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a request as one text."""
    if 'prompt' in body:
        return str(body['prompt'])
    return '\n'.join(str(item.get('content', '')) for item in body['messages'])


def build_app(engine: Engine) -> Starlette:
    """Return the application of one instance."""

    async def health(request: Request) -> Response:
        # Members of a replica still reach each other.
        if MEMBER_HEADER not in request.headers:
            await engine.stand_still()
        if engine.fault.get('health') == 'error':
            return answer({}, 500)
        return answer(engine.describe())

    async def load(request: Request) -> Response:
        order = await read_json(request)
        if engine.options.fenced:
            if order['epoch'] < engine.epoch:
                return answer({'error': 'stale epoch', 'epoch': engine.epoch}, 409)
            engine.epoch = order['epoch']
        same = engine.order.get('claim') == order['claim']
        if not (same and engine.state in ('loading', 'ready')):
            engine.fail_all()
            engine.group.start_soon(engine.load, order)
        return answer({})

    async def release(request: Request) -> Response:
        order = await read_json(request)
        if engine.options.fenced:
            if order['epoch'] < engine.epoch:
                return answer({'error': 'stale epoch', 'epoch': engine.epoch}, 409)
            engine.epoch = order['epoch']
        if engine.order.get('claim') == order['claim']:
            engine.fail_all()
            engine.order = {}
            engine.state = 'idle'
        return answer({})

    async def complete(request: Request) -> Response:
        await engine.stand_still()
        body = await read_json(request)
        name = request.headers['x-request-id']
        claim = request.headers.get('x-claim', '')
        if engine.state != 'ready' or claim != engine.order.get('claim'):
            return answer({'error': 'not serving this claim'}, 409)
        if engine.fault.get('refuse'):
            return answer({'error': 'overloaded'}, 503)
        prompt = fold_prompt(body)
        resume = body.get('resume_tokens', 0)
        work = Work(prompt, int(body.get('max_tokens', 16)), resume)
        engine.works[name] = work
        engine.ran[name] += 1
        crash_on = engine.fault.get('crash_on')
        if crash_on and crash_on in prompt:
            os._exit(1)
        remember_prefix(prompt)
        work.done = resume >= work.limit
        engine.group.start_soon(engine.generate, name, work)
        await maybe_fail('after_start')
        return respond(name, work, 0, bool(body.get('stream')), 'messages' in body)

    def remember_prefix(prompt: str) -> None:
        name = hashlib.sha256(prompt[:256].encode()).hexdigest()[:16]
        engine.prefix_hits += name in engine.prefixes
        engine.prefixes[name] = None
        engine.prefixes.move_to_end(name)
        while len(engine.prefixes) > engine.options.cache:
            engine.prefixes.popitem(last=False)

    async def maybe_fail(stage: str) -> None:
        if engine.fault.get('hang') == stage:
            await anyio.sleep(3600)

    def respond(name: str, work: Work, start: int, stream: bool, chat: bool) -> Any:
        shown = engine.fault.get('wrong_id') or name
        headers = {'x-request-id': shown}
        if stream:
            body = stream_events(shown, work, start, chat)
            return StreamingResponse(body, headers=headers, media_type=EVENT_STREAM)
        return WholeAnswer(shown, work, chat)

    async def resume(request: Request) -> Response:
        name = request.path_params['name']
        work = engine.works.get(name)
        if work is None or engine.fault.get('no_resume'):
            return answer({'error': 'unknown request'}, 404)
        start = int(request.headers.get('last-event-id', '-1')) + 1 - work.offset
        chat = request.query_params.get('chat') == '1'
        return respond(name, work, start, True, chat)

    async def cancel(request: Request) -> Response:
        work = engine.works.get(request.path_params['name'])
        if work is not None and not work.done:
            work.cancelled = True
        return answer({})

    async def stream_events(
        name: str, work: Work, start: int, chat: bool
    ) -> AsyncIterator[bytes]:
        sent = start
        cut_after = engine.fault.get('cut_after')
        try:
            while True:
                changed = work.changed
                while sent < len(work.tokens):
                    place = work.offset + sent
                    data = make_chunk(name, work.tokens[sent], chat)
                    yield f'id: {place}\ndata: {data}\n\n'.encode()
                    sent += 1
                    if cut_after is not None and sent == cut_after:
                        engine.fault.pop('cut_after', None)
                        raise ConnectionAbortedError
                if work.done:
                    break
                await changed.wait()
        except anyio.get_cancelled_exc_class():
            # The reader left; a resumable stream goes on until it is cancelled.
            raise
        if work.failed:
            raise ConnectionAbortedError
        yield f'data: {make_end(name, chat)}\n\n'.encode()
        if not engine.fault.get('no_end_mark'):
            yield b'data: [DONE]\n\n'

    async def set_fault(request: Request) -> Response:
        engine.fault = await read_json(request)
        engine.still_until = anyio.current_time() + engine.fault.get('still_s', 0.0)
        return answer({})

    async def stats(request: Request) -> Response:
        return answer(
            {
                'ran': engine.ran,
                'cancelled': engine.cancelled,
                'prefix_hits': engine.prefix_hits,
                'floods': engine.floods,
            }
        )

    @asynccontextmanager
    async def lifespan(app: Any) -> AsyncIterator[None]:
        async with anyio.create_task_group() as group:
            engine.group = group
            group.start_soon(engine.watch_members)
            yield
            group.cancel_scope.cancel()

    return Starlette(
        lifespan=lifespan,
        routes=[
            Route('/health', health, methods=['GET']),
            Route('/control/load', load, methods=['POST']),
            Route('/control/release', release, methods=['POST']),
            Route('/v1/completions', complete, methods=['POST']),
            Route('/v1/chat/completions', complete, methods=['POST']),
            Route('/v1/streams/{name}', resume, methods=['GET']),
            Route('/v1/streams/{name}', cancel, methods=['DELETE']),
            Route('/fault', set_fault, methods=['POST']),
            Route('/stats', stats, methods=['GET']),
        ],
    )


def send_without_end(engine: Engine, app: Any) -> Any:
    """Return an application that answers without end while the fault is set."""

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        fault = engine.fault
        if scope['type'] != 'http' or not _concerns(fault, scope):
            await app(scope, receive, send)
            return
        names = {key.decode(): value.decode() for key, value in scope['headers']}
        record = {
            'request': names.get('x-request-id', ''),
            'target': scope['path'],
            'kind': fault['kind'],
            'pace': fault['pace'],
        }
        if fault['kind'] == 'after_answer':
            await app(scope, receive, send)
        else:
            while (await receive()).get('more_body'):
                pass
        engine.floods.append(record)
        connection = CONNECTION.get()
        endless = build_endless(fault['kind'], {'X-Request-Id': record['request']})
        await send_endless(
            connection.send, connection.wait_closed, endless, fault['pace'], record
        )

    return serve


def _concerns(fault: dict[str, Any], scope: Any) -> bool:
    """Whether a fault without end concerns a request."""
    if fault.get('mode') != 'endless':
        return False
    if MEMBER_HEADER in [key.decode() for key, _ in scope['headers']]:
        return False
    usual = CHECK_PATHS if fault['kind'] == 'report' else REQUEST_PATHS
    path: str = scope['path']
    return path.startswith(tuple(fault.get('at', usual)))


EVENT_STREAM = 'text/event-stream'


class WholeAnswer(Response):
    """An answer sent at once when the last token is made."""

    def __init__(self, name: str, work: Work, chat: bool) -> None:
        super().__init__()
        self.name = name
        self.work = work
        self.chat = chat

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Wait for the tokens and send them as one body."""
        work = self.work
        while not work.done:
            changed = work.changed
            await changed.wait()
        if work.failed or work.cancelled:
            raise ConnectionAbortedError
        text = ''.join(work.tokens)
        body = make_whole(self.name, text, len(work.tokens), self.chat)
        headers = {'x-request-id': self.name}
        response = Response(body, media_type='application/json', headers=headers)
        await response(scope, receive, send)


def make_chunk(name: str, text: str, chat: bool) -> str:
    """Return one streamed chunk as JSON."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if chat:
        choice['delta'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return json.dumps(wrap(name, choice, chat, chunk=True))


def make_end(name: str, chat: bool) -> str:
    """Return the last chunk before the end mark as JSON."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    choice.update({'delta': {}} if chat else {'text': ''})
    return json.dumps(wrap(name, choice, chat, chunk=True))


def make_whole(name: str, text: str, tokens: int, chat: bool) -> str:
    """Return a whole answer as JSON."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    data = wrap(name, choice, chat, chunk=False)
    data['usage'] = {
        'prompt_tokens': 1,
        'completion_tokens': tokens,
        'total_tokens': tokens + 1,
    }
    return json.dumps(data)


def wrap(name: str, choice: Any, chat: bool, *, chunk: bool) -> dict[str, Any]:
    """Return the envelope of an answer or of one of its chunks."""
    kind = 'text_completion'
    if chat:
        kind = 'chat.completion.chunk' if chunk else 'chat.completion'
    return {
        'id': name,
        'object': kind,
        'created': 0,
        'model': 'stand-in',
        'choices': [choice],
    }


def main() -> None:
    """Run the stand-in."""
    parser = build_parser('Stand-in for one instance of a model engine.')
    parser.add_argument('--id', required=True)
    parser.add_argument('--weights', required=True, help='URL of the weight store')
    parser.add_argument('--fenced', type=int, default=1)
    parser.add_argument('--token-s', type=float, default=0.02)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--cache', type=int, default=16)
    options = parser.parse_args()
    engine = Engine(options)
    run(send_without_end(engine, build_app(engine)), options.port)


if __name__ == '__main__':
    main()
