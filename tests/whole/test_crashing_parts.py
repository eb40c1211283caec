"""A part of prompts that ends each instance which begins to answer with it."""

from __future__ import annotations

import random
from dataclasses import dataclass

import anyio
import httpx

from tests.whole.platform_base import (
    KEY,
    PlatformCase,
    build_configuration,
    build_headers,
)

#: Key of a second customer.
SECOND_KEY = 'second-key'

#: Seconds within which nodes that are in touch know what users expect them to know.
CONTACT_S = 3.0

#: Ended instances from which users count, and later arrivals that they accept.
COUNTED_ENDS = 5
LATE_ARRIVALS = 3

#: Share of the usual rate at which users expect sound requests to be served.
SOUND_SHARE = 0.5

#: Sound requests from which users compare.
MIN_SOUND = 20

#: Seconds of a play, and the most; requests a second that end instances, and that are
#: sound.
PLAY_S = 14.0
MAX_PLAY_S = 40.0
BAD_RATE = 5.0
SOUND_RATE = 12.0

#: Parts that all requests share, and those of which each sound request has one.
SHARED = ('aa01', 'aa02')
COMMON = ('cc01', 'cc02', 'cc03', 'cc04')


@dataclass
class Sent:
    """A request and what its client got.

    :param at: when it was sent, by the machine's steady clock.
    """

    request: str
    sound: bool
    at: float
    status: int = 0
    whole: bool = False


class CrashingPartCase(PlatformCase):
    """Four nodes before groups of two of 40 instances, and two customers."""

    nodes = ('n1', 'n2', 'n3', 'n4')
    engines = 40
    events = 8
    plays = 0

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with a second customer."""
        usual = build_configuration()['tenants']
        second = {'name': 'second', 'api_keys': [SECOND_KEY]}
        super().configure(tenants=[*usual, second], **fields)

    def setUp(self):
        type(self).plays += 1
        self.part = f'bad{self.plays:02}'
        self.random = random.Random(self.plays)
        self.sent = []
        self.count = 0
        self.until = 0.0
        self.known_ends = {name for name, _ in self.list_ends()}

    # -- what is sent ----------------------------------------------------------------

    def build_parts(self, sound):
        """Return the parts of a prompt, without the last."""
        third = self.random.choice(COMMON) if sound else self.part
        return (*SHARED, third)

    def build_key(self, sound):
        """Return the key of a request's customer."""
        return KEY

    async def send_one(self, client, sound, path='/stream/x'):
        """Send a request to a node that is drawn, and record what its client gets."""
        self.count += 1
        sent = Sent(f'{self.part}-{self.count}', sound, anyio.current_time())
        self.sent.append(sent)
        parts = (*self.build_parts(sound), f'dd{self.plays:02}{self.count:04}')
        prefix = ','.join(f'{part}:50' for part in parts)
        headers = build_headers(
            sent.request, self.build_key(sound), **{'X-Prompt-Prefix': prefix}
        )
        node = self.running[self.random.choice(self.nodes)]
        try:
            reply = await client.post(
                node.url + path, headers=headers, content=sent.request
            )
        except httpx.HTTPError:
            return
        sent.status, sent.whole = reply.status_code, reply.status_code == 200

    async def send_steadily(self, client, tasks, sound, rate):
        """Send requests at a rate, whatever becomes of them."""
        while anyio.current_time() < self.until:
            tasks.start_soon(self.send_one, client, sound)
            await anyio.sleep(self.random.expovariate(rate))

    async def play(self, bad_rate, sound_rate, warm_s, seconds):
        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(timeout=15, trust_env=False, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            began = anyio.current_time()
            self.until = began + warm_s + seconds
            if sound_rate:
                tasks.start_soon(self.send_steadily, client, tasks, True, sound_rate)
            await anyio.sleep(warm_s)
            if bad_rate:
                tasks.start_soon(self.send_steadily, client, tasks, False, bad_rate)
            await self.meddle()
            if sound_rate:
                await self.extend(began + MAX_PLAY_S)

    async def extend(self, latest):
        """Go on until enough sound requests were sent after the last counted end.

        The leader tries a refused part when a request with it meets this node, and the
        instance that ends then counts as the others.
        """
        while anyio.current_time() < self.until:
            ends = self.list_own_ends()[:COUNTED_ENDS]
            if ends:
                enough = ends[-1] + 2 * CONTACT_S + 2 * MIN_SOUND / SOUND_RATE
                self.until = min(latest, max(self.until, enough))
            await anyio.sleep(0.5)

    async def meddle(self):
        """Do what a test does while requests come."""

    def run_play(
        self, bad_rate=BAD_RATE, sound_rate=SOUND_RATE, warm_s=2.0, seconds=PLAY_S
    ):
        """Send requests that end instances beside sound ones."""
        anyio.run(self.play, bad_rate, sound_rate, warm_s, seconds)

    # -- what is checked -------------------------------------------------------------

    def list_ends(self):
        """Return the instances that ended and when, by the machine's steady clock."""
        ends = [
            (name, item['crashed_at'])
            for service in ('pool', 'api')
            for name, item in self.stats(service).items()
            if item['crashed']
        ]
        return sorted(ends, key=lambda end: end[1])

    def list_own_ends(self):
        """Return when the instances of this test ended."""
        return [at for name, at in self.list_ends() if name not in self.known_ends]

    def list_bad_arrivals(self):
        """Return when requests with the part reached instances."""
        bad = {sent.request for sent in self.sent if not sent.sound}
        return sorted(
            visit['at']
            for service in ('pool', 'api')
            for item in self.stats(service).values()
            for visit in item['visits']
            if visit['request'] in bad
        )

    def check_arrivals(self):
        """Check that few requests with the part arrive once it must be known."""
        ends = self.list_own_ends()
        self.assertTrue(ends, 'no instance ended')
        if len(ends) < COUNTED_ENDS:
            return
        known_at = ends[COUNTED_ENDS - 1] + CONTACT_S
        late = [at for at in self.list_bad_arrivals() if at > known_at]
        told = f'{len(ends)} instances ended, fifth after {ends[4] - ends[0]:.2f} s'
        self.assertLessEqual(len(late), LATE_ARRIVALS, told)

    def check_sound(self):
        """Check that sound requests are served once the part must be known."""
        ends = self.list_own_ends()
        last_at = ends[:COUNTED_ENDS][-1]
        sound = [item for item in self.sent if item.sound]
        later = [item for item in sound if item.at > last_at + 2 * CONTACT_S]
        self.assertGreaterEqual(len(later), MIN_SOUND)
        served = sum(item.whole for item in later)
        self.assertGreaterEqual(served, SOUND_SHARE * len(later))


class CrashingPartTest(CrashingPartCase):
    """Nodes find out which part ends instances, and refuse only requests with it."""

    # Guards against crashes that are counted for whole requests only.
    def test_requests_with_a_part_that_ends_instances_reach_no_further_ones(self):
        self.control('pool', '/crash_on', part=self.part, events=0)
        self.run_play()
        self.check_arrivals()
        self.check_sound()

    def test_part_is_found_without_other_requests_beside(self):
        self.control('pool', '/crash_on', part=self.part)
        self.run_play(sound_rate=0.0, warm_s=0.0)
        self.check_arrivals()

    # Guards against runs that are cleared by an end which proves nothing.
    def test_part_is_found_that_ends_instances_after_two_events(self):
        self.control('pool', '/fault', mode='none', framing='connection')
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        self.control('pool', '/crash_on', part=self.part, events=2)
        self.run_play()
        self.check_arrivals()
        self.check_sound()


class CrashingFirstPartTest(CrashingPartCase):
    """The part comes first, and is followed by parts of sound requests."""

    def build_parts(self, sound):
        """Return the parts of a prompt, without the last."""
        first = self.random.choice(COMMON) if sound else self.part
        return (first, *SHARED)

    def test_parts_behind_it_are_not_refused(self):
        self.control('pool', '/crash_on', part=self.part, events=0)
        self.run_play()
        self.check_arrivals()
        self.check_sound()


class CrashingPartFromStartTest(CrashingPartCase):
    """The part comes before any request has been answered."""

    # Guards against parts that are refused as they came with the guilty one.
    def test_parts_beside_it_are_not_refused(self):
        self.control('pool', '/crash_on', part=self.part, events=0)
        self.run_play(warm_s=0.0)
        self.check_arrivals()
        self.check_sound()


class SharedCrashingPartTest(CrashingPartCase):
    """Requests of two customers hold the part."""

    def build_key(self, sound):
        """Return the key of a request's customer."""
        return self.random.choice((KEY, SECOND_KEY))

    def test_part_of_two_customers_is_known_for_both(self):
        self.control('pool', '/crash_on', part=self.part, events=0)
        self.run_play(bad_rate=2 * BAD_RATE)
        self.check_arrivals()
        self.check_sound()


class RestartedNodeTest(CrashingPartCase):
    """Nodes that start again while the part is known."""

    async def meddle(self):
        """Kill nodes after a while, and start them again."""
        await anyio.sleep(3.0)
        for name in self.restarted:
            self.running[name].process.kill()
            self.running[name].process.wait()
        for name in self.restarted:
            node = self.running[name]
            node.start_again()
            while not node.has_started_again():
                await anyio.sleep(0.02)

    def test_nodes_that_start_are_told_by_others(self):
        self.restarted = self.nodes[:2]
        self.control('pool', '/crash_on', part=self.part, events=0)
        self.run_play()
        self.check_arrivals()

    def test_nodes_that_all_start_read_it_from_the_store(self):
        self.restarted = self.nodes
        self.control('pool', '/crash_on', part=self.part, events=0)
        self.run_play()
        self.check_arrivals()


class PlainCrashingPartTest(CrashingPartCase):
    """The same before instances without groups."""

    engines = 2

    async def send_one(self, client, sound, path='/again/x'):
        """Send a request to a node that is drawn, and record what its client gets."""
        await super().send_one(client, sound, path)

    def test_part_that_ends_plain_instances_is_refused(self):
        self.control('api', '/crash_on', part=self.part, events=0)
        self.run_play()
        self.check_arrivals()
        self.check_sound()
