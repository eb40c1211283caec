"""Requests whose engines fall silent and go on, or never go on."""

from __future__ import annotations

import time
import unittest

import anyio

from tests.serving.engines import (
    TOKENS,
    Engine,
    answer_whole,
    build_run,
    list_texts,
    open_dispatcher,
    refuse,
    stand_still,
    stream_tokens,
)

#: Limits of silence, and a silence beyond both of them, twice.
LIMITS = {'first_byte_timeout_s': 0.2, 'gap_timeout_s': 0.2}
SILENT_S = 0.7

EXPECTED = [f't{place}' for place in range(TOKENS)]


def read_stream(*engines, repeatable=True, **settings):
    """Return the texts of a streamed answer."""

    async def run():
        async with open_dispatcher(*engines, **{**LIMITS, **settings}) as dispatcher:
            request = build_run(engines[0], repeatable=repeatable)
            chunks = [chunk async for chunk in dispatcher.stream(request)]
            await dispatcher.finish(request)
            await anyio.sleep(0.2)
        return list_texts(chunks)

    return anyio.run(run)


def fetch(*engines, repeatable=True, **settings):
    """Return the text of an answer that is not streamed."""

    async def run():
        async with open_dispatcher(*engines, **{**LIMITS, **settings}) as dispatcher:
            request = build_run(engines[0], repeatable=repeatable)
            answer = await dispatcher.fetch(request)
            await dispatcher.finish(request)
        return list_texts([answer])[0]

    return anyio.run(run)


class SilentStreamTest(unittest.TestCase):
    """Streams of engines that go on are whole."""

    def test_stream_that_is_not_repeatable_outlasts_a_silence(self):
        engine = Engine(stream_tokens(after=2, silent_s=SILENT_S))
        self.assertEqual(read_stream(engine, repeatable=False), EXPECTED)

    def test_stream_that_is_not_repeatable_outlasts_a_silence_before_its_head(self):
        engine = Engine(stream_tokens(before_s=SILENT_S))
        self.assertEqual(read_stream(engine, repeatable=False), EXPECTED)
        self.assertEqual(engine.seen, ['post /v1/completions'])

    def test_stream_without_retry_budget_outlasts_a_silence(self):
        first = Engine(stream_tokens(after=2, silent_s=SILENT_S))
        second = Engine(stream_tokens())
        found = read_stream(first, second, retry_burst=0.0)
        self.assertEqual((found, second.seen), (EXPECTED, []))

    def test_stream_without_another_replica_outlasts_a_silence(self):
        engine = Engine(stream_tokens(before_s=SILENT_S))
        self.assertEqual(read_stream(engine), EXPECTED)

    def test_silent_stream_goes_on_after_another_replica_refused(self):
        first = Engine(stream_tokens(before_s=SILENT_S))
        found = read_stream(first, Engine(refuse()), attempts=2)
        self.assertEqual(found, EXPECTED)

    def test_first_of_several_silent_engines_may_go_on(self):
        first = Engine(stream_tokens(before_s=2 * SILENT_S))
        others = [Engine(stand_still()), Engine(stand_still())]
        self.assertEqual(read_stream(first, *others), EXPECTED)

    # Guards against streams that wait for an engine which ended in silence.
    def test_stream_of_an_engine_that_stays_silent_continues_elsewhere(self):
        first = Engine(stream_tokens(after=2, silent_s=60))
        second = Engine(stream_tokens())
        self.assertEqual(read_stream(first, second), EXPECTED)
        self.assertIn('delete /v1/streams/r1.1', first.seen)

    def test_chunks_of_two_engines_come_once(self):
        first = Engine(stream_tokens(after=2, silent_s=SILENT_S))
        second = Engine(stream_tokens(after=4, silent_s=SILENT_S))
        self.assertEqual(read_stream(first, second), EXPECTED)


class StandstillTest(unittest.TestCase):
    """A node that stands still while engines answer."""

    # Guards against a stop of the own process that is taken for a silence of engines.
    def test_limit_that_passes_late_begins_anew(self):
        limit_s = LIMITS['first_byte_timeout_s']
        answer = stream_tokens(before_s=0.1 * limit_s)

        async def answer_after_standstill(stream, name, start):
            # Nothing runs in this loop meanwhile, so the limit passes late.
            time.sleep(2 * limit_s)
            await answer(stream, name, start)

        first, second = Engine(answer_after_standstill), Engine(stream_tokens())
        self.assertEqual(read_stream(first, second), EXPECTED)
        self.assertEqual((len(first.seen), second.seen), (1, []))


class SilentAnswerTest(unittest.TestCase):
    """Answers that are not streamed come after any silence."""

    def test_answer_that_is_not_repeatable_outlasts_a_silence(self):
        engine = Engine(answer_whole(before_s=SILENT_S))
        self.assertEqual(fetch(engine, repeatable=False), 't')
        self.assertEqual(engine.seen, ['post /v1/completions'])

    # Guards against the limit of gaps in streams applied to heads.
    def test_answer_may_take_longer_than_a_gap_in_a_stream(self):
        first, second = Engine(answer_whole(before_s=SILENT_S)), Engine(answer_whole())
        found = fetch(first, second, first_byte_timeout_s=10.0)
        self.assertEqual((found, second.seen), ('t', []))

    def test_answer_without_retry_budget_outlasts_a_silence(self):
        first, second = Engine(answer_whole(before_s=SILENT_S)), Engine(answer_whole())
        found = fetch(first, second, retry_burst=0.0)
        self.assertEqual((found, second.seen), ('t', []))

    def test_answer_of_an_engine_that_stays_silent_comes_from_another(self):
        first, second = Engine(stand_still()), Engine(answer_whole())
        self.assertEqual(fetch(first, second), 't')
