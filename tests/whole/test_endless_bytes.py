"""Instances that send bytes that are no answer, without end, beside sound ones."""

from __future__ import annotations

import itertools
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from tests.whole.platform_base import PlatformCase, build_configuration, build_headers

#: Seconds for which clients send one request after the other.
LENGTH_S = 2.0

#: Seconds between two requests of one client.
PAUSE_S = 0.05

#: Clients of each node and route.
CLIENTS = 2

#: Milliseconds that clients give their requests.
DEADLINE_MS = 4000

#: Seconds to the first event of a stream, and to the answer of other calls.
FIRST_EVENT_S = 0.36
ANSWER_S = 0.5

#: Share of the calls at sound instances that may take longer.
LATE_SHARE = 0.05

#: Seconds from fast bytes to the end of a call that may not be repeated.
PROOF_S = 1.0

#: Seconds from the end of a call to the close that its instance sees.
CLOSE_S = 0.5

#: Memory of a node in KiB.
MEMORY_KB = 128 * 1024

#: Bytes of a body of which no client reads more.
MOST_BYTES = 100_000

#: Method and path of the routes, and whether calls may be repeated.
ROUTES = {
    'again': ('GET', '/again/x', True),
    'once': ('POST', '/once/x', False),
    'stream': ('POST', '/stream/x', True),
    'single': ('POST', '/single/x', False),
}


@dataclass
class Call:
    """What a client saw of one request."""

    request: str
    route: str
    status: int = 0
    body: str = ''
    whole: bool = False
    first_s: float = 0.0
    seconds: float = 0.0
    ended_at: float = field(default=0.0)


class EndlessBytesCase(PlatformCase):
    """Two nodes before three plain instances and three groups of two."""

    events = 3
    engines = 6
    chosen = itertools.count()

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with streams that may not be resumed, too."""
        routes = build_configuration()['routes']
        single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
        routes = [*routes, {**routes[0], **single}]
        super().configure(routes=routes, **fields)

    @classmethod
    def setUpClass(cls):
        """Start all, and the clients."""
        super().setUpClass()
        count = len(cls.nodes) * len(ROUTES) * CLIENTS
        cls.clients = [
            httpx.Client(timeout=10, trust_env=False, verify=False)
            for _ in range(count)
        ]
        for client in cls.clients:
            cls.addClassCleanup(client.close)

    def setUp(self):
        """Begin with instances that are all sound."""
        self.addCleanup(self.set_fault, 'api', mode='none')
        self.addCleanup(self.set_fault, 'pool', mode='none')
        self.wait_for(
            lambda: len(self.find_heads() or ()) == self.engines // 2, 'groups are open'
        )
        for node in self.nodes:
            self.wait_for(lambda node=node: self.serves(node), f'{node} serves')

    def set_fault(self, service, **fault):
        """Set the fault of instances."""
        self.control(service, '/fault', **fault)

    def make_endless(self, service, kind, pace):
        """Let one instance of a service answer without end, and return its name."""
        names = self.find_heads() if service == 'pool' else list(self.stats('api'))
        name = sorted(names)[next(self.chosen) % len(names)]
        fault = {'mode': 'endless', 'kind': kind, 'pace': pace}
        self.set_fault(service, instances=[name], **fault)
        return name

    def read(self, client, node, request, route):
        """Send one request and return what came of it."""
        method, path, _ = ROUTES[route]
        call = Call(request, route)
        headers = build_headers(request, **{'X-Deadline-Ms': str(DEADLINE_MS)})
        began = time.monotonic()
        try:
            url = self.running[node].url + path
            with client.stream(method, url, headers=headers) as reply:
                call.status = reply.status_code
                for part in reply.iter_text():
                    call.first_s = call.first_s or time.monotonic() - began
                    call.body += part
                    if len(call.body) > MOST_BYTES:
                        break
                else:
                    call.whole = True
        except httpx.HTTPError:
            # The call has no end, which ``whole`` says.
            pass
        call.ended_at = time.monotonic()
        call.seconds = call.ended_at - began
        return call

    def read_all(self):
        """Let clients send requests for a while, and return what came of each."""
        until = time.monotonic() + LENGTH_S
        calls = []
        pause = threading.Event()

        def send(node, route, name, client):
            for number in itertools.count():
                if time.monotonic() > until:
                    return
                request = f'{node}-{route}-{name}-{number}-{until}'
                calls.append(self.read(client, node, request, route))
                pause.wait(PAUSE_S)

        places = list(itertools.product(self.nodes, ROUTES, range(CLIENTS)))
        threads = [
            threading.Thread(target=send, args=(*place, client))
            for place, client in zip(places, self.clients, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return calls

    def check(self, kind, pace, services):
        """Let an instance of each service answer without end; check all promises."""
        faulty = {self.make_endless(name, kind, pace) for name in services}
        calls = self.read_all()
        runs = {}
        floods = {}
        for service in ('api', 'pool'):
            for name, item in self.stats(service).items():
                for run in item['runs']:
                    runs.setdefault(run['request'], set()).add(name)
                if name in faulty:
                    for flood in item['floods']:
                        floods.setdefault(flood.get('request'), []).append(flood)
        met = [call for call in calls if runs.get(call.request, set()) & faulty]
        sound = [call for call in calls if not runs.get(call.request, set()) & faulty]
        self.assertGreater(len(met), 0)
        self.check_sound(sound)
        self.check_content(calls)
        self.check_met(met, floods, pace)
        self.check_nodes()

    def check_sound(self, calls):
        """Check that calls at sound instances are answered within their objective."""
        failed = [call for call in calls if call.status != 200 or not call.whole]
        self.assertFalse(failed)
        late = [
            call
            for call in calls
            if (call.route in ('stream', 'single') and call.first_s > FIRST_EVENT_S)
            or (call.route in ('again', 'once') and call.seconds > ANSWER_S)
        ]
        slowest = max(call.seconds for call in calls)
        self.assertLessEqual(
            len(late),
            LATE_SHARE * len(calls),
            f'late of {len(calls)}, the slowest {slowest:.3f} s',
        )

    def check_content(self, calls):
        """Check that nobody gets a part of an event, or another answer's bytes."""
        texts = ['']
        for number in range(1, self.events + 1):
            texts.append(f'{texts[-1]}id: {number}\ndata: token {number}\n\n')
        for call in calls:
            if call.status != 200:
                continue
            if call.route in ('stream', 'single'):
                allowed = texts[-1:] if call.whole else texts
                self.assertIn(call.body[:200], allowed, call.request)
            elif call.whole:
                self.assertRegex(call.body[:200], f'^i-[0-9a-f]+ {call.request}$')

    def check_met(self, calls, floods, pace):
        """Check what comes of calls that met an instance without end."""
        for call in calls:
            shown = (call.request, call.status, call.whole, call.seconds)
            if ROUTES[call.route][2]:
                self.assertEqual((call.status, call.whole), (200, True), shown)
            elif pace == 'fast':
                self.assertEqual((call.status, call.whole), (502, True), shown)
                self.assertLess(call.seconds, PROOF_S, shown)
            for flood in floods.get(call.request, ()):
                self.assertTrue(flood['left'], shown)
                self.assertLess(flood['left_at'], call.ended_at + CLOSE_S, shown)

    def check_nodes(self):
        """Check the nodes' memory, and that they take no instance for crashed."""
        for name, node in self.running.items():
            status = Path(f'/proc/{node.process.pid}/status').read_text()
            (peak,) = (line for line in status.splitlines() if line.startswith('VmHWM'))
            self.assertLess(int(peak.split()[1]), MEMORY_KB, name)
            self.assertFalse(node.read_events('instance.crashed'), name)


class ThirdOfInstancesTest(EndlessBytesCase):
    """A third of the instances of each service answers without end."""

    # Guards against nodes whose event loop parses tiny chunks of one connection.
    def test_tiny_chunks_that_come_fast(self):
        self.check('chunks', 'fast', ('api', 'pool'))

    # Guards against nodes that read interim responses one by one without end.
    def test_interim_responses_that_come_fast(self):
        self.check('interim', 'fast', ('api', 'pool'))

    # Guards against comments that keep a run alive, or that reach clients.
    def test_comments_that_come_fast(self):
        self.check('comments', 'fast', ('api', 'pool'))

    # Guards against parts of an event that another run goes on after.
    def test_event_that_comes_fast(self):
        self.check('event', 'fast', ('api', 'pool'))

    # Guards against a body that takes the event loop and the memory of nodes.
    def test_body_that_comes_fast(self):
        self.check('body', 'fast', ('api', 'pool'))

    # Guards against bytes that count as progress of a run.
    def test_tiny_chunks_that_come_slowly(self):
        self.check('chunks', 'slow', ('api', 'pool'))

    # Guards against interim responses that count as progress of a run.
    def test_interim_responses_that_come_slowly(self):
        self.check('interim', 'slow', ('api', 'pool'))

    # Guards against comments that count as progress of a run.
    def test_comments_that_come_slowly(self):
        self.check('comments', 'slow', ('api', 'pool'))

    # Guards against parts of an event that count as progress of a run.
    def test_event_that_comes_slowly(self):
        self.check('event', 'slow', ('api', 'pool'))

    # Guards against a body without events that counts as progress of a run.
    def test_body_that_comes_slowly(self):
        self.check('body', 'slow', ('api', 'pool'))


class SoundInstancesTest(EndlessBytesCase):
    """All instances answer."""

    # Guards against objectives that are missed without any fault.
    def test_calls_are_answered_within_their_objective(self):
        self.check_sound(self.read_all())


class SingleInstanceTest(EndlessBytesCase):
    """One single instance answers without end."""

    # Guards against one instance that takes the event loop of whole nodes.
    def test_tiny_chunks_that_come_fast(self):
        self.check('chunks', 'fast', ('api',))

    # Guards against one instance that takes the event loop of whole nodes.
    def test_interim_responses_that_come_fast(self):
        self.check('interim', 'fast', ('pool',))
