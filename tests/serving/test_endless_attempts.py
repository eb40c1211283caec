"""Requests whose engines send bytes that are no answer, without end."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from coursepitch import events, log
from coursepitch.serving import outcomes
from coursepitch.serving.outcomes import RefusedError
from tests.serving.endless_scripts import FAST, HEAD_KINDS, SLOW, EndlessScript
from tests.serving.engines import (
    TOKENS,
    Engine,
    answer_whole,
    build_run,
    list_texts,
    open_dispatcher,
    stream_tokens,
)

#: Limits of silence, and limits that no test reaches, in seconds.
LIMITS = {'first_byte_timeout_s': 0.2, 'gap_timeout_s': 0.2}
LONG_LIMITS = {'first_byte_timeout_s': 60.0, 'gap_timeout_s': 60.0}

#: Bound by which a request must have ended, in seconds.
ENDED_S = 5.0

EXPECTED = [f't{place}' for place in range(TOKENS)]

#: Bytes where events are due that bring no chunk.
EVENT_KINDS = ('comments', 'line_breaks', 'event', 'fields', 'repeats')

#: What proves an engine's failure as bytes exceed a bound.
BODY_KINDS = ('body', 'chunks', 'extension', 'extensions')


def read(*scripts, streamed, repeatable=True, **settings):
    """Return the texts of an answer or its refusal, and whether all floods were left.

    ``None`` if the request does not end in time.
    """

    async def run():
        engines, found = [Engine(script) for script in scripts], None
        floods = [script for script in scripts if isinstance(script, EndlessScript)]
        async with open_dispatcher(*engines, **{**LIMITS, **settings}) as dispatcher:
            request = build_run(engines[0], repeatable=repeatable)
            with anyio.move_on_after(ENDED_S):
                try:
                    if streamed:
                        found = [part async for part in dispatcher.stream(request)]
                    else:
                        found = [await dispatcher.fetch(request)]
                    found = list_texts(found)
                except RefusedError as error:
                    found = error.problem.refusal
                await dispatcher.finish(request)
                for flood in floods:
                    await flood.left.wait()
        return found, all(flood.left.is_set() for flood in floods)

    return anyio.run(run)


class EndlessStreamTest(unittest.TestCase):
    """Streams of engines that send bytes which bring no chunk."""

    # Guards against bytes that are taken for progress of a stream.
    def test_stream_comes_from_another_engine(self):
        for kind in (*HEAD_KINDS, *EVENT_KINDS, *BODY_KINDS):
            for pace in (FAST, SLOW):
                with self.subTest(kind=kind, pace=pace):
                    found = read(
                        EndlessScript(kind, pace), stream_tokens(), streamed=True
                    )
                    self.assertEqual(found, (EXPECTED, True))

    # Guards against a wait for the deadline once no answer can come.
    def test_stream_that_may_not_be_repeated_ends_with_the_proof(self):
        for kind in (*HEAD_KINDS, 'comments', 'line_breaks', 'event', 'fields'):
            with self.subTest(kind):
                found, left = read(
                    EndlessScript(kind, FAST),
                    streamed=True,
                    repeatable=False,
                    **LONG_LIMITS,
                )
                expected = outcomes.TARGET_FAILED
                if kind not in HEAD_KINDS:
                    expected = outcomes.STREAM_CUT
                self.assertIs(found, expected)
                self.assertTrue(left)

    # Guards against a stall that cannot be told from silence.
    def test_stalled_run_tells_of_the_bytes_that_came(self):
        for streamed in (True, False):
            with mock.patch.object(log, 'emit') as emit:
                other = stream_tokens() if streamed else answer_whole()
                read(EndlessScript('header_lines', SLOW), other, streamed=streamed)
            stalls = [
                call.kwargs
                for call in emit.call_args_list
                if call.args == (events.RUN_STALLED,)
            ]
            self.assertGreater(stalls[0]['received'], 0)
            self.assertEqual(set(stalls[0]), set(events.RUN_STALLED.fields))

    def test_chunks_that_come_again_prove_the_failure_of_a_stream(self):
        found = read(
            EndlessScript('repeats', FAST),
            streamed=True,
            repeatable=False,
            **LONG_LIMITS,
        )
        self.assertEqual(found, (outcomes.STREAM_CUT, True))


class EndlessAnswerTest(unittest.TestCase):
    """Answers that are not streamed, of engines that send without end."""

    def test_answer_comes_from_another_engine(self):
        for kind in (*HEAD_KINDS, *BODY_KINDS):
            for pace in (FAST, SLOW):
                with self.subTest(kind=kind, pace=pace):
                    found = read(
                        EndlessScript(kind, pace), answer_whole(), streamed=False
                    )
                    self.assertEqual(found, (['t'], True))

    # Guards against an answer without end that is held in memory.
    def test_answer_that_may_not_be_repeated_ends_with_the_proof(self):
        for kind in (*HEAD_KINDS, 'body', 'extension', 'extensions'):
            with self.subTest(kind):
                found = read(
                    EndlessScript(kind, FAST),
                    streamed=False,
                    repeatable=False,
                    **LONG_LIMITS,
                )
                self.assertEqual(found, (outcomes.TARGET_FAILED, True))


class EndlessRefusalTest(unittest.TestCase):
    """Errors and refusals whose bodies never end are left at once."""

    def test_status_of_an_error_decides(self):
        for kind, refusal in (
            ('error_body', outcomes.TARGET_FAILED),
            ('refusal_body', outcomes.TARGET_REFUSED),
        ):
            for pace in (FAST, SLOW):
                for streamed in (True, False):
                    with self.subTest(kind=kind, pace=pace, streamed=streamed):
                        found = read(
                            EndlessScript(kind, pace),
                            streamed=streamed,
                            repeatable=False,
                            **LONG_LIMITS,
                        )
                        self.assertEqual(found, (refusal, True))


if __name__ == '__main__':
    unittest.main()
