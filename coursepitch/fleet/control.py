"""Client for orders to single instances and for their reports."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.orders import OrderKind, OrderResult
from coursepitch.http.client import ConnectionPool, ExchangeError, NoConnectionError
from coursepitch.platform.fleet import ORDER_TARGET, REPORT_TARGET, encode_order
from coursepitch.platform.headers import build_instance_headers, read_response_metadata

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.orders import Order
    from coursepitch.http.client import ConnectOutcome, Response
    from coursepitch.platform.headers import ResponseMetadata

__all__ = ['InstanceControl', 'Probe']

#: Timeout in seconds for the response to an order.
ORDER_TIMEOUT_S = 0.4

#: Timeout in seconds of one request for a report, number of requests, and seconds
#: between their starts.  A live instance responds within a few milliseconds without
#: using a slot, and at worst one packet in forty is lost.
PROBE_TIMEOUT_S = 0.13
PROBE_TRIES = 2
PROBE_STAGGER_S = 0.05

#: Number of requests to an instance whose process may be exiting, and seconds between
#: them.  The operating system closes a process's sockets within some milliseconds.
ENDING_TRIES = 4
ENDING_PAUSE_S = 0.02

#: Maximum number of concurrent orders.  One takes about 6 ms on a machine with half a
#: core; with all orders of a cold start of 171 instances in flight, most timed out.
MAX_CONCURRENT_ORDERS = 16

#: Maximum number of concurrent orders to load weights that no group waits for, as
#: groups have priority.
MAX_CONCURRENT_STAGINGS = 4

#: Maximum size in bytes of the response to an order or a report request.
MAX_ANSWER_BYTES = 262_144

_RESULTS = {
    200: OrderResult.DONE,
    202: OrderResult.TAKEN,
    409: OrderResult.UNFIT,
    412: OrderResult.OUTDATED,
    421: OrderResult.OTHER_INSTANCE,
}


class Probe(enum.Enum):
    """Result of a report request to an instance."""

    ANSWERS = 'answers'
    SILENT = 'silent'
    BROKEN = 'broken off'
    REFUSED = 'refused'
    REPLACED = 'replaced'


class InstanceControl:
    """Sends orders to instances, and requests their reports.

    :param note_attempt: called with the outcome of each connection attempt.
    """

    def __init__(
        self,
        clock: Clock,
        note_attempt: Callable[[ConnectOutcome], None] = lambda outcome: None,
    ) -> None:
        self._pool = ConnectionPool(
            clock, connect_timeout_s=ORDER_TIMEOUT_S, note_attempt=note_attempt
        )
        self._order_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        self._staging_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STAGINGS)
        #: Called with an instance's name, its start time and the metadata of a
        #: response.
        self.take_marks: Callable[[str, int, ResponseMetadata], None] = (
            lambda name, born, marks: None
        )
        #: Returns ``FleetInstance.born`` of an instance's current incarnation.
        self.find_born: Callable[[str], int] = lambda name: 0

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def send(
        self, order: Order, is_due: Callable[[], bool] = lambda: True
    ) -> OrderResult:
        """Send an order once, within the concurrency limit, and return its result.

        :param is_due: called just before sending; the order is dropped if it returns
            false.
        """
        staging = order.kind is OrderKind.STAGE
        async with self._staging_limiter if staging else self._order_limiter:
            result = await self._send(order) if is_due() else OrderResult.DROPPED
        log.emit(
            events.ORDER_ANSWERED,
            instance=order.instance,
            order=order.kind.value,
            group=order.group,
            epoch=order.epoch,
            result=result.value,
        )
        return result

    async def _send(self, order: Order) -> OrderResult:
        headers = (
            *build_instance_headers(order.address, order.instance),
            (b'Content-Type', b'application/json'),
        )
        born = self.find_born(order.instance)
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                connection = await self._pool.acquire(order.address)
                answer = await self._pool.exchange(
                    connection, b'POST', ORDER_TARGET, headers, encode_order(order)
                )
                try:
                    await answer.read_whole(MAX_ANSWER_BYTES)
                finally:
                    answer.release()
        except NoConnectionError:
            return OrderResult.UNREACHED
        except (ExchangeError, TimeoutError):
            return OrderResult.UNKNOWN
        self._pass_marks(order.instance, born, answer)
        return _RESULTS.get(answer.status, OrderResult.UNKNOWN)

    def _pass_marks(self, instance: str, born: int, answer: Response) -> None:
        marks = read_response_metadata(answer.status, answer.headers)
        self.take_marks(instance, born, marks)

    async def probe(self, instance: FleetInstance) -> Probe:
        """Request an instance's report, a second time before the first times out."""
        found: list[Probe] = []
        failed: set[Probe] = set()
        async with anyio.create_task_group() as tasks:

            async def ask(turn: int) -> None:
                await anyio.sleep(turn * PROBE_STAGGER_S)
                answer = await self._request_report(instance)
                if answer in (Probe.ANSWERS, Probe.REPLACED):
                    found.append(answer)
                    tasks.cancel_scope.cancel()
                failed.add(answer)

            for turn in range(PROBE_TRIES):
                tasks.start_soon(ask, turn)
        if found:
            return found[0]
        return Probe.REFUSED if failed == {Probe.REFUSED} else Probe.SILENT

    async def has_ended(self, instance: FleetInstance) -> bool:
        """Whether an instance's process is gone.

        This is proven if its address refuses connections or belongs to another
        instance.  A timeout proves nothing: a network partition or a paused machine
        looks the same.  An exiting process closes its connections one by one, so a
        request whose connection breaks is repeated.
        """
        for _ in range(ENDING_TRIES):
            found = await self._request_report(instance)
            if found is not Probe.BROKEN:
                break
            await anyio.sleep(ENDING_PAUSE_S)
        return found in (Probe.REFUSED, Probe.REPLACED)

    async def _request_report(self, instance: FleetInstance) -> Probe:
        headers = build_instance_headers(instance.address, instance.name)
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                connection = await self._pool.acquire(instance.address, fresh=True)
                answer = await self._pool.exchange(
                    connection, b'GET', REPORT_TARGET, headers, b''
                )
                try:
                    await answer.read_whole(MAX_ANSWER_BYTES)
                finally:
                    answer.release()
        except NoConnectionError as error:
            return Probe.REFUSED if error.refused else Probe.SILENT
        except ExchangeError:
            return Probe.BROKEN
        except TimeoutError:
            return Probe.SILENT
        self._pass_marks(instance.name, instance.born, answer)
        return Probe.REPLACED if answer.status == 421 else Probe.ANSWERS
