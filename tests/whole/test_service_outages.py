"""Outages, damage and silence of the key-value service, on processes."""

from __future__ import annotations

import signal
import time

import httpx

from tests.whole.base import GROUP
from tests.whole.replica_base import ReplicaCase


class OutageTest(ReplicaCase):
    """The key-value service is down for less than the bound, or loses answers."""

    settings = {'platform': {'confirm_bound_s': '60'}}

    def wait_outage(self) -> None:
        """Wait until every node knows that the service does not answer."""
        for node in self.nodes:
            self.harness.wait_for(
                lambda node=node: not self.service_answers(node), f'{node} sees it'
            )

    def test_serving_goes_on_in_an_outage_and_evidence_stays_true(self) -> None:
        self.harness.set_fault('kv', mode='down')
        self.wait_outage()
        for node in self.nodes:
            reply = self.harness.call(node, self.body('in the outage'))
            self.assertEqual(reply.status_code, 200, reply.text)
        name, replica = next(iter(self.serving().items()))
        victim = replica['instances'][1]
        self.harness.processes[victim].kill()
        self.wait_out(name)
        reply = self.harness.call('n2', self.body('still'))
        self.assertEqual(reply.status_code, 200, reply.text)
        refused = self.harness.operate(
            'n1', 'PUT', 'customer/dar', json={'spec': {'burst': 5}}
        )
        self.assertEqual(refused.status_code, 503)
        self.harness.set_fault('kv', mode='none')
        self.harness.wait_for(lambda: len(self.serving()) == 2, 'it is repaired')
        self.assert_no_double_claim()
        self.harness.restart_engine(victim, **self.engine)

    def service_answers(self, node: str) -> bool:
        status = self.harness.operate(node, 'GET', 'status').json()
        return bool(status['service_answers'])

    def test_observer_that_dies_in_an_outage_is_replaced(self) -> None:
        self.harness.set_fault('kv', mode='down')
        self.wait_outage()
        holder = self.duties()
        victim = next(iter(holder.values()), 'n1') if holder else 'n1'
        others = [name for name in self.nodes if name != victim]
        self.send(victim, signal.SIGSTOP)
        try:
            # The bound is longer than the outage, so they go on.
            for node in others:
                self.harness.wait_for(
                    lambda node=node: (
                        self.harness.call(node, self.body()).status_code == 200
                        and self.is_fresh(node)
                    ),
                    f'{node} serves on fresh evidence',
                )
        finally:
            self.send(victim, signal.SIGCONT)
            self.harness.set_fault('kv', mode='none')

    def is_fresh(self, node: str) -> bool:
        found = self.harness.replicas(node, GROUP)
        return len(found) == 2 and all(item['serving'] for item in found)

    def test_node_that_boots_in_an_outage_gets_the_configuration(self) -> None:
        ports = [self.harness.processes[n].told['ports']['peers'] for n in self.nodes]
        seeds = ', '.join(f'127.0.0.1:{port}' for port in ports)
        self.harness.set_fault('kv', mode='down')
        self.harness.settings = {**self.settings, 'peers': {'seeds': seeds}}
        self.harness.start_node('n5', 'ubungo')
        self.harness.settings = self.settings
        self.harness.wait_for(lambda: self.harness.is_ready('n5'), 'n5 serves')
        self.harness.wait_for(lambda: len(self.serving('n5')) == 2, 'n5 sees replicas')
        self.assertEqual(self.harness.call('n5', self.body()).status_code, 200)
        self.harness.set_fault('kv', mode='none')
        self.harness.wait_for(lambda: self.service_answers('n5'), 'n5 is in touch')
        self.assertEqual(self.harness.stop_node('n5'), 0)

    def test_instance_that_leaves_in_an_outage_gets_no_new_work(self) -> None:
        self.harness.set_fault('kv', mode='down')
        self.wait_outage()
        replica = next(iter(self.serving().values()))
        instance = replica['instances'][1]
        self.harness.list_state(instance, 'leaving')
        leader = replica['instances'][0]

        def is_avoided() -> bool:
            before = self.harness.stats(leader)['ran']
            for node in self.nodes:
                for turn in range(4):
                    self.harness.call(node, self.body(f'turn {turn}'))
            return bool(self.harness.stats(leader)['ran'] == before)

        self.harness.wait_for(is_avoided, 'the replica gets no new work')
        self.harness.list_state(instance, 'live')
        self.harness.set_fault('kv', mode='none')

    def test_slow_service_is_taken_as_an_outage(self) -> None:
        self.harness.set_fault('kv', mode='slow', delay_s=3)
        self.wait_outage()
        for node in self.nodes:
            reply = self.harness.call(node, self.body('slow service'))
            self.assertEqual(reply.status_code, 200, reply.text)
        self.harness.set_fault('kv', mode='none')

    def test_lost_answers_of_writes_are_settled(self) -> None:
        self.harness.set_fault('kv', mode='drop_answers', paths=['swap'])
        name, replica = next(iter(self.serving().items()))
        victim = replica['instances'][1]
        self.harness.processes[victim].kill()
        data = self.harness.apply('n2', 'customer', 'lost-answer', burst=7)
        self.assertEqual(data['generation'], 1)
        self.harness.wait_for(
            lambda: len(self.serving()) == 2 and name not in self.serving(),
            'the replica is replaced though every write loses its answer',
        )
        self.assert_no_double_claim()
        self.harness.set_fault('kv', mode='none')
        self.harness.restart_engine(victim, **self.engine)


class SlowServiceTest(ReplicaCase):
    """The service answers, but later than a call usually waits."""

    settings = {'platform': {'confirm_bound_s': '6'}}

    # Guards against nodes that refuse all requests as not ready, though the service
    # confirms the configuration well within the time for which that counts.
    def test_nodes_serve_while_confirmations_come_late(self) -> None:
        self.harness.set_fault('kv', mode='slow', delay_s=1.3)
        until = time.monotonic() + 12.0
        replies = []
        while time.monotonic() < until:
            for node in self.nodes:
                replies.append(self.harness.call(node, self.body('slow service')))
        self.harness.set_fault('kv', mode='none')
        self.assertEqual({reply.status_code for reply in replies}, {200})


class BoundTest(ReplicaCase):
    """Nodes serve on a configuration only while it was confirmed just before."""

    def wait_refused(self, node: str) -> None:
        self.harness.wait_for(
            lambda: not self.harness.is_ready(node), f'{node} turns callers away'
        )

    def test_longer_outage_stops_all_and_its_end_lets_them_serve(self) -> None:
        self.harness.set_fault('kv', mode='down')
        for node in self.nodes:
            self.wait_refused(node)
            reply = self.harness.call(node, self.body('down'))
            self.assertEqual(reply.status_code, 503)
            self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
        self.harness.set_fault('kv', mode='none')
        for node in self.nodes:
            self.harness.wait_for(
                lambda node=node: self.harness.is_ready(node), f'{node} serves again'
            )

    def test_lone_node_without_service_and_peers_turns_callers_away(self) -> None:
        others = [name for name in self.nodes if name != 'n1']
        self.harness.set_fault('kv', mode='down')
        for name in others:
            self.send(name, signal.SIGSTOP)
        try:
            self.wait_refused('n1')
            reply = self.harness.call('n1', self.body('alone'))
            self.assertEqual(reply.status_code, 503)
            self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
        finally:
            for name in others:
                self.send(name, signal.SIGCONT)
            self.harness.set_fault('kv', mode='none')

    def test_node_without_links_serves_by_its_own_checks(self) -> None:
        self.harness.settings = {**self.settings, 'peers': {'key': 'another-key'}}
        self.harness.start_node('n4', 'ubungo')
        self.harness.settings = self.settings
        self.harness.wait_for(lambda: self.harness.is_ready('n4'), 'n4 serves')
        self.harness.wait_for(lambda: len(self.serving('n4')) == 2, 'n4 sees replicas')
        self.assertEqual(self.harness.call('n4', self.body()).status_code, 200)
        # Its state is not heard, so a change is accepted when the bound is over.
        self.harness.apply('n1', 'customer', 'unheard', burst=3)
        self.harness.wait_converged('n1', 'customer', 'unheard')
        status = self.harness.operate('n4', 'GET', 'status').json()
        self.assertGreaterEqual(status['revision'], status['accepted'])
        self.assertEqual(self.harness.stop_node('n4'), 0)


class DamageTest(ReplicaCase):
    """Values in the service that cannot be read end no node."""

    def test_damaged_values_are_passed_over(self) -> None:
        for key in ('c/duty/domain.nowhere', 'claims/nowhere', 'c/live/x', 'c/other'):
            body = {'key': key, 'value': '{"broken', 'expect': 0}
            port = self.harness.processes['kv'].told['port']
            httpx.post(f'http://127.0.0.1:{port}/swap', json=body)
        self.harness.apply('n2', 'customer', 'after-damage', burst=2)
        self.harness.wait_converged('n3', 'customer', 'after-damage')
        name, replica = next(iter(self.serving().items()))
        self.harness.processes[replica['instances'][1]].kill()
        self.wait_out(name)
        self.harness.wait_for(lambda: len(self.serving()) == 2, 'it is repaired')
        for node in self.nodes:
            self.assertIsNone(self.harness.processes[node].process.poll())
