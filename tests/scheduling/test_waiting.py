"""The queue of waiting requests: order, eviction, refusals, estimates."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.scheduling.waiting import WaitingQueue, WaitingRequest
from tests.scheduling.simulated_load import FirstInFirstOut, Source, play


def build(customer='a', urgency=1, work=1.0, deadline=10.0, expires=10.0, **fields):
    """Return a request."""
    return WaitingRequest(customer, urgency, work, deadline, expires, **fields)


def fill(queue, *requests, now=0.0):
    """Offer requests and return them."""
    for request in requests:
        queue.offer(request, now)
    return requests


def drain(queue, now=0.0):
    """Return all waiting requests in the order of service."""
    found = []
    while (request := queue.take_next(now, lambda request: True)) is not None:
        found.append(request)
    return found


class OrderTest(unittest.TestCase):
    """Resumed requests, then urgency, then fairness, then the earliest deadline."""

    def setUp(self):
        self.queue = WaitingQueue(100)

    def test_more_urgent_requests_are_served_first(self):
        late, soon = fill(self.queue, build(urgency=2), build(urgency=0))
        self.assertEqual(drain(self.queue), [soon, late])

    def test_interrupted_streams_are_served_before_requests_not_started(self):
        new, resumed = fill(
            self.queue, build(urgency=0), build(urgency=2, resumed=True)
        )
        self.assertEqual(drain(self.queue), [resumed, new])

    def test_requests_of_a_customer_are_served_by_deadline(self):
        later, sooner = fill(self.queue, build(deadline=9.0), build(deadline=4.0))
        self.assertEqual(drain(self.queue), [sooner, later])

    def test_small_customer_does_not_wait_for_a_large_one(self):
        """A customer that floods the queue starves others served by arrival."""
        flood = [build('large') for _ in range(50)]
        fill(self.queue, *flood)
        for _ in range(3):
            self.queue.take_next(0.0, lambda request: True)
        (small,) = fill(self.queue, build('small', deadline=99.0))
        self.assertIs(drain(self.queue)[0], small)

    def test_customer_that_started_without_a_wait_is_charged(self):
        """Otherwise a customer that fills all slots gets the next one as well."""
        for _ in range(8):
            fill(self.queue, build('large'))
            drain(self.queue)
        large, small = fill(self.queue, build('large'), build('small'))
        self.assertEqual(drain(self.queue), [small, large])

    def test_customers_get_equal_work_and_not_equal_numbers_of_requests(self):
        fill(self.queue, *[build('short', work=1.0) for _ in range(40)])
        fill(self.queue, *[build('long', work=4.0) for _ in range(40)])
        served = [item.customer for item in drain(self.queue)[:25]]
        self.assertAlmostEqual(served.count('short'), 20, delta=1)
        self.assertAlmostEqual(served.count('long'), 5, delta=1)

    def test_customers_get_work_in_proportion_to_their_weights(self):
        fill(self.queue, *[build('a', weight=3.0) for _ in range(40)])
        fill(self.queue, *[build('b', weight=1.0) for _ in range(40)])
        served = [item.customer for item in drain(self.queue)[:20]]
        self.assertAlmostEqual(served.count('a'), 15, delta=1)

    def test_idle_customer_saves_up_no_share(self):
        """Otherwise a customer that was idle for long blocks all others."""
        for _ in range(30):
            fill(self.queue, build('busy'))
            drain(self.queue)
        fill(self.queue, *[build('idle') for _ in range(20)])
        fill(self.queue, *[build('busy') for _ in range(20)])
        served = [item.customer for item in drain(self.queue)[:10]]
        self.assertGreaterEqual(served.count('busy'), 4)

    def test_request_without_a_target_does_not_block_others(self):
        blocked, other = fill(
            self.queue, build(constraint='x', deadline=1.0), build(constraint='y')
        )
        taken = self.queue.take_next(0.0, lambda request: request is not blocked)
        self.assertIs(taken, other)
        self.assertIn(blocked, self.queue)

    def test_request_does_not_overtake_one_with_the_same_constraint(self):
        """Otherwise requests that need little room starve one that needs much."""
        first, _ = fill(self.queue, build(deadline=1.0), build(deadline=2.0))
        taken = self.queue.take_next(0.0, lambda request: request is not first)
        self.assertIsNone(taken)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from('abc'),
                st.integers(0, 2),
                st.floats(0.1, 5),
                st.floats(0, 9),
                st.booleans(),
            ),
            max_size=40,
        )
    )
    def test_every_request_leaves_the_queue_exactly_once(self, rows):
        queue = WaitingQueue(20)
        requests = [build(c, u, w, d, d) for c, u, w, d, _ in rows]
        seen = []
        for request, row in zip(requests, rows, strict=True):
            offer = queue.offer(request, 0.0)
            seen += [offer.evicted] if offer.evicted else []
            seen += [] if offer.accepted else [request]
            if row[4] and request in queue:
                queue.remove(request)
                seen.append(request)
        seen += queue.expire(4.0)
        self.assertTrue(all(item.expires_at > 4.0 for item in queue.list_by_expiry()))
        seen += drain(queue, 4.0)
        self.assertEqual(len(queue), 0)
        self.assertEqual(sorted(map(id, seen)), sorted(map(id, requests)))


class EvictionTest(unittest.TestCase):
    """A full queue gives up the least urgent request of the largest customer."""

    def test_less_urgent_request_is_evicted(self):
        queue = WaitingQueue(2)
        low, _ = fill(queue, build(urgency=2), build(urgency=1))
        offer = queue.offer(build(urgency=0), 0.0)
        self.assertTrue(offer.accepted)
        self.assertIs(offer.evicted, low)

    def test_less_urgent_arrival_is_refused(self):
        queue = WaitingQueue(2)
        fill(queue, build(urgency=1), build(urgency=0))
        offer = queue.offer(build(urgency=2), 0.0)
        self.assertEqual((offer.accepted, offer.evicted), (False, None))
        self.assertEqual(len(queue), 2)

    def test_request_of_the_largest_customer_is_evicted(self):
        queue = WaitingQueue(4)
        fill(queue, *[build('large', deadline=float(n)) for n in range(4)])
        offer = queue.offer(build('small', deadline=50.0), 0.0)
        self.assertEqual(offer.evicted.deadline_at, 3.0)


class EstimateTest(unittest.TestCase):
    """Refusals from the measured rate of completions."""

    def complete(self, queue, work=1.0, every_s=0.1, count=20):
        """Complete requests while one waits; return the time afterwards."""
        (keeper,) = fill(queue, build('keeper', expires=1e9))
        for number in range(count):
            queue.note_completion(work, (number + 1) * every_s)
        queue.remove(keeper)
        return count * every_s

    def test_without_completions_nothing_is_refused_before_its_wait_ends(self):
        queue = WaitingQueue(1000)
        fill(queue, *[build(expires=5.0) for _ in range(500)])
        self.assertEqual(queue.expire(4.9), [])
        self.assertEqual(len(queue.expire(5.0)), 500)

    def test_request_that_cannot_start_in_time_is_refused_at_once(self):
        """Guards against requests that wait until their deadline in vain."""
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        requests = fill(queue, *[build(expires=now + 0.5) for _ in range(20)], now=now)
        self.assertFalse(queue.is_too_late(requests[0], now))
        self.assertTrue(queue.is_too_late(requests[-1], now))
        removed = queue.expire(now)
        self.assertIn(requests[-1], removed)
        self.assertNotIn(requests[0], removed)

    def test_first_request_in_line_is_never_refused_early(self):
        """Guards against refusals right before the completion that was waited for."""
        queue = WaitingQueue(1000)
        now = self.complete(queue, every_s=0.5, count=20)
        (first,) = fill(queue, build(expires=now + 0.4), now=now)
        self.assertFalse(queue.is_too_late(first, now + 0.39))
        self.assertEqual(queue.expire(now + 0.39), [])
        self.assertEqual(queue.expire(now + 0.4), [first])

    def test_urgent_request_does_not_wait_for_less_urgent_ones(self):
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        fill(queue, *[build(urgency=2, expires=now + 9) for _ in range(50)], now=now)
        (urgent,) = fill(queue, build(urgency=0, expires=now + 0.2), now=now)
        self.assertFalse(queue.is_too_late(urgent, now))

    def test_small_customer_is_not_refused_behind_a_large_one(self):
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        fill(queue, *[build('large', expires=now + 9) for _ in range(50)], now=now)
        (small,) = fill(queue, build('small', expires=now + 0.2), now=now)
        self.assertFalse(queue.is_too_late(small, now))

    def test_arrival_of_urgent_requests_refuses_waiting_ones_before_their_time(self):
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        (low,) = fill(queue, build(urgency=2, expires=now + 1.0), now=now)
        self.assertEqual(queue.expire(now), [])
        fill(
            queue,
            *[build(urgency=0, expires=now + 60.0) for _ in range(30)],
            now=now,
        )
        self.assertEqual(queue.expire(now), [low])

    def test_rate_without_waiting_requests_is_not_taken_for_the_capacity(self):
        """Guards against refusals in the first burst after a quiet time.

        One completion per second of a service that is asked for one per second does
        not show that it could not serve more.
        """
        queue = WaitingQueue(1000)
        for number in range(30):
            queue.note_completion(1.0, float(number))
        requests = fill(queue, *[build(expires=30.5) for _ in range(10)], now=30.0)
        self.assertFalse(queue.is_too_late(requests[-1], 30.0))

    def test_completions_without_waiting_requests_are_not_counted(self):
        """Their work without their time would make the capacity look larger."""
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        for _ in range(100):
            queue.note_completion(1.0, now)
        requests = fill(queue, *[build(expires=now + 0.5) for _ in range(20)], now=now)
        self.assertTrue(queue.is_too_late(requests[-1], now))

    def test_old_measurements_expire(self):
        queue = WaitingQueue(1000)
        now = self.complete(queue) + 60.0
        requests = fill(queue, *[build(expires=now + 0.1) for _ in range(20)], now=now)
        self.assertFalse(queue.is_too_late(requests[-1], now))

    def test_retry_after_is_the_time_to_serve_the_queue_with_jitter(self):
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        fill(queue, *[build(expires=now + 9) for _ in range(30)], now=now)
        times = [queue.find_retry_after_s(now, 0.7, 60.0, n / 10) for n in range(11)]
        self.assertAlmostEqual(times[0], 3.0, delta=0.2)
        self.assertAlmostEqual(times[-1], 1.5 * times[0], delta=1e-6)
        self.assertEqual(len(set(times)), 11)
        self.assertEqual(WaitingQueue(9).find_retry_after_s(0.0, 0.7, 60.0, 0.0), 0.7)

    def test_retry_after_ends_when_all_waiting_requests_have_expired(self):
        """Most of the requests of a burst are refused, and never do their work."""
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        fill(queue, *[build(expires=now + 1.2) for _ in range(90)], now=now)
        self.assertAlmostEqual(queue.find_retry_after_s(now, 0.7, 60.0, 0.0), 1.2)

    def test_jitter_does_not_exceed_what_the_client_honours(self):
        """A client does not return after a Retry-After that is too long for it."""
        queue = WaitingQueue(9)
        self.assertEqual(queue.find_retry_after_s(0.0, 0.7, 0.8, 1.0), 0.8)
        self.assertEqual(queue.find_retry_after_s(0.0, 0.7, 0.2, 1.0), 0.7)

    def test_request_that_must_not_be_refused_early_waits_until_its_end(self):
        queue = WaitingQueue(1000)
        now = self.complete(queue)
        requests = fill(
            queue,
            *[build(expires=now + 0.5, refuse_late=False) for _ in range(20)],
            now=now,
        )
        self.assertFalse(queue.is_too_late(requests[-1], now))
        self.assertEqual(queue.expire(now), [])


SMALL = [Source(f's{n}', n % 3, 2.0, 0.1) for n in range(18)]


class PlayedLoadTest(unittest.TestCase):
    """One large customer and 18 small ones of three urgencies on ten slots.

    The small customers need 3.6 slots, the large one 20 in each urgency.
    """

    SEEDS = (1, 2, 3)
    LARGE = [Source('large', urgency, 200.0, 0.1) for urgency in range(3)]

    def play_all(self, sources, slots=10, queue=None):
        build_queue = queue or (lambda: WaitingQueue(10_000))
        return [play(sources, slots, 20.0, seed, build_queue()) for seed in self.SEEDS]

    def test_large_customer_takes_nothing_from_small_ones_of_its_urgency(self):
        large = Source('large', 0, 200.0, 0.1)
        small = [Source(f's{n}', 0, 2.0, 0.1) for n in range(18)]
        for received in self.play_all([large, *small]):
            served = [received[item.customer, 0].share for item in small]
            self.assertGreater(min(served), 0.97)
            # What the small ones leave over is not wasted.
            self.assertGreater(received['large', 0].share, 0.25)
        # The same load served by arrival: the small customers lose as much.
        plain = self.play_all([large, *small], queue=FirstInFirstOut)
        for received in plain:
            self.assertLess(received['s0', 0].share, 0.75)

    def test_most_urgent_requests_are_served_first(self):
        sources = [Source('large', u, 60.0, 0.1) for u in range(3)]
        for received in self.play_all([*sources, *SMALL]):
            first = [received[key].share for key in received if key[1] == 0]
            last = [received[key].share for key in received if key[1] == 2]
            self.assertGreater(min(first), 0.97)
            self.assertLess(sum(last) / len(last), 0.3)

    def test_short_requests_do_not_starve_long_ones(self):
        sources = [
            Source('short', 0, 400.0, 0.05, 2.0),
            Source('long', 0, 20.0, 1.0, 2.0),
        ]
        for received in self.play_all(sources):
            short = received['short', 0].served * 0.05
            long = received['long', 0].served * 1.0
            self.assertAlmostEqual(short / (short + long), 0.5, delta=0.1)

    def test_nothing_is_refused_while_the_slots_suffice(self):
        sources = [Source('large', 1, 30.0, 0.1), *SMALL]
        for received in self.play_all(sources):
            self.assertEqual(sum(item.refused for item in received.values()), 0)

    def test_slots_are_used_although_requests_are_refused_early(self):
        """Guards against refusals by an estimate that leave slots unused."""
        for received in self.play_all([*self.LARGE, *SMALL]):
            work = sum(item.served for item in received.values()) * 0.1
            self.assertGreater(work, 0.95 * 10 * 20.0)

    def test_every_request_is_served_or_refused(self):
        for received in self.play_all([*self.LARGE, *SMALL]):
            for item in received.values():
                self.assertEqual(item.asked, item.served + item.refused)

    def test_half_of_the_wait_is_not_in_vain(self):
        """Refused requests are mostly refused before their wait is over."""
        queue = WaitingQueue(10_000)
        early = []
        expire = queue.expire

        def note(now):
            found = expire(now)
            early.extend(item.expires_at - now for item in found)
            return found

        queue.expire = note
        play([Source('large', 0, 300.0, 0.1), *SMALL], 10, 10.0, 1, queue)
        self.assertGreater(len(early), 1000)
        self.assertGreater(sorted(early)[len(early) // 2], 0.1)


class CostTest(unittest.TestCase):
    """The cost of a decision does not grow with the number of waiting requests.

    ``make bench`` prints the time; this test counts calls of ``can_start``.
    """

    def test_search_is_bounded_where_nothing_can_start(self):
        rng = random.Random(1)
        queue = WaitingQueue(10_000)
        for number in range(10_000):
            customer = f'c{rng.randrange(500)}'
            fill(queue, build(customer, rng.randrange(3), constraint=number % 40))
        tried = []
        queue.take_next(0.0, lambda request: tried.append(request))
        self.assertLessEqual(len(tried), 8)


if __name__ == '__main__':
    unittest.main()
