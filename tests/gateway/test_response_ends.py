"""What shows that a response is not whole, by its framing, events and instance."""

from __future__ import annotations

import contextlib
import time
import unittest
from functools import partial
from types import SimpleNamespace

import anyio
import anyio.lowlevel

from coursepitch.config.routes import RouteKind
from coursepitch.fleet.control import ProcessState
from coursepitch.gateway.response_ends import (
    SILENCE_S,
    Arrivals,
    BrokenOffError,
    check_body,
    check_sender,
)
from coursepitch.gateway.runs import Run
from coursepitch.gateway.watchdog import Stall
from coursepitch.http.client import Framing
from coursepitch.http.event_splitter import MAX_EVENT_BYTES, EventSplitter

#: Largest processor time in seconds of one turn of the event loop, as a request takes
#: ten turns within an objective of 0.36 s.
TURN_S = 0.036

EVENT_STREAM = b'text/event-stream'
EVENT = b'id: 1\ndata: x\n\n'


class FakeDetector:
    """Knows what is proven of the instance; counts the questions."""

    def __init__(
        self,
        crashed=False,
        state=ProcessState.RUNS,
        silent=ProcessState.UNKNOWN,
        leaving=None,
    ):
        self.leaving = leaving
        self.state = ProcessState.ENDED if crashed else state
        self.silent = silent
        self.asked = 0

    def clock(self):
        return 0.0

    def is_listed(self, instance):
        return self.leaving is None

    async def find_state(self, instance):
        self.asked += 1
        return self.state

    async def find_state_of_silent(self, instance):
        return self.silent

    async def find_state_of_leaving(self, instance):
        self.asked += 1
        return self.leaving


class ResponseEndTest(unittest.TestCase):
    """Responses as they are read, to their end."""

    def build_exchange(
        self,
        framing,
        *,
        media_type=None,
        kind=RouteKind.STREAM,
        status=200,
        last_event=b'',
        runs=1,
    ):
        """Return a job and its response."""
        headers = () if media_type is None else ((b'Content-Type', media_type),)
        answer = SimpleNamespace(status=status, headers=headers, framing=framing)
        job = SimpleNamespace(
            route=SimpleNamespace(kind=kind),
            fields=SimpleNamespace(request='r', last_event=last_event),
            sent=['i'] * runs,
        )
        return job, answer

    def is_broken_off(
        self,
        body,
        framing=Framing.CONNECTION,
        *,
        detector=None,
        **options,
    ):
        job, answer = self.build_exchange(framing, **options)
        instance = SimpleNamespace(name='i')
        self.job = job
        detector = detector or FakeDetector()
        try:
            anyio.run(check_body, detector, job, answer, instance, body)
        except BrokenOffError:
            return True
        return False

    # Guards against crashes that pass for successes, as nothing proves the contrary.
    def test_end_of_a_connection_alone_proves_no_success(self):
        for framing, state, survived in (
            (Framing.LENGTH, ProcessState.UNKNOWN, True),
            (Framing.CHUNKS, ProcessState.UNKNOWN, True),
            (Framing.CONNECTION, ProcessState.RUNS, True),
            (Framing.CONNECTION, ProcessState.UNKNOWN, False),
        ):
            with self.subTest(framing=framing, state=state):
                detector = FakeDetector(state=state)
                body = b'id: 1\ndata: x\n\n'
                self.assertFalse(self.is_broken_off(body, framing, detector=detector))
                self.assertEqual(self.job.survived, survived)

    def test_stream_that_ends_inside_an_event_is_broken_off_in_any_framing(self):
        for framing in Framing:
            for end in range(1, len(EVENT)):
                body = EVENT + EVENT[:end]
                self.assertTrue(self.is_broken_off(body, framing), body)
            self.assertFalse(self.is_broken_off(EVENT, framing))

    def test_stream_without_events_is_broken_off_if_its_connection_tells_its_end(self):
        self.assertTrue(self.is_broken_off(b''))
        self.assertTrue(self.is_broken_off(b': ping\n\n'))
        for framing in (Framing.LENGTH, Framing.CHUNKS):
            self.assertFalse(self.is_broken_off(b'', framing))

    def test_stream_whose_lines_end_with_carriage_returns_has_events(self):
        self.assertFalse(self.is_broken_off(b'id: 1\rdata: x\r\r'))

    # Guards against whole responses of plain calls that are refused for their size.
    def test_whole_body_with_a_large_event_is_not_broken_off(self):
        event = b'data: ' + b'x' * (MAX_EVENT_BYTES + 1) + b'\n\n'
        for kind in RouteKind:
            for framing in Framing:
                found = self.is_broken_off(
                    EVENT + event,
                    framing,
                    kind=kind,
                    media_type=EVENT_STREAM,
                )
                self.assertFalse(found)
            self.assertTrue(self.is_broken_off(event[:-1], media_type=EVENT_STREAM))
        self.assertFalse(self.is_broken_off(b': ping\n\n' * 200_000, Framing.CHUNKS))

    # Guards against a node whose other requests wait for the events of one body.
    def test_events_of_a_large_body_are_searched_in_several_turns(self):
        for unit in (EVENT, b': ping\n\n', b'\n', b'data: x\n', b':'):
            body = unit * (4 * MAX_EVENT_BYTES // len(unit))
            for framing in Framing:
                with self.subTest(unit=unit, framing=framing):
                    turns = anyio.run(self.measure_turns, body, framing)
                    self.assertLess(max(turns), TURN_S)

    async def measure_turns(self, body, framing):
        """Return the processor time between two turns of another task."""
        turns = []

        async def measure():
            last = time.thread_time()
            while True:
                await anyio.lowlevel.checkpoint()
                now = time.thread_time()
                turns.append(now - last)
                last = now

        job, answer = self.build_exchange(framing)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(measure)
            await anyio.lowlevel.checkpoint()
            with contextlib.suppress(BrokenOffError):
                instance = SimpleNamespace(name='i')
                await check_body(FakeDetector(), job, answer, instance, body)
            await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        return turns

    def test_client_that_resumes_may_have_had_the_last_event(self):
        self.assertFalse(self.is_broken_off(b'', last_event=b'8'))

    # Guards against a second run that ends at once and hides what the first one lost.
    def test_second_run_without_events_is_broken_off(self):
        self.assertTrue(self.is_broken_off(b'', last_event=b'8', runs=2))

    def test_media_type_decides_what_has_events(self):
        half = EVENT[:-1]
        for media_type in (b'text/event-stream', b'Text/Event-Stream; charset=utf-8'):
            for kind in RouteKind:
                found = self.is_broken_off(half, media_type=media_type, kind=kind)
                self.assertTrue(found)
        self.assertFalse(self.is_broken_off(b'{}', media_type=b'application/json'))
        self.assertFalse(self.is_broken_off(b'text', kind=RouteKind.ONCE))

    def test_body_of_an_error_has_no_events(self):
        self.assertFalse(self.is_broken_off(b'no', status=500))

    def test_crash_breaks_off_only_what_its_connection_ends(self):
        for framing in Framing:
            detector = FakeDetector(crashed=True)
            found = self.is_broken_off(EVENT, framing, detector=detector)
            unproved = framing is Framing.CONNECTION
            self.assertEqual((found, detector.asked), (unproved, int(unproved)))

    # Guards against streams that look complete though nobody could ask their instance.
    def test_end_of_a_connection_without_any_path_to_its_instance_breaks_off(self):
        for framing in Framing:
            detector = FakeDetector(state=ProcessState.UNREACHED)
            found = self.is_broken_off(EVENT, framing, detector=detector)
            self.assertEqual(found, framing is Framing.CONNECTION)

    def is_silent_end_broken_off(self, *, steady, **states):
        """Whether a response ends broken off that was silent shortly before, or not."""
        answer = SimpleNamespace(status=200, headers=(), framing=Framing.CONNECTION)
        self.job = SimpleNamespace(fields=SimpleNamespace(request='r'))
        instance, detector = SimpleNamespace(name='i'), FakeDetector(**states)

        async def check():
            await check_sender(detector, self.job, answer, instance, steady=steady)

        try:
            anyio.run(check)
        except BrokenOffError:
            return True
        return False

    # Guards against parts of streams that look complete as nothing is known of their
    # instance, although they had been silent.
    def test_silent_response_is_whole_only_if_its_instance_answers(self):
        for found, broken_off in (
            (ProcessState.RUNS, False),
            (ProcessState.UNKNOWN, True),
            (ProcessState.ENDED, True),
            (ProcessState.UNREACHED, True),
        ):
            with self.subTest(found):
                states = {'state': ProcessState.UNKNOWN, 'silent': found}
                self.assertEqual(
                    self.is_silent_end_broken_off(steady=False, **states), broken_off
                )
                self.assertEqual(self.job.survived, found is ProcessState.RUNS)
                self.assertFalse(self.is_silent_end_broken_off(steady=True, **states))

    def is_leaving_broken_off(self, state, kind=RouteKind.STREAM):
        """Whether a steady response of an instance that is leaving is broken off."""
        job, answer = self.build_exchange(Framing.CONNECTION, kind=kind)
        detector = FakeDetector(state=ProcessState.UNKNOWN, leaving=state)
        instance = SimpleNamespace(name='i')
        if kind is RouteKind.STREAM:
            check = partial(check_sender, detector, job, answer, instance)
        else:
            check = partial(check_body, detector, job, answer, instance, b'part')
        try:
            anyio.run(check)
        except BrokenOffError:
            return True
        return False

    # Guards against parts of answers that look whole as their leaving instance ended.
    def test_response_of_a_leaving_instance_that_has_ended_is_broken_off(self):
        for kind in RouteKind:
            for state in (ProcessState.ENDED, ProcessState.UNREACHED):
                with self.subTest(kind=kind, state=state):
                    self.assertTrue(self.is_leaving_broken_off(state, kind))

    def test_response_of_a_leaving_instance_that_may_run_is_whole(self):
        for kind in RouteKind:
            for state in (ProcessState.RUNS, ProcessState.UNKNOWN):
                with self.subTest(kind=kind, state=state):
                    self.assertFalse(self.is_leaving_broken_off(state, kind))

    # Guards against whole streams that look broken off as they paused.
    def test_silent_response_of_an_instance_that_lives_is_whole(self):
        found = self.is_silent_end_broken_off(steady=False, state=ProcessState.RUNS)
        self.assertFalse(found)

    def test_response_of_an_instance_that_lives_is_whole(self):
        for kind in RouteKind:
            self.assertFalse(self.is_broken_off(EVENT, kind=kind))


class ArrivalsTest(unittest.TestCase):
    """Whether a response was silent shortly before its end."""

    def are_steady(self, *times, end):
        arrivals = Arrivals()
        for at in times:
            arrivals.note(at)
        return arrivals.are_steady(end)

    def test_bytes_without_a_silence_are_steady(self):
        self.assertTrue(self.are_steady(1.0, 1.5, 2.0, end=2.5))

    def test_silence_before_the_end_is_not_steady(self):
        self.assertFalse(self.are_steady(1.0, 1.5, end=1.51 + SILENCE_S))

    # Guards against bytes that were held up and arrive together with the end.
    def test_silence_that_has_just_ended_is_not_steady(self):
        resumed_at = 1.01 + SILENCE_S
        for after_s, steady in ((0, False), (0.5, False), (0.99, False), (1.01, True)):
            with self.subTest(after_s):
                end = resumed_at + after_s * SILENCE_S
                times = (1.0, resumed_at, (resumed_at + end) / 2, end)
                self.assertEqual(self.are_steady(*times, end=end), steady)

    # Guards against long prompts that count as silences.
    def test_time_before_the_first_bytes_does_not_count(self):
        self.assertTrue(self.are_steady(100.0, 100.1, end=100.2))
        self.assertTrue(self.are_steady(end=100.0))


class SilentGroupTest(unittest.TestCase):
    """Whether a stream whose group did not answer before its first bytes was silent."""

    def is_steady(self, stall, end, stalled_at=100.0):
        run = Run(None, EventSplitter(), stall=stall, stalled_at=stalled_at)
        for at in (102.0, 102.01):
            run.note_arrival(at)
        return run.arrivals.are_steady(end)

    # Guards against a stream of an ended instance that counts as complete.
    def test_bytes_after_a_proven_silence_are_not_steady(self):
        for stall in (Stall.SILENT, Stall.REPORTED):
            self.assertFalse(self.is_steady(stall, 102.02))
            self.assertTrue(self.is_steady(stall, 102.01 + SILENCE_S))
            self.assertTrue(self.is_steady(stall, 102.02, stalled_at=101.9))

    def test_wait_at_a_group_that_answers_is_no_silence(self):
        for stall in (None, Stall.OVERDUE, Stall.CUT_OFF):
            self.assertTrue(self.is_steady(stall, 102.02))
