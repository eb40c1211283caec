"""Gateway components that can be tested without sockets."""

from __future__ import annotations

import contextlib
import itertools
import unittest
from dataclasses import replace
from types import SimpleNamespace

import anyio
from hypothesis import given, strategies

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.control import Probe
from coursepitch.fleet.shares import LimitFractions
from coursepitch.fleet.view import OpenGroup
from coursepitch.gateway.budget import RetryBudget
from coursepitch.gateway.job import Ending
from coursepitch.gateway.load_tracker import LoadTracker
from coursepitch.gateway.reply_times import MAX_FIRST_QUIET_S, MAX_QUIET_S
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.router import Router, find_zone_cost
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.gateway.streams import StreamServer
from coursepitch.gateway.watchdog import RECHECK_S, Stall, Watchdog
from coursepitch.gateway.work import estimate_work, find_max_in_flight
from coursepitch.http.event_splitter import EventSplitter
from coursepitch.http.server import ResponseWriter
from coursepitch.platform.headers import RequestFields
from tests.fleet.builders import (
    LARGE,
    SERVICE,
    SMALL,
    build_engine,
    build_instance,
    build_service,
    build_view,
)
from tests.gateway.builders import UNKNOWN_TIMES

#: Turns of the event loop in which all tasks that can go on have done so.
TURNS = 20

EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 9))


class EventSplitterTest(unittest.TestCase):
    """Complete events are forwarded, however the stream is fragmented."""

    @given(strategies.lists(strategies.integers(1, 20), max_size=40))
    def test_fragments_of_any_size_give_the_same_stream(self, sizes):
        splitter, out, rest = EventSplitter(), b'', EVENTS
        for size in [*sizes, len(EVENTS)]:
            out += splitter.feed(rest[:size])
            rest = rest[size:]
        self.assertEqual(out + splitter.flush(), EVENTS)
        self.assertEqual(splitter.last_event, b'8')

    @given(strategies.integers(0, len(EVENTS)))
    def test_stream_cut_at_any_byte_resumes_without_gap_or_duplicate(self, place):
        splitter = EventSplitter()
        out = splitter.feed(EVENTS[:place])
        splitter.start_run()
        first = int(splitter.last_event or 0) + 1
        again = b''.join(b'id: %d\ndata: x\n\n' % n for n in range(first, 9))
        self.assertEqual(out + splitter.feed(again), EVENTS)

    @given(strategies.lists(strategies.integers(1, 9), max_size=40))
    def test_only_complete_events_are_forwarded_whatever_their_line_ends(self, sizes):
        for end in (b'\n', b'\r\n'):
            events = [b'id: %d' % n + end + b'data: x' + end * 2 for n in range(1, 6)]
            rest, splitter, out = b''.join(events), EventSplitter(), b''
            starts = {b''.join(events[:n]) for n in range(6)}
            for size in [*sizes, len(rest)]:
                out += splitter.feed(rest[:size])
                rest = rest[size:]
                self.assertIn(out, starts)
            self.assertEqual((splitter.last_event, splitter.flush()), (b'5', b''))

    def test_only_a_line_end_after_the_last_field_completes_an_event(self):
        for end in (b'\n', b'\r\n', b'\r'):
            stream = b'id: 1' + end + b'data: x' + end * 2
            for cut in range(len(stream) + 1):
                splitter = EventSplitter()
                splitter.feed(stream[:cut])
                # Half of the last line end of two bytes is one by itself.
                inside = 0 < cut < len(stream) - (len(end) - 1)
                self.assertIs(splitter.is_inside_event(), inside, stream[:cut])

    def test_comments_and_empty_lines_after_an_event_begin_no_other(self):
        splitter = EventSplitter()
        splitter.feed(b'data: x\n\n\n: ping\n')
        self.assertFalse(splitter.is_inside_event())
        self.assertEqual(splitter.flush(), b': ping\n')

    def test_id_within_data_is_ignored(self):
        splitter = EventSplitter()
        splitter.feed(b'id: 4\ndata: a id: 9\n\n')
        self.assertEqual(splitter.last_event, b'4')


class BudgetTest(unittest.TestCase):
    """Retries of a node stay within its share of the budget."""

    @given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 0.4), strategies.booleans()),
            max_size=300,
        ),
        strategies.integers(1, 9),
    )
    def test_no_window_exceeds_ratio_and_constant(self, steps, nodes):
        self.check_windows(steps, nodes, 0.0, 0.0)

    @given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 0.4), strategies.booleans()),
            max_size=300,
        ),
        strategies.integers(1, 90),
        strategies.floats(0, 1, exclude_max=True),
    )
    def test_offset_adds_less_than_one_retry_per_window(self, steps, nodes, offset):
        self.check_windows(steps, nodes, offset, 1.0)

    def check_windows(self, steps, nodes, offset, extra_allowed):
        """Simulate requests and retries, and check every window.

        :param extra_allowed: retries allowed beyond the node's share.
        """
        now = [0.0]
        budget = RetryBudget(0.2, 30.0, 10.0, lambda: now[0], offset)
        first_sends, retries = [], []
        for pause, first in steps:
            now[0] += pause
            if first:
                budget.note_request('s')
                first_sends.append(now[0])
            elif budget.take('s', LimitFractions(1 / nodes, 0.9)):
                retries.append(now[0])
        for end in retries:
            inside = [at for at in retries if end - 10.0 < at <= end]
            asked = [at for at in first_sends if end - 10.0 <= at <= end]
            self.assertLessEqual(
                len(inside), 0.2 * len(asked) + 30.0 / nodes + extra_allowed
            )


class RouterTest(unittest.TestCase):
    """Selection by load, health, capacity and zone."""

    def setUp(self):
        instances, claims = [], []
        for number in range(3):
            group = f'g{number}'
            names = (f'h{number}', f'm{number}')
            claims.append(GroupClaim(group, 5, SERVICE, 'd0', 'small', names))
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                instances.append(
                    build_instance(name, state=state, group=group, epoch=5, rank=rank)
                )
        self.view = build_view(instances, claims)
        self.load_tracker = LoadTracker(lambda: 0.0)
        watchdog = Watchdog(None, None, lambda: 0.0)
        self.router = Router(self.view, self.load_tracker, watchdog, 'a')
        self.service = build_service()

    def choose(self, avoided=(), bound=13):
        return self.router.choose_group(self.service, 'small', avoided, bound)

    def test_least_loaded_group_is_chosen(self):
        for name in ('h0', 'h0', 'h1', 'h1'):
            self.load_tracker.begin(name)
        self.assertEqual(self.choose().head.name, 'h2')

    def test_full_groups_are_not_chosen(self):
        for name in ('h0', 'h1', 'h2'):
            for _ in range(4):
                self.load_tracker.begin(name)
        self.assertIsNone(self.choose(bound=4))
        self.assertIsNotNone(self.choose(bound=5))

    def test_requests_of_peers_count(self):
        self.load_tracker.count_peers = lambda name: 0 if name == 'h1' else 9
        self.assertEqual(self.choose().head.name, 'h1')

    def test_idle_connection_decides_between_equal_loads(self):
        connected = self.view.instances['h1'].address
        watchdog = Watchdog(None, None, lambda: 0.0)
        self.router = Router(
            self.view,
            self.load_tracker,
            watchdog,
            'a',
            has_idle=lambda address: address == connected,
        )
        chosen = {self.choose().head.name for _ in range(40)}
        self.assertEqual(chosen, {'h1'})
        self.load_tracker.begin('h1')
        chosen = {self.choose().head.name for _ in range(40)}
        self.assertNotIn('h1', chosen)

    def test_arrivals_at_other_nodes_are_spread_over_more_than_the_least_load(self):
        watchdog = Watchdog(None, None, lambda: 0.0)
        self.router = Router(
            self.view, self.load_tracker, watchdog, 'a', lambda model: 10.0
        )
        for name in ('h0', 'h1'):
            for _ in range(3):
                self.load_tracker.begin(name)
        chosen = {self.choose().head.name for _ in range(200)}
        self.assertEqual(chosen, {'h0', 'h1', 'h2'})

    def test_head_that_failed_is_avoided(self):
        self.load_tracker.note_failure('h0')
        self.load_tracker.note_failure('h1')
        for _ in range(5):
            self.load_tracker.begin('h2')
        self.assertEqual(self.choose().head.name, 'h2')

    def test_outdated_head_is_avoided_until_its_entry_changes(self):
        for name in ('h0', 'h1', 'h2'):
            self.load_tracker.note_outdated(self.view.instances[name])
        self.assertIsNone(self.choose())
        self.view.instances['h1'] = replace(self.view.instances['h1'])
        self.view.version += 1
        self.assertEqual(self.choose().head.name, 'h1')

    def test_group_in_another_zone_is_chosen_if_local_groups_are_loaded(self):
        for name in ('h0', 'h1'):
            self.view.instances[name] = replace(
                self.view.instances[name], availability_zone='b'
            )
        self.view.version += 1
        self.load_tracker.begin('h2')
        self.assertEqual(self.choose().head.name, 'h2')
        for _ in range(2):
            self.load_tracker.begin('h2')
        self.assertIn(self.choose().head.name, ('h0', 'h1'))

    def test_other_zones_cost_up_to_double_when_the_choice_is_spread(self):
        slots = self.service.engine.slots
        self.assertAlmostEqual(find_zone_cost(self.service, 0.0), 0.15 * slots)
        self.assertAlmostEqual(find_zone_cost(self.service, 0.5), 0.225 * slots)
        self.assertAlmostEqual(find_zone_cost(self.service, 9.0), 0.3 * slots)

    def test_head_that_was_tried_is_not_chosen_again(self):
        self.assertIsNone(self.choose(avoided=('h0', 'h1', 'h2')))


class FakeControl:
    """Answers probes as configured, once the test sets ``go``."""

    def __init__(self, silent=(), found=Probe.SILENT):
        self.silent = silent
        self.found = found
        self.asked = []
        self.go = anyio.Event()

    async def probe(self, instance):
        self.asked.append(instance.name)
        await self.go.wait()
        return self.found if instance.name in self.silent else Probe.ANSWERS


class FakeSession:
    """Records reported losses; ``wake`` ends a wait for a change."""

    def __init__(self):
        self.reported = []
        self.view = build_view()
        self.wake = anyio.Event()
        self.losses = SimpleNamespace(report=self.report)

    async def report(self, name, *, ended=False):
        self.reported.append(name)

    async def wait_changed(self, limit_s):
        await self.wake.wait()


@contextlib.asynccontextmanager
async def reporting(watchdog):
    """Let a watchdog report what it found in the meantime."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watchdog.run)
        yield
        for _ in range(TURNS):
            await anyio.sleep(0)
        tasks.cancel_scope.cancel()


class WatchdogTest(unittest.TestCase):
    """Probes of the members of a stalled group."""

    def setUp(self):
        members = (build_instance('a'), build_instance('b'))
        claim = GroupClaim('g', 5, SERVICE, 'd0', 'small', ('a', 'b'))
        self.group = OpenGroup(claim, members[0], members)
        self.session = FakeSession()
        self.now = 10.0

    def build(self, control):
        return Watchdog(self.session, control, lambda: self.now)

    def test_silent_member_is_probed_and_reported_once(self):
        control = FakeControl(silent=('b',))

        async def run():
            watchdog = self.build(control)
            found = []

            async def check():
                found.append(await watchdog.check_members(self.group))

            async with reporting(watchdog), anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(check)
                await anyio.wait_all_tasks_blocked()
                control.go.set()
            return found, watchdog.is_avoided(self.group)

        found, avoided = anyio.run(run)
        self.assertEqual(found, [False] * 5)
        self.assertTrue(avoided)
        self.assertEqual(sorted(control.asked), ['a', 'b'])
        self.assertEqual(self.session.reported, ['b'])

    # Guards against second runs that begin late as the store does not answer.
    def test_probe_does_not_wait_for_its_report(self):
        control = FakeControl(silent=('b',))
        control.go.set()

        async def report(name, *, ended=False):
            self.session.reported.append(name)
            await anyio.sleep_forever()

        self.session.losses.report = report

        async def run():
            watchdog = self.build(control)
            async with reporting(watchdog):
                with anyio.fail_after(1.0):
                    self.assertFalse(await watchdog.check_members(self.group))

        anyio.run(run)
        self.assertEqual(self.session.reported, ['b'])

    # Guards against a node's lost paths that are told to all as lost instances.
    def test_member_without_a_path_ends_the_wait_and_is_not_reported(self):
        for found in (Probe.INDIRECT, Probe.NO_PATH):
            with self.subTest(found):
                self.session.reported.clear()
                control = FakeControl(silent=('a',), found=found)
                unreached = []

                async def run(control=control, unreached=unreached):
                    control.go.set()
                    watchdog = self.build(control)
                    watchdog.on_unreached = unreached.append
                    async with reporting(watchdog):
                        all_respond = await watchdog.check_members(self.group)
                    return all_respond, watchdog.is_avoided(self.group)

                self.assertEqual(anyio.run(run), (False, False))
                self.assertEqual(unreached, [self.group.head])
                self.assertEqual(self.session.reported, [])

    def test_path_to_a_member_that_takes_no_requests_does_not_matter(self):
        control = FakeControl(silent=('b',), found=Probe.INDIRECT)

        async def run():
            control.go.set()
            return await self.build(control).check_members(self.group)

        self.assertTrue(anyio.run(run))

    def test_stream_from_before_a_cut_does_not_wait_for_a_probe(self):
        control = FakeControl()
        cut_off_at = self.now

        def was_cut_off_after(since):
            return since < cut_off_at

        async def run(since):
            watchdog = Watchdog(
                self.session, control, lambda: self.now, was_cut_off_after
            )
            control.go.set()
            return await watchdog.check_members(self.group, since)

        self.assertFalse(anyio.run(run, self.now - 0.1))
        self.assertEqual(control.asked, [])
        self.assertTrue(anyio.run(run, self.now + 0.1))

    def test_member_reported_lost_ends_a_wait_without_a_probe(self):
        control = FakeControl()

        async def run():
            watchdog = self.build(control)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watchdog.wait_until_unresponsive, self.group, self.now)
                await anyio.wait_all_tasks_blocked()
                self.session.view.lost.note_stored('b')
                self.session.wake.set()
            return await watchdog.check_members(self.group)

        self.assertFalse(anyio.run(run))
        self.assertEqual(control.asked, [])

    # Guards against an overloaded node that never probes a silent group.
    def test_group_is_probed_though_all_waits_end_late(self):
        control = FakeControl(silent=('a',))
        waits = itertools.count()

        async def wait_changed(limit_s):
            # Every other wait ends at a change.
            self.now += 0.0 if next(waits) % 2 else limit_s + 0.2
            await anyio.sleep(0)

        async def run():
            control.go.set()
            self.session.wait_changed = wait_changed
            with anyio.fail_after(5.0):
                return await self.build(control).wait_until_unresponsive(
                    self.group, self.now
                )

        self.assertIs(anyio.run(run), Stall.SILENT)

    # Guards against requests that no check covers in their first tenths of a second.
    def test_member_reported_lost_ends_the_wait_before_the_first_check(self):
        async def run():
            watchdog = self.build(FakeControl())
            found = []

            async def wait():
                found.append(await watchdog.wait_quiet_limit(self.group, self.now))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(found, [])
                self.session.view.lost.note_stored('b')
                self.session.wake.set()
            return found

        self.assertEqual(anyio.run(run), [self.now])

    # Guards against runs that are suspected as the node itself stood still.
    def test_pause_of_the_node_lets_the_first_check_wait_again(self):
        began, asked = self.now, []
        passes = [0.1, MAX_FIRST_QUIET_S + 0.2, MAX_FIRST_QUIET_S]

        async def wait_changed(limit_s):
            asked.append(limit_s)
            self.now += passes[len(asked) - 1]

        self.session.wait_changed = wait_changed
        watchdog = self.build(FakeControl())
        since = anyio.run(watchdog.wait_quiet_limit, self.group, self.now)
        self.assertAlmostEqual(since, began + 0.1 + MAX_FIRST_QUIET_S + 0.2)
        for limit_s, expected_s in zip(
            asked,
            (MAX_FIRST_QUIET_S, MAX_FIRST_QUIET_S - 0.1, MAX_FIRST_QUIET_S),
            strict=True,
        ):
            self.assertAlmostEqual(limit_s, expected_s)

    def test_timeout_is_longer_before_the_response_starts(self):
        watchdog = self.build(FakeControl())
        since = self.now
        self.now += 0.3
        self.assertLess(watchdog.find_quiet_left_s('a', since, MAX_QUIET_S), 0)
        self.assertGreater(watchdog.find_quiet_left_s('a', since, MAX_FIRST_QUIET_S), 0)

    def test_cancelled_probe_is_repeated_for_waiting_callers(self):
        control = FakeControl()

        async def run():
            watchdog = self.build(control)
            found = []

            async def check():
                found.append(await watchdog.check_members(self.group))

            async with anyio.create_task_group() as tasks:
                scope = anyio.CancelScope()

                async def check_and_leave():
                    with scope:
                        await watchdog.check_members(self.group)

                tasks.start_soon(check_and_leave)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(check)
                tasks.start_soon(check)
                await anyio.wait_all_tasks_blocked()
                scope.cancel()
                await anyio.wait_all_tasks_blocked()
                control.go.set()
            return found

        self.assertEqual(anyio.run(run), [True, True])

    def check_trusted_again(self, recover, silent=('b',)):
        """Check that a group is avoided until something shows that it responds."""
        control = FakeControl(silent=silent)
        control.go.set()
        self.session.view.lost.clock = lambda: self.now

        async def run():
            watchdog = self.build(control)
            await watchdog.check_members(self.group)
            avoided = watchdog.is_avoided(self.group)
            self.now += 1.0
            avoided &= watchdog.is_avoided(self.group)
            await recover(watchdog, control)
            return avoided, watchdog.is_avoided(self.group)

        self.assertEqual(anyio.run(run), (True, False))

    # Guards against groups that are avoided for seconds after a short silence.
    def test_group_whose_head_sends_data_is_trusted_again(self):
        async def recover(watchdog, control):
            watchdog.note_activity('a')

        self.check_trusted_again(recover, silent=('a',))

    def test_group_whose_head_sends_data_is_probed_and_trusted_again(self):
        async def recover(watchdog, control):
            control.silent = ()
            async with reporting(watchdog):
                watchdog.note_activity('a')

        for silent in (('b',), ('a', 'b')):
            with self.subTest(silent=silent):
                self.check_trusted_again(recover, silent)

    # Guards against requests to a group whose head sends what it had before another
    # member fell silent.
    def test_group_whose_other_member_is_silent_still_stays_avoided(self):
        for silent in (('b',), ('a', 'b')):
            with self.subTest(silent=silent):
                control = FakeControl(silent=silent)
                control.go.set()
                avoided = []

                async def run(control=control, avoided=avoided):
                    watchdog = self.build(control)
                    await watchdog.check_members(self.group)
                    for _ in range(3):
                        self.now += 0.5
                        control.silent = ('b',)
                        async with reporting(watchdog):
                            watchdog.note_activity('a')
                            avoided.append(watchdog.is_avoided(self.group))
                        avoided.append(watchdog.is_avoided(self.group))

                anyio.run(run)
                self.assertEqual(avoided, [True] * 6)

    # Guards against probes at each event of a head with a silent member.
    def test_head_that_sends_data_is_probed_at_intervals(self):
        control = FakeControl(silent=('b',))
        control.go.set()

        async def run():
            watchdog = self.build(control)
            await watchdog.check_members(self.group)
            for _ in range(10):
                self.now += 0.3 * RECHECK_S
                async with reporting(watchdog):
                    watchdog.note_activity('a')

        anyio.run(run)
        self.assertEqual(control.asked.count('b'), 3)

    def test_group_whose_silent_members_are_told_to_answer_is_trusted_again(self):
        async def recover(watchdog, control):
            self.session.view.lost.note_answering('a')
            self.assertTrue(watchdog.is_avoided(self.group))
            self.session.view.lost.note_answering('b')

        self.check_trusted_again(recover)

    def test_group_whose_members_answer_a_probe_is_trusted_again(self):
        async def recover(watchdog, control):
            control.silent = ()
            self.assertTrue(await watchdog.check_members(self.group))

        self.check_trusted_again(recover)

    def test_head_with_other_active_streams_is_not_probed(self):
        watchdog = self.build(FakeControl())
        self.now = 20.0
        watchdog.note_activity('a')
        self.assertGreater(watchdog.find_quiet_left_s('a', 19.0, MAX_QUIET_S), 0)
        self.assertLess(watchdog.find_quiet_left_s('b', 19.0, MAX_QUIET_S), 0)
        self.assertLess(watchdog.find_quiet_left_s('a', 18.0, MAX_QUIET_S), 0)


class WorkTest(unittest.TestCase):
    """Estimates from the engine profile."""

    def build_fields(self, prompt, answer, hint=0):
        return RequestFields('r', 'h', 8.0, b'', 'small', prompt, answer, hint, b'')

    def test_longer_requests_are_more_work(self):
        engine = build_engine()
        small = estimate_work(engine, SMALL, self.build_fields(100, 50))
        longer = estimate_work(engine, SMALL, self.build_fields(100, 150))
        wider = estimate_work(engine, LARGE, self.build_fields(100, 50))
        self.assertLess(small, longer)
        self.assertLess(small, wider)

    def test_expected_response_length_is_capped_by_the_token_limit(self):
        engine = build_engine()
        bounded = estimate_work(engine, SMALL, self.build_fields(100, 50, 4000))
        self.assertEqual(
            bounded, estimate_work(engine, SMALL, self.build_fields(100, 50, 50))
        )

    def test_limit_is_the_slots_if_the_objective_allows_no_wait(self):
        engine = build_engine()
        self.assertEqual(find_max_in_flight(engine, SMALL, 0.2), engine.slots)
        self.assertGreater(find_max_in_flight(engine, LARGE, 0.6), engine.slots)


class DeadlineTest(unittest.TestCase):
    """A response that is written by the deadline is not aborted."""

    def end_at_deadline(self, *, started, written):
        connection = SimpleNamespace(broken=False)
        reply = ResponseWriter(
            connection, started=started, ended=written, written=written
        )
        job = SimpleNamespace(
            reply=reply, sent=['a'], ending=Ending.ANSWERED, last_reason=''
        )
        refusal = Gateway._end_at_deadline(SimpleNamespace(), job)
        return refusal, connection.broken

    def test_written_response_is_not_aborted(self):
        self.assertEqual(
            self.end_at_deadline(started=True, written=True), (None, False)
        )

    def test_partial_response_is_aborted(self):
        self.assertEqual(
            self.end_at_deadline(started=True, written=False), (None, True)
        )

    def test_request_without_response_gets_504(self):
        refusal, broken = self.end_at_deadline(started=False, written=False)
        self.assertEqual((refusal.status, broken), (504, False))


class RunLimitTest(unittest.TestCase):
    """The number of runs of a stream stays within the limit of its route.

    Guards against runs that were not counted because their group had lost a member,
    although the head that executed them was alive.  While instances answered with
    errors and groups lost members, 13 streams ran on three instances instead of two.
    """

    def setUp(self):
        # Neither head is in an open group, so both groups have lost members.
        view = build_view([build_instance('a'), build_instance('b')])
        components = SimpleNamespace(session=SimpleNamespace(view=view))
        self.streams = StreamServer(components, None)

    def may_run_again(self, *ran, unlisted=()):
        job = SimpleNamespace(
            may_have_run=set(ran),
            unlisted=set(unlisted),
            sent=list(ran),
            route=SimpleNamespace(attempts=2),
        )
        return self.streams._may_run_again(job)

    def test_second_run_is_allowed_after_one(self):
        self.assertTrue(self.may_run_again('a'))

    def test_runs_of_broken_groups_count(self):
        self.assertFalse(self.may_run_again('a', 'b'))

    def test_runs_of_gone_instances_do_not_count(self):
        self.assertTrue(self.may_run_again('a', 'gone'))
        self.assertTrue(self.may_run_again('gone', 'gone too'))

    # Guards against runs on a third instance while two whose entries went serve on.
    def test_runs_of_instances_that_run_on_without_an_entry_count(self):
        self.assertFalse(self.may_run_again('a', 'gone', unlisted=['gone']))
        gone = ('gone', 'gone too')
        self.assertFalse(self.may_run_again(*gone, unlisted=gone))


class StartupWaitTest(unittest.TestCase):
    """Requests that arrive while a node starts wait for its configuration."""

    def wait(self, starting_for, patience_s=8.0):
        now = [10.0]
        waits = []

        async def wait_changed(limit_s):
            waits.append(limit_s)
            now[0] += 0.1

        session = SimpleNamespace(
            is_starting=lambda: now[0] < 10.0 + starting_for, wait_changed=wait_changed
        )
        components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            router=None,
            budget=None,
            clock=lambda: now[0],
        )
        gateway = Gateway(components, None, None, None, None)
        request = SimpleNamespace(received_at=10.0)
        anyio.run(gateway._wait_for_startup, request, patience_s)
        return len(waits)

    def test_configured_node_does_not_wait(self):
        self.assertEqual(self.wait(0.0), 0)

    def test_wait_ends_with_the_first_confirmation(self):
        self.assertEqual(self.wait(0.15), 2)

    def test_wait_is_bounded(self):
        self.assertEqual(self.wait(60.0), 8)
        self.assertEqual(self.wait(60.0, patience_s=None), 8)

    def test_wait_is_a_share_of_a_short_client_timeout(self):
        self.assertEqual(self.wait(60.0, patience_s=1.0), 3)
