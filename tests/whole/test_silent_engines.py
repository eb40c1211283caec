"""Engines that stand still for some seconds and go on."""

from __future__ import annotations

import signal
import time

from coursepitch.config.settings import TargetSettings
from coursepitch.control.duties import domain_duty
from coursepitch.peers.topology import pick_first
from tests.whole.base import PATIENT
from tests.whole.calls import call_stream, expect_tokens, in_background
from tests.whole.replica_base import ReplicaCase

TOKENS = 60


def send_calls(case, count, interval_s):
    """Send calls to all nodes in turn; return the errors of those that failed."""
    calls = []
    for number in range(count):
        time.sleep(interval_s)
        node = f'n{number % 3 + 1}'
        body = case.body('sent in a silence', max_tokens=2)
        calls.append(
            in_background(
                lambda node=node, body=body: call_stream(case.harness, node, body)
            )
        )
    answers = [call.result(90) for call in calls]
    return [item.error for item in answers if not item.whole]


class SilentEnginesTest(ReplicaCase):
    """Limits of silence that are shorter than the longest silence."""

    settings = {
        **PATIENT,
        'routing': {'first_byte_timeout_s': '2', 'gap_timeout_s': '2'},
    }
    engine = {'token_s': 0.02}

    def stand_still(self, names, seconds):
        for name in names:
            self.harness.set_fault(name, still_s=seconds)

    def list_all(self):
        return [item['id'] for item in self.harness.instances]

    def start_streams(self, **headers):
        """Return streams under way, some of which are not repeatable."""
        calls = []
        for number in range(6):
            own = {'Idempotency-Key': f'{time.monotonic()}'} if number % 2 else {}
            body = self.body(f'note {number}', max_tokens=TOKENS)
            calls.append(
                in_background(
                    lambda body=body, own=own, node=f'n{number % 3 + 1}': call_stream(
                        self.harness, node, body, None, **own
                    )
                )
            )
        return calls

    def assert_whole(self, calls):
        for number, call in enumerate(calls):
            answer = call.result(90)
            self.assertTrue(answer.whole, answer)
            self.assertEqual(answer.text, expect_tokens(f'note {number}', TOKENS))

    def test_streams_outlast_a_silence_of_all_engines(self):
        for seconds in (0.5, 1.2, 2.3, 3.0):
            with self.subTest(seconds=seconds):
                self.setUp()
                calls = self.start_streams()
                time.sleep(0.5)
                self.stand_still(self.list_all(), seconds)
                self.assert_whole(calls)

    def test_streams_outlast_a_silence_of_one_replica(self):
        for seconds in (0.5, 1.2, 2.3, 3.0):
            with self.subTest(seconds=seconds):
                self.setUp()
                calls = self.start_streams()
                time.sleep(0.5)
                replica = next(iter(self.serving().values()))
                self.stand_still(replica['instances'], seconds)
                self.assert_whole(calls)

    # Guards against the replacement of a replica whose members go on.
    def test_replica_that_was_silent_for_less_than_the_limit_stays(self):
        names = set(self.serving())
        replica = next(iter(self.serving().values()))
        duty = domain_duty(replica['domain'])
        holder = pick_first(duty, self.nodes)
        self.harness.wait_for(
            lambda: self.duties().get(f'c/duty/{duty}') == holder,
            'the duty is at its node for good',
        )
        self.stand_still(replica['instances'], 4.2)
        self.wait_out(replica['name'])
        self.setUp()
        self.assertEqual(set(self.serving()), names)

    # Guards against requests that are refused at once as all engines are silent.
    def test_requests_sent_while_all_engines_are_silent_are_answered(self):
        self.stand_still(self.list_all(), 3.0)
        refused = send_calls(self, 26, 0.1)
        self.assertEqual(refused, [])

    # Guards against requests that are refused once their replicas had silent attempts,
    # and once the last reports on them are old.
    def test_requests_sent_late_in_a_silence_of_all_engines_are_answered(self):
        streams = self.start_streams()
        time.sleep(0.5)
        self.stand_still(self.list_all(), 6.0)
        refused = send_calls(self, 26, 0.2)
        self.assertEqual(refused, [])
        self.assert_whole(streams)


class SilentGroupTest(ReplicaCase):
    """Silence of all engines of a group while those of another one answer."""

    settings = PATIENT

    # Guards against requests that are refused at once as their replicas are silent.
    def test_requests_sent_while_all_engines_of_their_group_are_silent_are_answered(
        self,
    ):
        self.harness.apply(
            'n1',
            'group',
            'other',
            model='other',
            version='1',
            replicas=1,
            instances=1,
            customers=['dar'],
        )
        for node in self.nodes:
            self.harness.wait_for(
                lambda node=node: any(
                    item['serving'] for item in self.harness.replicas(node, 'other')
                ),
                f'{node} sees the other group serve',
            )
        for replica in self.serving().values():
            for name in replica['instances']:
                self.harness.set_fault(name, still_s=4.0)
        refused = send_calls(self, 30, 0.1)
        self.assertEqual(refused, [])


class PausedNodeTest(ReplicaCase):
    """A node that stands still for longer than a report on replicas counts."""

    settings = PATIENT

    # Guards against requests that are refused as the node has read no reports.
    def test_requests_sent_while_their_node_stands_still_are_answered(self):
        self.send('n1', signal.SIGSTOP)
        self.addCleanup(self.send, 'n1', signal.SIGCONT)
        body = self.body('sent in a pause', max_tokens=2)
        calls = [
            in_background(lambda: call_stream(self.harness, 'n1', body))
            for _ in range(6)
        ]
        time.sleep(TargetSettings().evidence_limit_s + 1.5)
        self.send('n1', signal.SIGCONT)
        answers = [call.result(90) for call in calls]
        self.assertEqual([item.error for item in answers if not item.whole], [])
