"""Replicas, duties and operators under failure of processes."""

from __future__ import annotations

import json
import signal
import threading

import httpx

from standins.harness import CALLER_KEY
from tests.whole.base import GROUP, PATIENT
from tests.whole.calls import call_stream, expect_tokens, in_background
from tests.whole.replica_base import ReplicaCase


class MemberTest(ReplicaCase):
    """No replica serves while one of its instances is missing."""

    settings = PATIENT

    def test_killed_member_takes_its_replica_out_and_a_whole_one_comes(self) -> None:
        name, replica = next(iter(self.serving().items()))
        victim = replica['instances'][1]
        self.harness.processes[victim].kill()
        self.wait_out(name)
        self.harness.wait_for(
            lambda: len(self.serving()) == 2 and name not in self.serving(),
            'a whole replica comes',
        )
        self.assert_no_double_claim()
        for item in self.serving().values():
            self.assertNotIn(victim, item['instances'])
        self.harness.restart_engine(victim, **self.engine)

    def test_paused_member_takes_its_replica_out(self) -> None:
        name, replica = next(iter(self.serving().items()))
        victim = replica['instances'][1]
        self.send(victim, signal.SIGSTOP)
        try:
            self.wait_out(name)
        finally:
            self.send(victim, signal.SIGCONT)
        self.harness.wait_for(lambda: len(self.serving()) == 2, 'two replicas serve')
        self.assert_no_double_claim()

    def test_leaving_instance_drains_its_replica_and_cuts_nothing(self) -> None:
        begun = threading.Event()
        names: list[str] = []

        def on_text(text: str, request: str) -> None:
            names.append(request)
            begun.set()

        body = self.body('long note', max_tokens=400)
        # Not repeatable, so that it cannot go on elsewhere if it is cut.
        key = {'Idempotency-Key': 'long-note'}
        call = in_background(
            lambda: call_stream(self.harness, 'n2', body, on_text, **key)
        )
        begun.wait(60)
        leader = next(
            item['id']
            for item in self.harness.instances
            if f'{names[0]}.1' in self.harness.stats(item['id'])['ran']
        )
        replica = next(
            item for item in self.serving().values() if item['instances'][0] == leader
        )
        self.harness.list_state(replica['instances'][1], 'leaving')
        self.wait_out(replica['name'])
        before = self.harness.stats(leader)['ran']
        for node in self.nodes:
            self.harness.call(node, self.body('new work'))
        self.assertEqual(self.harness.stats(leader)['ran'], before)
        answer = call.result(90)
        self.assertTrue(answer.whole, answer)
        self.assertEqual(answer.text, expect_tokens('long note', 400))
        self.harness.wait_for(
            lambda: len(self.serving()) == 2 and replica['name'] not in self.serving(),
            'a replica without the leaving instance serves',
        )
        self.harness.list_state(replica['instances'][1], 'live')

    def test_change_of_version_keeps_one_replica_in_service(self) -> None:
        stop = threading.Event()
        refused: list[str] = []

        def ask() -> None:
            while not stop.is_set():
                reply = self.harness.call('n3', self.body('during the change'))
                if reply.status_code != 200:
                    refused.append(reply.json()['error']['code'])

        asking = in_background(ask)
        spec = self.harness.operate('n1', 'GET', f'group/{GROUP}').json()['spec']
        self.harness.apply('n1', 'group', GROUP, **{**spec, 'version': '2'})
        self.harness.wait_converged('n1', 'group', GROUP)
        stop.set()
        asking.result(60)
        self.assertEqual(refused, [])
        self.assertEqual({i['version'] for i in self.serving().values()}, {'2'})
        self.assert_no_double_claim()


class SurvivorTest(ReplicaCase):
    """Survivors of a lost replica are used again at once."""

    settings = {'placement': {'avoid_s': '3600'}}
    domains = {'fab-a': ('kurasini', 3)}
    replicas = 1

    def test_survivors_and_a_spare_make_a_replica(self) -> None:
        name, replica = next(iter(self.serving().items()))
        self.harness.processes[replica['instances'][1]].kill()
        self.wait_out(name)
        self.harness.wait_for(
            lambda: len(self.serving()) == 1 and name not in self.serving(),
            'the survivor and the spare make a replica',
        )


class DarkDomainTest(ReplicaCase):
    """A whole fabric domain stops answering at once, and comes back."""

    domains = {'fab-a': ('kurasini', 2), 'fab-b': ('mikocheni', 4)}

    def test_group_refills_elsewhere_and_callers_are_served(self) -> None:
        dark = [
            item['id'] for item in self.harness.instances if item['domain'] == 'fab-a'
        ]
        victim = next(n for n, i in self.serving().items() if i['domain'] == 'fab-a')
        for name in dark:
            self.send(name, signal.SIGSTOP)
        try:
            self.wait_out(victim)
            for node in self.nodes:
                reply = self.harness.call(node, self.body('in the dark'))
                self.assertEqual(reply.status_code, 200, reply.text)
            self.harness.wait_for(
                lambda: len(self.serving()) == 2,
                'two replicas serve in the other domain',
            )
            found = {item['domain'] for item in self.serving().values()}
            self.assertEqual(found, {'fab-b'})
        finally:
            for name in dark:
                self.send(name, signal.SIGCONT)
        # What comes back still holds the old claim and must not serve it.
        self.assert_no_double_claim()
        self.assertNotIn(victim, self.serving())


class UnfencedTest(ReplicaCase):
    """Targets that check no fence, and a holder that dies."""

    engine = {'token_s': 0.01, 'fenced': 0}

    def read_epochs(self) -> int:
        entries = self.harness.stats('kv')['entries']
        return sum(
            json.loads(entry['value'])['epoch']
            for key, entry in entries.items()
            if key.startswith('claims/')
        )

    def test_new_holder_knows_the_kind_and_repairs(self) -> None:
        holder = self.duties()['c/duty/domain.fab-a']
        epochs = self.read_epochs()
        self.harness.processes.pop(holder).kill()
        left = next(name for name in self.nodes if name != holder)
        self.harness.wait_for(
            lambda: self.read_epochs() > epochs, 'another node raises the epoch'
        )
        kinds = {m['kind'] for r in self.read_claims() for m in r['members']}
        self.assertEqual(kinds, {'plain-engine'})
        replica = next(iter(self.serving(left).values()))
        self.harness.processes[replica['instances'][1]].kill()
        self.harness.wait_for(
            lambda: (
                len(self.serving(left)) == 2
                and replica['name'] not in self.serving(left)
            ),
            'it is repaired',
        )
        self.assert_no_double_claim()


class NodeTest(ReplicaCase):
    """Nodes that are killed, paused or stopped."""

    def test_paused_holder_of_duties_does_no_harm(self) -> None:
        holder = self.duties()['c/duty/cluster']
        lease = self.read_lease('c/duty/cluster')
        other = next(name for name in self.nodes if name != holder)
        self.send(holder, signal.SIGSTOP)
        try:
            self.harness.wait_for(
                lambda: self.duties().get('c/duty/cluster', holder) != holder,
                'another node takes the duty',
            )
            replica = next(iter(self.serving(other).values()))
            victim = replica['instances'][1]
            self.harness.processes[victim].kill()
            self.harness.wait_for(
                lambda: (
                    len(self.serving(other)) == 2
                    and replica['name'] not in self.serving(other)
                ),
                'the new holder repairs',
            )
        finally:
            self.send(holder, signal.SIGCONT)
        self.harness.wait_for(lambda: self.harness.is_ready(holder), 'it serves again')
        # It may get the duty back, but under a new lease alone.
        self.assertNotEqual(self.read_lease('c/duty/cluster'), lease)
        self.harness.wait_for(
            lambda: len(self.serving(holder)) == 2, 'it sees both replicas'
        )
        self.assert_no_double_claim()
        self.harness.restart_engine(victim, **self.engine)

    def test_change_is_accepted_without_a_paused_node_and_never_reverts(self) -> None:
        self.send('n3', signal.SIGSTOP)
        try:
            spec = {'requests_per_s': 900, 'burst': 900}
            data = self.harness.apply('n1', 'customer', 'dar', **spec)
            self.harness.wait_converged('n1', 'customer', 'dar')
        finally:
            self.send('n3', signal.SIGCONT)
        # The first thing the woken node says is either that it does not serve,
        # or the accepted revision: never an older one.
        status = self.harness.operate('n3', 'GET', 'status').json()
        if status['serves']:
            self.assertGreaterEqual(status['revision'], data['resource_version'])
        self.harness.wait_for(
            lambda: (
                self.harness.operate('n3', 'GET', 'status').json()['revision']
                >= data['resource_version']
            ),
            'the woken node catches up',
        )

    def has_heard_n8(self) -> bool:
        """Whether n1 holds what n8 told of itself."""
        nodes = self.harness.operate('n1', 'GET', 'status').json()['nodes']
        return any(item['name'] == 'n8' and item.get('ready') for item in nodes)

    def test_killed_node_is_forgotten_and_its_duties_taken_over(self) -> None:
        self.harness.start_node('n8', 'kurasini')
        self.harness.wait_for(lambda: self.harness.is_ready('n8'), 'n8 serves')

        def is_known() -> bool:
            items = self.harness.operate('n1', 'GET', 'node').json()['items']
            return any(item['name'] == 'n8' for item in items)

        self.harness.wait_for(is_known, 'n1 knows n8')
        self.harness.wait_for(self.has_heard_n8, 'n1 heard of n8 over a link')
        self.harness.processes.pop('n8').kill()
        self.harness.wait_for(lambda: not is_known(), 'n8 is forgotten')
        self.assertNotIn('n8', self.duties().values())

    def test_planned_stop_cuts_no_stream_and_ends_with_0(self) -> None:
        self.harness.start_node('n7', 'mikocheni')
        self.harness.wait_for(lambda: self.harness.is_ready('n7'), 'n7 serves')
        self.harness.wait_for(lambda: len(self.serving('n7')) == 2, 'n7 sees replicas')
        begun = [threading.Event() for _ in range(5)]
        calls = [
            in_background(
                lambda event=event: call_stream(
                    self.harness,
                    'n7',
                    self.body('long', max_tokens=300),
                    lambda *_: event.set(),
                )
            )
            for event in begun
        ]
        for event in begun:
            event.wait(60)
        self.send('n7', signal.SIGTERM)
        answers = [call.result(90) for call in calls]
        self.assertTrue(all(answer.whole for answer in answers), answers)
        self.assertEqual(self.harness.processes.pop('n7').wait(), 0)

    def test_stopped_node_leaves_no_lease_behind(self) -> None:
        self.harness.start_node('n7', 'mikocheni')
        self.harness.wait_for(lambda: self.harness.is_ready('n7'), 'n7 serves')
        begun = threading.Event()
        body = self.body('long', max_tokens=500)
        call = in_background(
            lambda: call_stream(self.harness, 'n7', body, lambda *_: begun.set())
        )
        self.harness.wait_for(lambda: len(self.serving('n7')) == 2, 'n7 sees replicas')
        begun.wait(60)
        self.assertEqual(self.harness.stop_node('n7'), 0)
        self.assertTrue(call.result(60).whole)
        entries = self.harness.stats('kv')['entries']
        self.assertNotIn('c/live/n7', entries)
        self.assertNotIn('n7', self.duties().values())

    def test_second_signal_cuts_and_names_each_request(self) -> None:
        process = self.harness.start_node('n6', 'mikocheni')
        self.harness.wait_for(lambda: self.harness.is_ready('n6'), 'n6 serves')
        self.harness.wait_for(lambda: len(self.serving('n6')) == 2, 'n6 sees replicas')
        begun = threading.Event()
        body = self.body('long', max_tokens=3000)
        call = in_background(
            lambda: call_stream(self.harness, 'n6', body, lambda *_: begun.set())
        )
        begun.wait(60)
        process.send(signal.SIGTERM)
        log = self.harness.folder / 'n6.log'
        self.harness.wait_for(lambda: 'node.draining' in log.read_text(), 'it drains')
        process.send(signal.SIGTERM)
        self.assertFalse(call.result(90).whole)
        self.assertEqual(self.harness.processes.pop('n6').wait(), 1)
        self.assertEqual(log.read_text().count('node.request_cut'), 1)


class OperatorTest(ReplicaCase):
    """Operators that race, and bad input."""

    def test_racing_operators_one_wins_and_the_other_sees_what_is_there(self) -> None:
        first = self.harness.apply('n1', 'customer', 'race', burst=10)
        version = first['resource_version']

        def write(node: str, burst: int) -> httpx.Response:
            body = {'spec': {'burst': burst}, 'resource_version': version}
            return self.harness.operate(node, 'PUT', 'customer/race', json=body)

        calls = [
            in_background(lambda node=node, place=place: write(node, 20 + place))
            for place, node in enumerate(self.nodes)
        ]
        replies = [call.result(60) for call in calls]
        codes = sorted(reply.status_code for reply in replies)
        self.assertEqual(codes, [200, 409, 409])
        won = next(reply for reply in replies if reply.status_code == 200).json()
        for reply in replies:
            if reply.status_code == 409:
                current = reply.json()['error']['current']
                self.assertEqual(current['spec'], won['spec'])

    def test_node_that_joins_after_many_changes_has_them_all(self) -> None:
        for number in range(40):
            self.harness.apply('n1', 'customer', f'many-{number}', burst=number + 1)
        self.harness.wait_converged('n2', 'customer', 'many-39')
        entries = self.harness.stats('kv')['entries']
        head = json.loads(entries['c/config']['value'])
        self.assertGreater(head['floor'], 0)
        self.harness.start_node('n0', 'ubungo')
        self.harness.wait_for(lambda: self.harness.is_ready('n0'), 'n0 serves')
        for number in range(40):
            data = self.harness.operate('n0', 'GET', f'customer/many-{number}').json()
            self.assertEqual(data['spec']['burst'], number + 1)
        self.assertEqual(self.harness.stop_node('n0'), 0)

    def test_every_finding_is_reported_at_once(self) -> None:
        spec = {'model': 'm', 'replicas': -1, 'colour': 'red'}
        reply = self.harness.operate('n1', 'PUT', 'group/Bad_Name', json={'spec': spec})
        self.assertEqual(reply.status_code, 422)
        options = {item['option'] for item in reply.json()['error']['findings']}
        self.assertEqual(options, {'', 'colour', 'replicas', 'version'})

    def test_operator_key_is_needed(self) -> None:
        url = f'{self.harness.admin("n1")}/apis/v1/group'
        self.assertEqual(httpx.get(url).status_code, 401)
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        self.assertEqual(httpx.get(url, headers=headers).status_code, 401)

    def test_watch_resumes_from_a_revision(self) -> None:
        start = self.harness.operate('n2', 'GET', 'status').json()['revision']
        self.harness.apply('n1', 'customer', 'watched', burst=11)
        reply = self.harness.operate('n2', 'GET', f'watch?after={start}', timeout=40)
        names = [change['name'] for change in reply.json()['changes']]
        self.assertIn('watched', names)
