"""Streams that instances break off, and what their clients get."""

from __future__ import annotations

import signal
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import httpx

from standins.exchange import FRAMINGS
from tests.whole.platform_base import (
    PlatformCase,
    build_configuration,
    build_headers,
)

EVENTS = 8

WHOLE = list(range(1, EVENTS + 1))

#: Where a stream breaks off so that its bytes show it.
PLACES = ('inside', 'line', 'first')


def read_ids(text):
    """Return the ids of the whole events of a stream."""
    return [int(event.split()[1]) for event in text.split('\n\n')[:-1]]


def split_body(data):
    """Return the body of an answer."""
    return data.partition(b'\r\n\r\n')[2].decode()


class BrokenOffCase(PlatformCase):
    """Routes of streams that may be resumed, that may not, and of a plain service."""

    events = EVENTS

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with these routes."""
        routes = build_configuration()['routes']
        single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
        plain = {'name': 'plain', 'path_prefix': '/events/', 'service': 'api'}
        more = [{**routes[0], **changes} for changes in (single, plain)]
        super().configure(routes=[*routes, *more], **fields)

    def break_off(self, instances, service='pool', **fault):
        """Let instances of a service break off their answers; none named: all."""
        self.control(service, '/fault', mode='half', instances=instances, **fault)
        self.addCleanup(self.control, service, '/fault', mode='none')

    def read_stream(self, path, request, on_data=None, **options):
        """Return the ids that a client got, and whether its stream looked complete.

        :param on_data: called once a part of the body has arrived.
        """
        text = ''
        try:
            with self.client.stream(
                'POST',
                self.running['n1'].url + path,
                headers=build_headers(request),
                **options,
            ) as reply:
                for part in reply.iter_text():
                    text += part
                    if on_data is not None:
                        on_data()
                        on_data = None
        except httpx.RemoteProtocolError:
            return read_ids(text), False
        return read_ids(text), reply.status_code == 200

    def read_unframed(self, path, request, on_data=None, **headers):
        """Return the ids that a client of HTTP/1.0 got, and whether it ended regularly.

        :param on_data: called once a part of the answer has arrived.
        """
        fields = build_headers(request, **headers)
        lines = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
        data = b''
        node = self.running['n1']
        with socket.create_connection(('127.0.0.1', node.ports['clients']), 10) as sock:
            sock.sendall(f'POST {path} HTTP/1.0\r\n{lines}\r\n'.encode())
            try:
                while part := sock.recv(65_536):
                    data += part
                    if on_data is not None:
                        on_data()
                        on_data = None
            except ConnectionResetError:
                return read_ids(split_body(data)), False
        self.assertIn(b' 200 ', data.partition(b'\r\n')[0])
        return read_ids(split_body(data)), True


class StreamEndTest(BrokenOffCase):
    """What tells the end of a stream decides nothing about what its client gets."""

    nodes = ('n1',)

    def check_goes_on(self, framing):
        heads = self.wait_for(self.find_heads, 'two groups are open')
        for place in PLACES:
            for head in heads[:2]:
                self.control('pool', '/fault', mode='none')
                self.break_off([head], framing=framing, place=place)
                for number in range(2):
                    with self.subTest(place=place, head=head, number=number):
                        request = f'on-{framing}-{place}-{head}-{number}'
                        found = self.read_stream('/stream/x', request)
                        self.assertEqual(found, (WHOLE, True))

    def check_looks_broken_off(self, framing, **fault):
        self.wait_for(self.find_heads, 'two groups are open')
        for place in PLACES:
            self.break_off([], framing=framing, place=place, **fault)
            for path in ('/stream/x', '/single/x'):
                with self.subTest(place=place, path=path):
                    request = f'off-{framing}-{place}-{path}-{len(fault)}'
                    ids, complete = self.read_stream(path, request)
                    self.assertFalse(complete, ids)
                    self.assertEqual(ids, WHOLE[: len(ids)])
                    self.assertTrue(self.find_runs(request))

    def test_stream_with_a_length_that_ends_inside_an_event_goes_on(self):
        self.check_goes_on('length')

    def test_chunked_stream_that_ends_inside_an_event_goes_on(self):
        self.check_goes_on('chunks')

    # Guards against broken streams that are forwarded as complete.
    def test_stream_without_length_that_ends_inside_an_event_goes_on(self):
        self.check_goes_on('connection')

    def test_broken_stream_with_a_length_never_looks_complete(self):
        self.check_looks_broken_off('length')

    def test_broken_chunked_stream_never_looks_complete(self):
        self.check_looks_broken_off('chunks')

    # Guards against broken streams that are forwarded as complete.
    def test_broken_stream_without_length_never_looks_complete(self):
        self.check_looks_broken_off('connection')

    def test_reset_stream_without_length_never_looks_complete(self):
        self.check_looks_broken_off('connection', reset=True)

    # Guards against broken runs that count as answered.
    def test_broken_stream_without_length_is_logged_and_not_counted_as_answered(self):
        self.break_off([], framing='connection')
        self.read_stream('/single/x', 'logged')

        def find(name):
            events = self.running['n1'].read_events(name)
            return [item for item in events if item['request'] == 'logged']

        ended = self.wait_for(lambda: find('request.ended'), 'its end is logged')
        self.assertEqual(
            (ended[0]['outcome'], ended[0]['framing']), ('cut', 'connection')
        )
        self.assertEqual(
            find('response.broken_off')[0]['instance'], ended[0]['instance']
        )

    # Guards against broken streams of services without groups that look complete.
    def test_broken_stream_of_a_plain_service_is_sent_again_or_fails(self):
        names = sorted(self.stats('api'))
        for framing in FRAMINGS:
            for place in PLACES:
                with self.subTest(framing=framing, place=place):
                    self.control('api', '/fault', mode='none')
                    request = f'plain-{framing}-{place}'
                    self.break_off(names[:1], 'api', framing=framing, place=place)
                    for number in range(4):
                        found = self.read_stream('/events/x', f'{request}-{number}')
                        self.assertEqual(found, (WHOLE, True))
                    self.break_off(names, 'api', framing=framing, place=place)
                    self.check_fails(request, place)

    def check_fails(self, request, place):
        """Check that a stream of a plain service looks broken off, or is refused."""
        if place == 'first':
            reply = self.send('n1', 'POST', '/events/x', request)
            self.assertEqual(reply.status_code, 502)
            return
        ids, complete = self.read_stream('/events/x', request)
        self.assertFalse(complete)
        self.assertEqual(ids, WHOLE[: EVENTS // 2 - 1])
        self.assertEqual(len(self.find_runs(request)), 2)

    def test_whole_stream_is_whole_however_it_is_framed(self):
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        for framing in FRAMINGS:
            self.control('pool', '/fault', mode='none', framing=framing)
            for number in range(2):
                found = self.read_stream('/single/x', f'whole-{framing}-{number}')
                self.assertEqual(found, (WHOLE, True), framing)


class OldClientTest(BrokenOffCase):
    """Clients of HTTP/1.0, for whom the end of the connection is all there is."""

    nodes = ('n1',)

    def test_whole_stream_ends_regularly(self):
        self.assertEqual(self.read_unframed('/single/x', 'old-whole'), (WHOLE, True))

    # Guards against broken streams that look complete to clients of HTTP/1.0.
    def test_stream_that_an_instance_breaks_off_ends_with_a_reset(self):
        for framing in FRAMINGS:
            self.break_off([], framing=framing)
            with self.subTest(framing=framing):
                request = f'old-{framing}'
                self.assertFalse(self.read_unframed('/single/x', request)[1])
                self.assertTrue(self.find_runs(request))

    # Guards against streams that look complete to clients of HTTP/1.0 at a time limit.
    def test_stream_that_reaches_its_time_limit_ends_with_a_reset(self):
        self.control('pool', '/fault', mode='still')
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        fields = {'X-Deadline-Ms': '400'}
        ids, regular = self.read_unframed('/single/x', 'old-late', **fields)
        self.assertFalse(regular, ids)
        self.assertTrue(ids)


class EndingNodeTest(BrokenOffCase):
    """Nodes that end while a client of HTTP/1.0 reads a stream."""

    nodes = ('n1',)

    # Guards against streams that look complete to clients of HTTP/1.0 at a node's end.
    def test_stream_of_a_node_that_is_killed_ends_with_a_reset(self):
        self.control('pool', '/fault', mode='still')
        ids, regular = self.read_unframed(
            '/single/x', 'old-killed', self.running['n1'].process.kill
        )
        self.assertFalse(regular, ids)


class EndingInstanceTest(BrokenOffCase):
    """Instances that end while they answer, between two events or parts.

    The kernel closes their connections as it does after a whole answer.
    """

    nodes = ('n1',)
    engines = 9

    def end_instances(self, service, body, **fields):
        """Let instances end that answer a body, with answers without length."""
        self.control(service, '/fault', mode='none', framing='connection')
        self.addCleanup(self.control, service, '/fault', mode='none')
        self.control(service, '/crash_on', body=body, **fields)

    # Guards against streams that look complete although their instance has ended.
    def test_stream_without_length_whose_instance_ends_between_events_goes_on(self):
        self.wait_for(self.find_heads, 'two groups are open')
        self.end_instances('pool', 'ends one', events=3, times=1)
        found = self.read_stream('/stream/x', 'ends-one', content='ends one')
        self.assertEqual(found, (WHOLE, True))
        self.assertEqual(len(self.find_runs('ends-one')), 2)

    # Guards against processes that take a while to exit, which pass for live ones.
    def test_stream_without_length_whose_instance_ends_slowly_goes_on(self):
        self.wait_for(self.find_heads, 'two groups are open')
        self.wait_for(lambda: self.serves('n1'), 'the node knows of them')
        self.end_instances('pool', 'ends slowly', events=3, times=1, lingers_s=0.25)
        found = self.read_stream('/stream/x', 'ends-slowly', content='ends slowly')
        self.assertEqual(found, (WHOLE, True))
        self.assertEqual(len(self.find_runs('ends-slowly')), 2)

    # Guards against the same on a route whose streams cannot go on elsewhere.
    def test_stream_without_length_whose_instance_ends_never_looks_complete(self):
        self.wait_for(self.find_heads, 'two groups are open')
        self.end_instances('pool', 'ends it', events=3, times=1)
        found = self.read_stream('/single/x', 'ends-it', content='ends it')
        self.assertEqual(found, (WHOLE[:3], False))

    # Guards against parts of answers that look whole although their instance has ended.
    def test_call_without_length_whose_instance_ends_is_never_cut_short(self):
        for path, status in (('/again/x', 200), ('/once/x', 502)):
            with self.subTest(path=path):
                body = f'ends at {path}'
                self.end_instances('api', body, events=1, times=1)
                request = f'ends-{path}'
                reply = self.send('n1', 'POST', path, request, content=body)
                self.assertEqual(reply.status_code, status)
                if status == 200:
                    self.assertTrue(reply.text.endswith(request), reply.text)


class LeavingInstanceTest(BrokenOffCase):
    """Instances that leave: some serve their streams to the end, some are killed."""

    nodes = ('n1',)
    engines = 9
    #: Six seconds of a stream, within which the node has to hear that it leaves.
    events = 300

    def read_of_leaving(self, path, request, leave, end):
        """Return what a client got of a stream whose instance leaves.

        :param leave: lets an instance leave; called once a part has arrived.
        :param end: called after that, with the name of the instance.
        """
        self.wait_for(self.find_heads, 'two groups are open')
        self.wait_for(lambda: self.serves('n1'), 'the node knows of them')
        self.control('pool', '/fault', mode='none', framing='connection')
        self.addCleanup(self.control, 'pool', '/fault', mode='none')

        def act():
            (head,) = self.find_serving(request)
            leave(head)
            self.wait_for(
                lambda: self.is_leaving(head), 'the node knows that it leaves'
            )
            end(head)

        return self.read_stream(path, request, act)

    def find_serving(self, request):
        """Return the instances that run a request."""
        return [
            name
            for name, item in self.stats('pool').items()
            if any(run['request'] == request for run in item['runs'])
        ]

    def is_leaving(self, head):
        """Whether the node has heard that an instance drains or is no longer listed."""
        log = self.running['n1'].read_events
        return any(item['instance'] == head for item in log('instance.gone')) or any(
            item['instance'] == head and item['draining']
            for item in log('instance.changed')
        )

    def drain(self, head):
        self.control('pool', '/drain', instances=[head])

    def vanish(self, head):
        self.control('pool', '/vanish', instances=[head])

    def stand_still_and_end(self, head):
        """Let an instance stand still in its stream, and kill it."""
        self.control('pool', '/pause', instances=[head], for_s=60)
        # Longer than any pause of a sound stream.
        threading.Event().wait(1.2)
        self.control('pool', '/crash', instances=[head])

    # Guards against whole streams that look broken off as their instance leaves.
    def test_stream_that_a_leaving_instance_serves_to_its_end_is_whole(self):
        whole = list(range(1, self.events + 1))
        for leave in (self.drain, self.vanish):
            with self.subTest(leave=leave.__name__):
                request = f'served-{leave.__name__}'
                found = self.read_of_leaving(
                    '/single/x', request, leave, lambda head: None
                )
                self.assertEqual(found, (whole, True))
                self.assertEqual(len(self.find_runs(request)), 1)

    # Guards against parts of streams that look complete as their instance was leaving.
    def test_stream_of_a_leaving_instance_that_is_killed_never_looks_complete(self):
        for leave in (self.drain, self.vanish):
            with self.subTest(leave=leave.__name__):
                ids, complete = self.read_of_leaving(
                    '/single/x',
                    f'killed-{leave.__name__}',
                    leave,
                    self.stand_still_and_end,
                )
                self.assertLess(len(ids), self.events)
                self.assertFalse(complete)

    # Guards against the same where the instance was at work until its end.
    def test_stream_of_a_leaving_instance_that_ends_amid_it_never_looks_complete(self):
        def end(head):
            self.control('pool', '/crash', instances=[head])

        for leave in (self.drain, self.vanish):
            with self.subTest(leave=leave.__name__):
                request = f'amid-{leave.__name__}'
                ids, complete = self.read_of_leaving('/single/x', request, leave, end)
                self.assertLess(len(ids), self.events)
                self.assertFalse(complete)
                self.assertEqual(len(self.find_runs(request)), 1)


class LeavingPlainInstanceTest(BrokenOffCase):
    """The same for answers of a service without groups, which are read whole."""

    nodes = ('n1',)
    #: Two seconds of a stream.
    events = 100

    # Guards against parts of answers that look whole as their instance was leaving.
    def test_answer_of_a_leaving_instance_that_is_killed_is_never_cut_short(self):
        self.control('api', '/fault', mode='none', framing='connection')
        request = 'killed-plain'
        with ThreadPoolExecutor() as pool:
            call = pool.submit(self.send, 'n1', 'POST', '/events/x', request)
            self.wait_for(lambda: self.find_runs(request), 'an instance runs it')
            (name,) = [
                name
                for name, item in self.stats('api').items()
                if any(run['request'] == request for run in item['runs'])
            ]
            self.control('api', '/pause', instances=[name], for_s=60)
            self.control('api', '/drain', instances=[name])
            log = self.running['n1'].read_events
            self.wait_for(
                lambda: any(
                    item['instance'] == name and item['draining']
                    for item in log('instance.changed')
                ),
                'the node knows that it leaves',
            )
            # Longer than any pause of a sound answer.
            threading.Event().wait(1.2)
            self.control('api', '/crash', instances=[name])
            reply = call.result()
        whole = list(range(1, self.events + 1))
        self.assertEqual((reply.status_code, read_ids(reply.text)), (200, whole))
        self.assertEqual(len(self.find_runs(request)), 2)


class StoppingNodeTest(BrokenOffCase):
    """A node that stops as planned, and loses its paths meanwhile."""

    nodes = ('n1', 'n2', 'n3')
    engines = 9
    own_paths = True
    #: Two seconds of a stream.
    events = 100

    def find_serving(self, request):
        """Return the instance that runs a request, or ``None``."""
        for name, item in self.stats('pool').items():
            if any(run['request'] == request for run in item['runs']):
                return name
        return None

    # Guards against ends of instances that peers do not tell a node which stops.
    def test_stream_without_length_whose_instance_ends_never_looks_complete(self):
        self.wait_for(self.find_heads, 'two groups are open')
        self.control('pool', '/fault', mode='none', framing='connection')
        node = self.running['n1']

        def stop_and_end():
            node.process.send_signal(signal.SIGTERM)
            self.wait_for(lambda: node.read_events('node.draining'), 'n1 stops')
            # Longer than it takes until its entry is gone and all know.
            threading.Event().wait(0.6)
            self.cut(['n1'], 'refuse')
            serving = self.find_serving('ends-as-n1-stops')
            self.control('pool', '/crash', instances=[serving])

        found, whole = self.read_stream('/single/x', 'ends-as-n1-stops', stop_and_end)
        self.assertLess(len(found), self.events)
        self.assertFalse(whole)


class CarriedStreamTest(BrokenOffCase):
    """The same for streams that reach their node through a peer."""

    nodes = ('n1', 'n2', 'n3')
    engines = 9
    own_paths = True

    def serve_through_peers(self, mode='refuse'):
        """Cut n1 off until it serves through its peers."""
        self.wait_for(self.find_heads, 'two groups are open')
        self.cut(['n1'], mode)
        self.addCleanup(self.cut, ['n1'], 'none')
        self.control('pool', '/fault', mode='none', framing='connection')
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        self.wait_for(
            lambda: self.read_stream('/stream/x', 'carried') == (WHOLE, True),
            'n1 serves through its peers',
        )

    def start_again(self, name):
        """Start a node again if it was killed, and wait until it serves."""
        node = self.running[name]
        if node.process.poll() is None:
            return
        node.start_again()
        self.wait_for(node.has_started_again, f'{name} listens')
        self.wait_for(lambda: self.serves(name), f'{name} serves')

    # Guards against ends of instances that a node without paths of its own cannot see.
    def test_stream_without_length_whose_instance_ends_behind_a_peer_goes_on(self):
        for mode in ('refuse', 'hang'):
            with self.subTest(mode=mode):
                self.cut(['n1'], 'none')
                self.serve_through_peers(mode)
                body = f'ends behind a peer, {mode}'
                self.control('pool', '/crash_on', body=body, events=3, times=1)
                found = self.read_stream('/stream/x', f'behind-{mode}', content=body)
                self.assertEqual(found, (WHOLE, True))
                self.assertEqual(len(self.find_runs(f'behind-{mode}')), 2)

    # Guards against streams that look complete as the peer that carried them died.
    def test_stream_without_length_whose_peer_is_killed_never_looks_complete(self):
        for name in ('n2', 'n3'):
            self.addCleanup(self.start_again, name)
        self.serve_through_peers()
        self.control('pool', '/fault', mode='still', framing='connection')

        def kill_peers():
            for name in ('n2', 'n3'):
                self.running[name].process.kill()
                self.running[name].process.wait()

        ids, complete = self.read_stream('/single/x', 'peer-killed', on_data=kill_peers)
        self.assertFalse(complete, ids)
        self.assertTrue(self.find_runs('peer-killed'))

    # Guards against broken streams that a peer carried and that look complete.
    def test_broken_stream_without_length_that_a_peer_carried_never_looks_complete(
        self,
    ):
        self.serve_through_peers()
        for place in PLACES:
            self.break_off([], framing='connection', place=place)
            for path in ('/stream/x', '/single/x'):
                with self.subTest(place=place, path=path):
                    ids, complete = self.read_stream(path, f'carried-{place}-{path}')
                    self.assertFalse(complete, ids)
