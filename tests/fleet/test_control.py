"""Orders and report requests to instances: concurrency, timeouts and retries."""

from __future__ import annotations

import contextlib
import math
import socket
import time
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from coursepitch.fleet import control
from coursepitch.fleet.control import (
    ENDING_TRIES,
    MAX_CONCURRENT_ORDERS,
    MAX_CONCURRENT_STAGINGS,
    PROBE_STAGGER_S,
    PROBE_TRIES,
    InstanceControl,
    Probe,
    ProcessState,
)
from coursepitch.fleet.orders import Order, OrderKind, OrderResult
from coursepitch.fleet.tunnels import TunnelError, TunnelOutcome
from coursepitch.http.client import connect_directly
from tests.fleet.builders import build_instance


class ConcurrencyTest(unittest.TestCase):
    """Concurrency of orders in a cold start of many instances."""

    def test_concurrent_orders_are_limited_and_all_are_answered(self):
        count = MAX_CONCURRENT_ORDERS * 3
        running, most, answered = 0, 0, []

        async def run():
            control = InstanceControl(lambda: 0.0)
            go = anyio.Event()

            async def exchange(order):
                nonlocal running, most
                running += 1
                most = max(most, running)
                await go.wait()
                running -= 1
                return OrderResult.TAKEN

            async def send(number):
                order = Order(OrderKind.JOIN, f'i{number}', '127.0.0.1:1')
                answered.append(await control.send(order))

            control._send = exchange
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(send, number)
                await anyio.wait_all_tasks_blocked()
                go.set()

        anyio.run(run)
        self.assertEqual(most, MAX_CONCURRENT_ORDERS)
        self.assertEqual(answered, [OrderResult.TAKEN] * count)


class QueuedOrderTest(unittest.TestCase):
    """Queued orders that are no longer due when they would be sent.

    Guards against too many concurrent loads of weights.  Loads are free before the
    first request, so the leader orders them for all instances, and thousands of orders
    queue up.  If only the decision checks whether a load is free, queued ones are sent
    after the first request: with 300 nodes and 3,000 instances, more than 1,297 loads
    began within 5 s, more than the weight store can handle.  That these were queued
    orders is inferred from the code, without a log of the leader.
    """

    def play(self, count, kind):
        """Submit orders that stop being due once half of them are sent."""
        sent, results = [], []

        async def run():
            control = InstanceControl(lambda: 0.0)

            async def exchange(order):
                sent.append(order.instance)
                await anyio.lowlevel.checkpoint()
                return OrderResult.TAKEN

            async def send(number):
                order = Order(kind, f'i{number}', '127.0.0.1:1', model='m')
                results.append(
                    await control.send(order, lambda: len(sent) < count // 2)
                )

            control._send = exchange
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(send, number)

        anyio.run(run)
        return sent, results

    def test_order_that_is_no_longer_due_is_dropped(self):
        sent, results = self.play(60, OrderKind.STAGE)
        self.assertEqual(len(sent), 30)
        self.assertEqual(results.count(OrderResult.DROPPED), 30)
        self.assertFalse(OrderResult.DROPPED.definite)

    def test_staging_orders_do_not_delay_orders_of_groups(self):
        left = []

        async def run():
            control = InstanceControl(lambda: 0.0)
            go = anyio.Event()

            async def exchange(order):
                left.append(order.kind)
                await go.wait()
                return OrderResult.TAKEN

            control._send = exchange
            async with anyio.create_task_group() as tasks:
                for kind in (OrderKind.STAGE, OrderKind.OPEN):
                    for number in range(40):
                        order = Order(kind, f'i{number}', '127.0.0.1:1')
                        tasks.start_soon(control.send, order)
                await anyio.wait_all_tasks_blocked()
                go.set()

        anyio.run(run)
        first = left[: MAX_CONCURRENT_ORDERS + MAX_CONCURRENT_STAGINGS]
        self.assertEqual(first.count(OrderKind.OPEN), MAX_CONCURRENT_ORDERS)


class ProbeTest(unittest.TestCase):
    """Whether an instance responds; each 0.1 s saved helps a group's next callers."""

    def probe(self, *answers):
        """Return the result and the number of requests.

        :param answers: result of each request; ``None`` for one without a response.
        """
        left = list(answers)

        async def answer(instance):
            found = left.pop(0)
            if found is None:
                await anyio.sleep_forever()
            return found

        async def run():
            control = InstanceControl(lambda: 0.0)
            control._request_report = answer
            with anyio.fail_after(20):
                return await control.probe(None)

        return anyio.run(run), len(answers) - len(left)

    def test_second_request_does_not_wait_for_the_first(self):
        self.assertEqual(self.probe(None, Probe.ANSWERS), (Probe.ANSWERS, 2))

    def test_answered_request_is_not_repeated(self):
        self.assertEqual(self.probe(Probe.ANSWERS, None), (Probe.ANSWERS, 1))

    def test_refusals_are_told_from_silence(self):
        found = self.probe(Probe.REFUSED, Probe.REFUSED)
        self.assertEqual(found, (Probe.REFUSED, 2))
        found = self.probe(Probe.REFUSED, Probe.SILENT)
        self.assertEqual(found, (Probe.SILENT, 2))

    def test_two_unanswered_requests_prove_silence(self):
        found = self.probe(Probe.SILENT, Probe.BROKEN)
        self.assertEqual(found, (Probe.SILENT, 2))


class WitnessTest(unittest.TestCase):
    """What an unanswered probe proves, by this node's paths and a peer's probe."""

    def build(
        self,
        direct,
        indirect,
        reaches_others,
        is_cut_off=False,
        has_peers=True,
        is_listed=True,
        reached_at=math.inf,
    ):
        """Return a control whose probes have these results.

        :param reached_at: number of requests after which others were reached last.
        """
        requests = 0

        async def check(since, suspect):
            return reaches_others and reached_at >= since

        paths = SimpleNamespace(
            is_cut_off=is_cut_off,
            has_peers=lambda: has_peers,
            is_listed=lambda name: is_listed,
            check=check,
            connect=None,
            connect_directly=None,
            connect_through_peer=None,
            choose_witnesses=lambda: ['b'],
        )
        control = InstanceControl(lambda: float(requests), paths=paths)

        async def answer(instance, pool=None):
            nonlocal requests
            requests += 1
            found = direct if pool in (None, control._direct_pool) else indirect
            if isinstance(found, list):
                found = found.pop(0)
            if found is None:
                await anyio.sleep_forever()
            return found

        control._request_report = answer
        return control

    def probe(self, *results, **options):
        control = self.build(*results, **options)
        return anyio.run(control.probe, build_instance('a'))

    def has_ended(self, *results, **options):
        control = self.build(*results, **options)
        return anyio.run(control.has_ended, build_instance('a'))

    def test_silence_counts_if_no_peer_gets_an_answer(self):
        for indirect in (Probe.SILENT, Probe.REFUSED, Probe.BROKEN, None):
            with self.subTest(indirect):
                found = self.probe(Probe.SILENT, indirect, True)
                self.assertIs(found, Probe.SILENT)

    def test_refusal_that_no_peer_confirms_is_silence(self):
        self.assertIs(self.probe(Probe.REFUSED, Probe.REFUSED, True), Probe.REFUSED)
        for indirect in (Probe.SILENT, None):
            found = self.probe(Probe.REFUSED, indirect, True)
            self.assertIs(found, Probe.SILENT)
        alone = self.probe(Probe.REFUSED, Probe.SILENT, True, has_peers=False)
        self.assertIs(alone, Probe.REFUSED)

    def test_peer_tells_a_node_that_is_cut_off_of_an_end(self):
        for direct in (Probe.SILENT, Probe.REFUSED):
            for indirect in (Probe.REFUSED, Probe.REPLACED):
                self.assertTrue(
                    self.has_ended(direct, indirect, False, is_cut_off=True)
                )
            for indirect in (Probe.ANSWERS, Probe.SILENT, Probe.BROKEN):
                with mock.patch.object(control, 'CONFIRM_TIMEOUT_S', 0.1):
                    self.assertFalse(
                        self.has_ended(direct, indirect, False, is_cut_off=True)
                    )

    def find_state(self, *results, **options):
        with mock.patch.object(control, 'CONFIRM_TIMEOUT_S', 0.1):
            built = self.build(*results, **options)
            return anyio.run(built.find_state, build_instance('a'))

    # Guards against instances that pass for live ones while nobody could ask them.
    def test_state_is_unreached_if_neither_the_node_nor_a_peer_can_ask(self):
        for has_peers in (True, False):
            for indirect, expected in (
                (Probe.NO_PATH, ProcessState.UNREACHED),
                (Probe.SILENT, ProcessState.UNKNOWN),
            ):
                with self.subTest(has_peers=has_peers, indirect=indirect):
                    found = self.find_state(
                        None, indirect, False, is_cut_off=True, has_peers=has_peers
                    )
                    self.assertIs(found, expected)

    def test_state_of_a_silent_instance_is_unknown(self):
        found = self.find_state(Probe.SILENT, None, True)
        self.assertIs(found, ProcessState.UNKNOWN)

    # Guards against refusals that nobody could confirm and that count as no finding.
    def test_state_is_unreached_if_a_refusal_stays_unconfirmed(self):
        for indirect, reaches_others in (
            (Probe.REFUSED, False),
            (Probe.SILENT, True),
        ):
            with self.subTest(indirect=indirect):
                found = self.find_state(Probe.REFUSED, indirect, reaches_others)
                self.assertIs(found, ProcessState.UNREACHED)

    # Guards against ends that are missed, as the first peer that is asked has no path.
    def test_node_that_is_cut_off_asks_until_a_peer_tells(self):
        for last, ended in (
            ([Probe.REFUSED, Probe.REFUSED], True),
            ([Probe.REFUSED, Probe.ANSWERS], False),
            ([Probe.ANSWERS], False),
        ):
            asked = [Probe.SILENT, Probe.SILENT, *last]
            found = self.has_ended(Probe.SILENT, asked, False, is_cut_off=True)
            self.assertEqual((found, asked), (ended, []))

    # Guards against one node's lost path that is told to all as a lost instance.
    def test_instance_that_answers_a_peer_is_not_lost(self):
        for direct in (Probe.SILENT, Probe.REFUSED):
            with self.subTest(direct):
                found = self.probe(direct, Probe.ANSWERS, True)
                self.assertIs(found, Probe.INDIRECT)
                self.assertTrue(found.answers)

    def test_node_that_reaches_no_other_instance_tells_nothing(self):
        for direct in (Probe.SILENT, Probe.REFUSED):
            with self.subTest(direct):
                found = self.probe(direct, Probe.SILENT, False)
                self.assertIs(found, Probe.NO_PATH)
                self.assertFalse(found.answers)

    def test_node_that_is_cut_off_asks_a_peer_only(self):
        found = self.probe(None, Probe.ANSWERS, False, is_cut_off=True)
        self.assertIs(found, Probe.ANSWERS)
        found = self.probe(None, Probe.SILENT, False, is_cut_off=True)
        self.assertIs(found, Probe.NO_PATH)

    # Guards against refusals on a cut path that are taken for crashes.
    def test_refused_connection_proves_the_end_on_a_sound_path_only(self):
        self.assertTrue(self.has_ended(Probe.REFUSED, Probe.REFUSED, True))
        for indirect in (Probe.SILENT, Probe.BROKEN):
            self.assertFalse(self.has_ended(Probe.REFUSED, indirect, True))
        alone = self.has_ended(Probe.REFUSED, Probe.SILENT, True, has_peers=False)
        self.assertTrue(alone)
        self.assertFalse(self.has_ended(Probe.REFUSED, Probe.ANSWERS, True))
        self.assertFalse(self.has_ended(Probe.REFUSED, Probe.REFUSED, False))
        self.assertTrue(self.has_ended(Probe.REPLACED, Probe.ANSWERS, False))
        gone = self.has_ended(Probe.REFUSED, Probe.SILENT, False, is_listed=False)
        self.assertTrue(gone)

    # Guards against nodes that confirm refusals to each other as a cut begins.
    def test_others_reached_before_a_refusal_are_no_proof(self):
        results = (Probe.REFUSED, Probe.REFUSED, True)
        for reached_at, ended in ((0, False), (math.inf, True)):
            with self.subTest(reached_at=reached_at):
                with mock.patch.object(control, 'CONFIRM_TIMEOUT_S', 0.1):
                    found = self.has_ended(*results, reached_at=reached_at)
                self.assertIs(found, ended)
                found = self.probe(*results, reached_at=reached_at)
                self.assertIs(found, Probe.REFUSED if ended else Probe.NO_PATH)

    # Guards against nodes that confirm refusals to each other as a cut ends.
    def test_refusal_that_is_not_repeated_after_others_were_reached_is_no_proof(self):
        for direct in (Probe.ANSWERS, Probe.SILENT):
            with self.subTest(direct=direct):
                results = ([Probe.REFUSED, direct], Probe.REFUSED, True)
                self.assertFalse(self.has_ended(*results))
                results = ([Probe.REFUSED, Probe.REFUSED, direct], Probe.REFUSED, True)
                self.assertIs(self.probe(*results), direct)

    # Guards against a request that ends all instances of a service at once, so that no
    # end is ever proved, and that ends those which take their places.
    def test_end_is_proved_once_another_instance_is_reached(self):
        control = self.build(Probe.REFUSED, Probe.REFUSED, None)
        reached = iter([False, False, True])

        async def check(since, suspect):
            return next(reached)

        control._paths.check = check
        self.assertTrue(anyio.run(control.has_ended, build_instance('a')))


class ProbeConnectionTest(unittest.TestCase):
    """Connections of probes, which are new ones each time."""

    # Guards against a node that runs out of descriptors by probing.
    def test_probes_leave_no_connection_open(self):
        async def serve(stream):
            async with stream:
                await stream.receive()
                await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    await stream.receive()
                closed.append(stream)

        async def check(since, suspect):
            return True

        closed = []

        async def run():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            instance = build_instance('a', address=f'127.0.0.1:{port}')
            paths = SimpleNamespace(
                is_cut_off=False,
                check=check,
                connect=connect_directly,
                connect_directly=connect_directly,
                connect_through_peer=connect_directly,
            )
            control = InstanceControl(lambda: 0.0, paths=paths)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with anyio.fail_after(5):
                    for cut_off in (False, True):
                        paths.is_cut_off = cut_off
                        self.assertIs(await control.probe(instance), Probe.ANSWERS)
                    while len(closed) < 2:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        anyio.run(run)


class TunnelOutcomeTest(unittest.TestCase):
    """What a report request through peers tells if no tunnel comes up."""

    def ask(self, connect):
        """Return the state that a node without paths finds."""
        paths = SimpleNamespace(
            is_cut_off=True,
            has_peers=lambda: True,
            connect=connect,
            connect_directly=connect,
            connect_through_peer=connect,
        )
        built = InstanceControl(time.monotonic, paths=paths)
        with mock.patch.object(control, 'CONFIRM_TIMEOUT_S', 0.3):
            return anyio.run(built.find_state, build_instance('a'))

    # Guards against peers that cannot tell and whose word counts as an instance's
    # silence: they may have no path themselves, or list the instance no longer.
    def test_only_a_peer_that_reaches_others_tells_of_silence(self):
        for outcome in TunnelOutcome:
            if outcome is TunnelOutcome.REFUSED:
                continue

            async def connect(address, instance, outcome=outcome):
                raise TunnelError(outcome)

            with self.subTest(outcome):
                silent = outcome is TunnelOutcome.SILENT
                expected = ProcessState.UNKNOWN if silent else ProcessState.UNREACHED
                self.assertIs(self.ask(connect), expected)

    # Guards against a tunnel's timeout that hides an instance which is only paused.
    def test_instance_that_does_not_answer_through_a_tunnel_is_silent(self):
        with socket.create_server(('127.0.0.1', 0)) as server:
            address = f'127.0.0.1:{server.getsockname()[1]}'

            async def connect(asked, instance):
                return await connect_directly(address, instance)

            self.assertIs(self.ask(connect), ProcessState.UNKNOWN)

    # Guards against peers that are late, as they have no path, and count as silence.
    def test_late_peer_tells_nothing(self):
        async def connect(address, instance):
            await anyio.sleep_forever()

        self.assertIs(self.ask(connect), ProcessState.UNREACHED)


class PausedNodeTest(unittest.TestCase):
    """Probes during which the node's own process stands still."""

    def probe(self, pause_s):
        """Return what is found of an instance that answers after the pause only."""
        went_on = anyio.Event()
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'

        async def serve(stream):
            lost = anyio.BrokenResourceError, anyio.EndOfStream
            with contextlib.suppress(*lost):
                async with stream:
                    await stream.receive()
                    await went_on.wait()
                    # The time-outs that passed in the pause are processed first.
                    await anyio.sleep(0.01)
                    await stream.send(answer)

        async def stand_still():
            # All requests of the probe are under way then.
            await anyio.sleep(PROBE_STAGGER_S * (PROBE_TRIES - 1) + 0.02)
            time.sleep(pause_s)
            went_on.set()

        async def run():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            control = InstanceControl(time.monotonic)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                tasks.start_soon(stand_still)
                instance = build_instance('a', address=f'127.0.0.1:{port}')
                found = await control.probe(instance)
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(run)

    # Guards against a node that stood still reporting sound instances as lost.
    def test_pause_of_the_node_is_not_silence_of_the_instance(self):
        for pause_s in (0.3, 1.2):
            with self.subTest(pause_s):
                self.assertIs(self.probe(pause_s), Probe.ANSWERS)


class EndTest(unittest.TestCase):
    """Whether an instance's process is gone.

    An exiting process closes its connections one by one, so a request may be accepted
    and then fail.  If that counted as alive, the crash would be missed.
    """

    def ask(self, *answers):
        """Return the result and the number of requests.

        :param answers: result of each request.
        """
        left = list(answers)

        async def answer(instance, pool=None):
            return left.pop(0)

        async def run():
            control = InstanceControl(lambda: 0.0)
            control._request_report = answer
            return await control.has_ended(None)

        return anyio.run(run), len(answers) - len(left)

    def test_refused_connection_and_another_instance_prove_the_end(self):
        self.assertEqual(self.ask(Probe.REFUSED), (True, 1))
        self.assertEqual(self.ask(Probe.REPLACED), (True, 1))

    def test_broken_request_is_repeated(self):
        self.assertEqual(self.ask(Probe.BROKEN, Probe.REFUSED), (True, 2))
        self.assertEqual(self.ask(Probe.BROKEN, Probe.ANSWERS), (False, 2))

    # Guards against crashes that are missed as a connection ends while it comes up.
    def test_connection_that_ends_as_it_comes_up_is_repeated(self):
        errors = [ConnectionResetError(), ConnectionRefusedError()]

        async def connect(address, instance):
            raise errors.pop(0)

        async def run():
            control = InstanceControl(lambda: 0.0)
            control._direct_pool.connect = connect
            return await control.has_ended(build_instance('a'))

        self.assertTrue(anyio.run(run))

    def test_silence_and_repeatedly_broken_requests_prove_nothing(self):
        self.assertEqual(self.ask(Probe.SILENT), (False, 1))
        broken = [Probe.BROKEN] * ENDING_TRIES
        self.assertEqual(self.ask(*broken), (False, ENDING_TRIES))


if __name__ == '__main__':
    unittest.main()
