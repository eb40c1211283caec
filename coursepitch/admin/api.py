"""The resource interface: an ASGI application for operators."""

from __future__ import annotations

import hmac
import json
from typing import TYPE_CHECKING, Any

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from coursepitch import events, log
from coursepitch.config.findings import Place
from coursepitch.config.history import pack_change
from coursepitch.config.resources import OPERATOR_KINDS, Key, check_resource
from coursepitch.errors import (
    ConflictError,
    CoursepitchError,
    FindingsError,
    ForbiddenError,
    NotFoundError,
    RequestError,
    RequestTooLargeError,
    UnavailableError,
)
from coursepitch.serving.identity import hash_key
from coursepitch.util.http import read_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from coursepitch.admin.status import StatusReporter
    from coursepitch.config.settings import AdminSettings
    from coursepitch.control.session import Session
    from coursepitch.metrics import Metrics

__all__ = ['AdminApi']

BODY_LIMIT = 262_144
BODY_TIMEOUT_S = 10.0

#: Longest wait of a watch in seconds.
WATCH_S = 30.0

_STATUSES: dict[type[CoursepitchError], int] = {
    FindingsError: 422,
    ConflictError: 409,
    ForbiddenError: 401,
    NotFoundError: 404,
    RequestTooLargeError: 413,
    RequestError: 400,
    UnavailableError: 503,
}


class AdminApi:
    """Handler of operators' requests."""

    def __init__(
        self,
        session: Session,
        reporter: StatusReporter,
        settings: AdminSettings,
        metrics: Metrics,
        describe_plan: Callable[[], Awaitable[dict[str, Any]]],
    ) -> None:
        self._session = session
        self._reporter = reporter
        self._settings = settings
        self._metrics = metrics
        self._describe_plan = describe_plan

    def build_app(self) -> Starlette:
        """Return the application."""
        guard = self._guard
        one = '/apis/v1/{kind}/{name}'
        return Starlette(
            routes=[
                Route('/apis/v1/status', guard(self._show_status), methods=['GET']),
                Route('/apis/v1/watch', guard(self._watch), methods=['GET']),
                Route('/apis/v1/plan', guard(self._show_plan), methods=['GET']),
                Route('/apis/v1/{kind}', guard(self._list), methods=['GET']),
                Route(one, guard(self._get), methods=['GET']),
                Route(one, guard(self._put), methods=['PUT']),
                Route(one, guard(self._delete), methods=['DELETE']),
                Route('/metrics', guard(self._show_metrics), methods=['GET']),
                Route('/healthz', self._show_health, methods=['GET']),
            ]
        )

    def _guard(
        self, handle: Callable[[Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            try:
                self._check_key(request.headers.get('authorization', ''))
                with log.start_action('admin', method=request.method):
                    return await handle(request)
            except CoursepitchError as error:
                return self._refuse(error)

        return endpoint

    def _check_key(self, authorization: str) -> None:
        """Check the operator's key.

        :raises ForbiddenError: it is missing or unknown.
        """
        if not self._settings.key_hashes:
            return
        key = authorization.removeprefix('Bearer ')[:512]
        digest = hash_key(key)
        found = [
            hmac.compare_digest(digest, held) for held in self._settings.key_hashes
        ]
        if not any(found):
            raise ForbiddenError('the operator key is missing or unknown')

    def _refuse(self, error: CoursepitchError) -> Response:
        status = next(
            (code for kind, code in _STATUSES.items() if isinstance(error, kind)), 500
        )
        if isinstance(error, RequestTooLargeError):
            status = 413
        body: dict[str, Any] = {'category': error.category, 'message': str(error)}
        headers = {}
        if isinstance(error, FindingsError):
            body['findings'] = [
                {
                    'place': str(item.place),
                    'option': item.place.option,
                    'message': item.message,
                    'value': item.value,
                    'fix': item.fix,
                }
                for item in error.findings
            ]
        if isinstance(error, ConflictError):
            body['current'] = error.current
        if isinstance(error, UnavailableError):
            body['maybe_recorded'] = error.maybe_applied
            headers['retry-after'] = '2'
        log.emit(events.ADMIN_REFUSED, status=status, reason=error.category)
        return JSONResponse({'error': body}, status, headers)

    # -- reading ----------------------------------------------------------------

    async def _show_health(self, request: Request) -> Response:
        return JSONResponse({'alive': True})

    async def _show_status(self, request: Request) -> Response:
        return JSONResponse(self._reporter.describe_node())

    async def _show_plan(self, request: Request) -> Response:
        return JSONResponse(await self._describe_plan())

    async def _show_metrics(self, request: Request) -> Response:
        content, headers = self._metrics.render(request.headers.get('accept', ''))
        return Response(content, headers=headers)

    async def _list(self, request: Request) -> Response:
        kind = request.path_params['kind']
        if kind not in (*OPERATOR_KINDS, 'node'):
            raise NotFoundError(f'no kind {kind!r}; known are {OPERATOR_KINDS}')
        configuration = self._session.view.value.configuration
        items = [self._reporter.render(item) for item in configuration.of_kind(kind)]
        return JSONResponse({'revision': configuration.revision, 'items': items})

    def _find(self, key: Key) -> dict[str, Any]:
        resource = self._session.view.value.configuration.resources.get(key)
        if resource is None:
            raise NotFoundError(f'no {key}')
        return self._reporter.render(resource)

    async def _get(self, request: Request) -> Response:
        return JSONResponse(self._find(_read_key(request)))

    async def _watch(self, request: Request) -> Response:
        """Return the changes after a revision; wait for one if there is none."""
        text = request.query_params.get('after', '0')
        if not text.isascii() or not text.isdigit():
            raise RequestError('after: not a revision')
        after = int(text)
        with anyio.move_on_after(WATCH_S):
            while self._session.view.value.configuration.revision <= after:
                await self._session.view.wait()
        changes = self._session.changes_after(after)
        revision = self._session.view.value.configuration.revision
        if changes is None:
            message = (
                f'changes after {after} are gone; list, then watch from {revision}'
            )
            return JSONResponse({'error': {'message': message}}, 410)
        packed = [pack_change(item) for item in changes]
        return JSONResponse({'changes': packed, 'revision': max(after, revision)})

    # -- writing --------------------------------------------------------------------

    async def _put(self, request: Request) -> Response:
        key = _read_key(request)
        data = await _read_object(request)
        unknown = set(data) - {'spec', 'resource_version'}
        if unknown:
            raise RequestError(f'unknown fields: {", ".join(sorted(unknown))}')
        values = data.get('spec')
        if not isinstance(values, dict):
            raise RequestError('spec: missing or not an object')
        spec, findings = check_resource(key, values, Place('request', 0, str(key)), {})
        if spec is None:
            raise FindingsError(findings)
        expect = _read_version(data.get('resource_version'))
        await self._record(key, spec, expect)
        return JSONResponse(self._find(key))

    async def _delete(self, request: Request) -> Response:
        key = _read_key(request)
        text = request.query_params.get('resource_version')
        expect = None
        if text is not None:
            if not text.isascii() or not text.isdigit():
                raise RequestError('resource_version: not a version')
            expect = int(text)
        if key not in self._session.view.value.configuration.resources:
            raise NotFoundError(f'no {key}')
        await self._record(key, None, expect)
        return JSONResponse({'deleted': str(key)})

    async def _record(self, key: Key, spec: Any, expect: int | None) -> None:
        try:
            result = await self._session.record(key, spec, expect)
        except ConflictError as error:
            held = self._session.view.value.configuration.resources.get(key)
            current = self._reporter.render(held) if held else None
            raise ConflictError(str(error), current) from error
        revision = result if isinstance(result, int) else result.revision
        log.emit(events.ADMIN_WRITE, resource=str(key), revision=revision)


def _read_key(request: Request) -> Key:
    kind = request.path_params['kind']
    if kind not in (*OPERATOR_KINDS, 'node'):
        raise NotFoundError(f'no kind {kind!r}; known are {", ".join(OPERATOR_KINDS)}')
    if kind == 'node' and request.method == 'PUT':
        raise RequestError('nodes register themselves; they can be deleted')
    return Key(kind, request.path_params['name'])


def _read_version(value: Any) -> int | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise RequestError('resource_version: not a version')
    return value


async def _read_object(request: Request) -> dict[str, Any]:
    raw = await read_body(request, BODY_LIMIT, BODY_TIMEOUT_S)
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise RequestError(f'body: no JSON: {error}') from error
    if not isinstance(data, dict):
        raise RequestError('body: not an object')
    return data
