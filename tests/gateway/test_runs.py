"""Runs of a request: which one delivers, when another is tried, and how each ends."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from coursepitch.gateway.runs import RunRace
from tests.gateway.builders import build_run, build_runs


class RunSetTest(unittest.TestCase):
    """A set holds the runs that may still deliver the response."""

    def test_choice_returns_all_other_runs_and_keeps_one(self):
        runs, (first, second, third) = build_runs('a', 'b', 'c')
        self.assertEqual(runs.choose(second), (first, third))
        self.assertEqual(runs.live, [second])
        self.assertEqual(runs.heads, {'b'})

    def test_chosen_run_is_no_longer_suspected(self):
        runs, (first, second) = build_runs('a', 'b')
        first.suspected = second.suspected = True
        runs.choose(first)
        self.assertFalse(first.suspected)
        self.assertTrue(second.suspected)

    def test_another_run_is_needed_only_while_all_are_suspected(self):
        runs, (first, second) = build_runs('a', 'b')
        self.assertFalse(runs.needs_another())
        first.suspected = True
        self.assertFalse(runs.needs_another())
        second.suspected = True
        self.assertTrue(runs.needs_another())

    # Guards against a request that crashes a second instance before a crash is known.
    def test_no_other_run_is_needed_while_a_lost_connection_is_examined(self):
        runs, (first, second) = build_runs('a', 'b')
        first.suspected = second.suspected = first.interrupted = True
        self.assertFalse(runs.needs_another())
        runs.remove(first)
        self.assertTrue(runs.needs_another())

    # Guards against another run beside none: the request is then served anew.
    def test_no_other_run_is_needed_without_runs(self):
        runs, (first,) = build_runs('a')
        runs.remove(first)
        self.assertFalse(runs.needs_another())

    def test_events_are_taken_once(self):
        run = build_run('a')
        run.events = b'id: 1\n\n'
        self.assertEqual(run.take_events(), b'id: 1\n\n')
        self.assertEqual(run.take_events(), b'')


async def let_tasks_run():
    """Let tasks run whose futures are done: they count as blocked until then."""
    for _ in range(20):
        await asyncio.sleep(0)


class Race:
    """A race whose runs advance, fail and are suspected when the test says so."""

    def __init__(self, *names):
        self.runs, self.found = build_runs(*names)
        self.advanced, self.silent, self.others = {}, {}, asyncio.Queue()
        self.sought = 0
        self.defer = None
        self.winner = 'none yet'

    def _find(self, table, run):
        return table.setdefault(run, asyncio.get_running_loop().create_future())

    async def advance(self, run):
        return await self._find(self.advanced, run)

    async def watch(self, run):
        await self._find(self.silent, run)

    async def find_other(self):
        self.sought += 1
        return await self.others.get()

    async def end(self, run, result):
        """Let a run advance (``True``) or fail."""
        self._find(self.advanced, run).set_result(result)
        await anyio.wait_all_tasks_blocked()

    async def suspect(self, run):
        self._find(self.silent, run).set_result(None)
        await anyio.wait_all_tasks_blocked()

    async def offer(self, run):
        self.others.put_nowait(run)
        await anyio.wait_all_tasks_blocked()

    def is_read(self, run):
        """Whether the race reads from a run at present."""
        found = self.advanced.get(run)
        return found is not None and not found.done()

    def play(self, scenario):
        """Run a scenario beside the race; return what the race returns."""

        async def main():
            options = {} if self.defer is None else {'defer': self.defer}
            race = RunRace(
                self.runs, self.advance, self.watch, self.find_other, **options
            )

            async def wait():
                self.winner = await race.wait()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                await scenario()
                tasks.cancel_scope.cancel()
            await anyio.wait_all_tasks_blocked()
            return len(anyio.get_running_tasks())

        self.tasks_left = anyio.run(main) - 1
        return self.winner


class RunRaceTest(unittest.TestCase):
    """The first run to make progress delivers; none ends by being suspected."""

    def play(self, race, scenario):
        winner = race.play(scenario)
        self.assertEqual(race.tasks_left, 0)
        return winner

    def test_run_that_advances_delivers(self):
        race = Race('a', 'b')

        async def scenario():
            await race.end(race.found[1], True)

        self.assertIs(self.play(race, scenario), race.found[1])

    # Guards against tasks for a second run that each request pays for.
    def test_single_run_is_read_by_the_task_that_waits_and_watched_by_one_more(self):
        race = Race('a')

        async def scenario():
            names = [task.name for task in anyio.get_running_tasks()]
            # That of the scenario, the one that waits, and the one that watches.
            self.assertEqual(len(names), 3, names)
            self.assertTrue(race.is_read(race.found[0]))
            self.assertIn(race.found[0], race.silent)

        self.play(race, scenario)

    # Guards against a watch that starts once its race is over: it has no task group.
    def test_watch_that_has_not_started_is_withdrawn_with_the_race(self):
        for result in (True, False):
            with self.subTest(result=result):
                race = Race('a')
                starts, withdrawn = [], []

                def defer(run, start, starts=starts, withdrawn=withdrawn):
                    starts.append((run, start))
                    return lambda: withdrawn.append(run)

                async def scenario(race=race, result=result, withdrawn=withdrawn):
                    self.assertEqual(race.silent, {})
                    self.assertEqual(withdrawn, [])
                    await race.end(race.found[0], result)

                race.defer = defer
                self.play(race, scenario)
                self.assertEqual([run for run, _ in starts], race.found)
                self.assertEqual(withdrawn, race.found)

    def test_run_is_watched_once_its_watch_starts(self):
        race, starts = Race('a'), []

        async def scenario():
            starts[0]()
            await anyio.wait_all_tasks_blocked()
            await race.suspect(race.found[0])
            self.assertEqual(race.sought, 1)

        def defer(run, start):
            starts.append(start)
            return lambda: None

        race.defer = defer
        self.play(race, scenario)

    # Guards against a line in the log about a run that was not silent.
    def test_watch_that_starts_just_after_the_race_was_decided_does_nothing(self):
        race, starts = Race('a'), []

        async def scenario():
            race._find(race.advanced, race.found[0]).set_result(True)
            asyncio.get_running_loop().call_soon(starts[0])
            await let_tasks_run()

        def defer(run, start):
            starts.append(start)
            return lambda: None

        race.defer = defer
        self.assertIs(self.play(race, scenario), race.found[0])
        self.assertEqual(race.silent, {})

    # Guards against two runs that deliver: the first to advance alone decides.
    def test_two_runs_that_advance_at_once_give_one_winner(self):
        for order in ((0, 1), (1, 0)):
            with self.subTest(order=order):
                race = Race('a', 'b')

                async def scenario(race=race, order=order):
                    for index in order:
                        race._find(race.advanced, race.found[index]).set_result(True)
                    await let_tasks_run()

                self.assertIs(self.play(race, scenario), race.found[order[0]])
                self.assertEqual(race.runs.live, race.found)

    # Guards against streams that end although a silent instance would go on.
    def test_suspected_run_is_kept_and_may_still_deliver(self):
        race = Race('a')
        (first,) = race.found

        async def scenario():
            await race.suspect(first)
            self.assertEqual(race.runs.live, [first])
            self.assertTrue(race.is_read(first))
            await race.end(first, True)

        self.assertIs(self.play(race, scenario), first)

    def test_another_run_is_sought_once_all_are_suspected(self):
        race = Race('a', 'b')

        async def scenario():
            await race.suspect(race.found[0])
            self.assertEqual(race.sought, 0)
            await race.suspect(race.found[1])
            self.assertEqual(race.sought, 1)

        self.play(race, scenario)

    def test_failure_of_the_only_trusted_run_lets_another_be_sought(self):
        race = Race('a', 'b')

        async def scenario():
            await race.suspect(race.found[0])
            await race.end(race.found[1], False)
            self.assertEqual(race.sought, 1)
            self.assertEqual(race.runs.live, [race.found[0]])

        self.play(race, scenario)

    def test_no_run_is_sought_until_the_cause_of_an_interruption_is_known(self):
        race = Race('a', 'b')

        async def scenario():
            race.found[0].interrupted = True
            for run in race.found:
                await race.suspect(run)
            self.assertEqual(race.sought, 0)
            await race.end(race.found[0], False)
            self.assertEqual(race.sought, 1)

        self.play(race, scenario)

    # Guards against a race that gives up while a silent run is left.
    def test_race_goes_on_while_a_suspected_run_is_left(self):
        race = Race('a', 'b')

        async def scenario():
            await race.suspect(race.found[0])
            await race.end(race.found[1], False)
            self.assertEqual(race.winner, 'none yet')
            await race.end(race.found[0], False)

        self.assertIsNone(self.play(race, scenario))
        self.assertEqual(race.runs.live, [])

    def test_other_run_is_read_and_watched_beside_the_first(self):
        race, other, third = Race('a'), build_run('b'), build_run('c')

        async def scenario():
            await race.suspect(race.found[0])
            await race.offer(other)
            self.assertEqual(race.runs.live, [race.found[0], other])
            self.assertTrue(race.is_read(race.found[0]))
            self.assertTrue(race.is_read(other))
            self.assertEqual(race.sought, 1)
            await race.suspect(other)
            self.assertEqual(race.sought, 2)
            await race.offer(third)
            await race.end(third, True)

        self.assertIs(self.play(race, scenario), third)
        self.assertEqual(race.runs.live, [race.found[0], other, third])

    # Guards against a second search that spends the retry budget again.
    def test_one_search_at_a_time(self):
        race = Race('a', 'b')

        async def scenario():
            for run in race.found:
                await race.suspect(run)
            await race.end(race.found[0], False)
            self.assertEqual(race.sought, 1)

        self.play(race, scenario)

    def test_search_ends_with_the_last_run(self):
        race = Race('a')

        async def scenario():
            await race.suspect(race.found[0])
            await race.end(race.found[0], False)

        self.assertIsNone(self.play(race, scenario))

    # Guards against a run that nobody ends: its group would count as loaded for good.
    def test_run_found_as_another_one_advances_is_in_the_set(self):
        race, other = Race('a'), build_run('b')

        async def scenario():
            await race.suspect(race.found[0])
            race.others.put_nowait(other)
            race._find(race.advanced, race.found[0]).set_result(True)
            await anyio.wait_all_tasks_blocked()

        self.assertIs(self.play(race, scenario), race.found[0])
        in_set = other in race.runs.live
        self.assertNotEqual(in_set, race.others.qsize() > 0)

    # Guards against a run that goes on uncounted beside the next one of its request.
    def test_run_found_as_the_last_one_fails_is_read(self):
        found = []
        for steps in range(5):
            with self.subTest(steps=steps):
                race, other = Race('a'), build_run('b')

                async def scenario(race=race, other=other, steps=steps):
                    await race.suspect(race.found[0])
                    race._find(race.advanced, race.found[0]).set_result(False)
                    for _ in range(steps):
                        await asyncio.sleep(0)
                    race.others.put_nowait(other)
                    await let_tasks_run()
                    found.append(other in race.runs.live)
                    if other in race.runs.live:
                        self.assertTrue(race.is_read(other))
                        await race.end(other, True)

                winner = self.play(race, scenario)
                self.assertIs(winner, other if found[-1] else None)
        self.assertEqual(set(found), {True, False})

    # Guards against a request that is sent although another run delivers.
    def test_run_found_just_after_another_one_advanced_is_not_read(self):
        race, other = Race('a'), build_run('b')

        async def scenario():
            await race.suspect(race.found[0])
            race._find(race.advanced, race.found[0]).set_result(True)
            race.others.put_nowait(other)
            await let_tasks_run()

        self.assertIs(self.play(race, scenario), race.found[0])
        self.assertEqual(race.runs.live, [race.found[0], other])
        self.assertNotIn(other, race.advanced)

    # Guards against an instance that counts as failed although its run only lost.
    def test_run_suspected_just_after_another_one_advanced_is_not_suspected(self):
        race = Race('a', 'b')
        first, second = race.found

        async def scenario():
            race._find(race.advanced, first).set_result(True)
            race._find(race.silent, second).set_result(None)
            await let_tasks_run()

        self.assertIs(self.play(race, scenario), first)
        self.assertFalse(second.suspected)

    def test_run_suspected_before_the_race_is_sought_another_at_once(self):
        race = Race('a')
        race.found[0].suspected = True

        async def scenario():
            self.assertEqual(race.sought, 1)
            self.assertEqual(race.silent, {})

        self.play(race, scenario)


if __name__ == '__main__':
    unittest.main()
