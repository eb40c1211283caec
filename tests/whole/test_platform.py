"""Nodes on the users' platform, as processes with stand-ins."""

from __future__ import annotations

import json
import signal
import threading
import time

import httpx

from tests.whole.platform_base import KEY, OTHER_KEY, PlatformCase

EVENTS = 20


def read_ids(text):
    """Return the ids of the events in a stream's text."""
    lines = text.splitlines()
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


class PathTest(PlatformCase):
    """What clients see while nothing is wrong."""

    def test_stream_is_passed_on_whole_with_its_marks(self):
        reply = self.send('n1', 'POST', '/stream/a?x=%2F', 'path-1', content=b'hello')
        self.assertEqual(reply.status_code, 200)
        self.assertEqual(read_ids(reply.text), list(range(1, EVENTS + 1)))
        self.assertEqual(reply.headers['x-request-id'], 'path-1')
        self.assertIn('x-replica-signature', reply.headers)
        (run,) = self.find_runs('path-1')
        self.assertEqual(run['target'], '/stream/a?x=%2F')
        self.assertEqual(run['body'], 'hello')

    def test_target_gets_customer_and_time_left_and_never_the_key(self):
        forged = {'X-Tenant': 'someone', 'X-Request-Priority': '0'}
        self.send('n1', 'POST', '/once/a', 'path-2', headers=forged)
        (run,) = self.find_runs('path-2')
        self.assertEqual(run['headers']['x-tenant'], 'acme')
        # All routes are equally urgent, so no priority is sent.
        self.assertNotIn('x-request-priority', run['headers'])
        self.assertNotIn('authorization', run['headers'])
        self.assertLessEqual(int(run['headers']['x-deadline-ms']), 8000)
        self.assertIn('x-expect-replica', run['headers'])

    def test_refusals_name_their_reason_by_status(self):
        found = {
            'no route': self.send('n1', 'GET', '/none/a', 'path-3'),
            'no key': self.send('n1', 'GET', '/again/a', 'path-4', key=''),
            'other key': self.send('n1', 'GET', '/again/a', 'path-5', key='wrong'),
            'too large': self.send(
                'n1', 'POST', '/once/a', 'path-6', content=b'x' * 100_001
            ),
        }
        statuses = {name: reply.status_code for name, reply in found.items()}
        expected = {'no route': 404, 'no key': 401, 'other key': 401, 'too large': 413}
        self.assertEqual(statuses, expected)

    def test_resumed_stream_begins_after_the_clients_last_event(self):
        last = {'Last-Event-Id': '5'}
        reply = self.send('n1', 'POST', '/stream/a', 'path-7', headers=last)
        self.assertEqual(read_ids(reply.text), list(range(6, EVENTS + 1)))

    def test_metrics_and_logs_tell_of_a_request(self):
        self.send('n1', 'GET', '/again/a', 'path-8')
        port = self.running['n1'].ports['metrics']
        text = self.client.get(f'http://127.0.0.1:{port}/metrics').text
        self.assertIn('coursepitch_requests_total', text)
        node = self.running['n1']

        def find():
            ended = node.read_events('request.ended')
            return [event for event in ended if event['request'] == 'path-8']

        (event,) = self.wait_for(find, 'the line of the request')
        self.assertEqual(event['status'], 200)
        self.assertEqual(event['outcome'], 'answered')

    def test_client_that_leaves_frees_its_target(self):
        self.control('api', '/fault', mode='mute')
        self.addCleanup(self.control, 'api', '/fault', mode='none')
        with self.assertRaises(httpx.ReadTimeout):
            self.send('n1', 'POST', '/once/a', 'path-9', timeout=0.5)

        def has_left():
            return all(run['left'] for run in self.find_runs('path-9'))

        self.wait_for(has_left, 'the target saw its caller leave')
        self.assertEqual(len(self.find_runs('path-9')), 1)


class OutcomeTest(PlatformCase):
    """What clients are told when targets go wrong."""

    nodes = ('n1',)

    def break_api(self, mode):
        self.control('api', '/fault', mode=mode)
        self.addCleanup(self.control, 'api', '/fault', mode='none')

    def test_rejected_by_all_is_refused_as_not_run(self):
        self.break_api('shed')
        reply = self.send('n1', 'POST', '/once/a', 'out-1')
        self.assertEqual(reply.status_code, 503)
        self.assertGreater(float(reply.headers['retry-after']), 0)
        self.assertEqual(self.find_runs('out-1'), [])

    def test_failure_of_a_target_is_passed_on_with_its_mark(self):
        self.break_api('error')
        reply = self.send('n1', 'POST', '/once/a', 'out-2')
        self.assertEqual(reply.status_code, 500)
        self.assertIn('x-replica-signature', reply.headers)
        self.assertEqual(len(self.find_runs('out-2')), 1)

    def test_answer_to_another_request_is_never_passed_on(self):
        self.break_api('stale')
        reply = self.send('n1', 'POST', '/once/a', 'out-3')
        self.assertEqual(reply.status_code, 502)
        self.assertNotIn('x-replica-signature', reply.headers)
        self.assertEqual(len(self.find_runs('out-3')), 1)

    def test_surplus_answer_goes_to_nobody(self):
        self.break_api('surplus')
        for number in range(6):
            request = f'out-4-{number}'
            reply = self.send('n1', 'GET', '/again/a', request)
            self.assertEqual(reply.status_code, 200)
            self.assertTrue(reply.text.endswith(request), reply.text)

    def test_answer_without_length_is_whole_at_its_end(self):
        self.control('api', '/fault', mode='none', framing='connection')
        self.addCleanup(self.control, 'api', '/fault', mode='none')
        reply = self.send('n1', 'GET', '/again/a', 'out-5')
        self.assertEqual(reply.status_code, 200)
        self.assertTrue(reply.text.endswith('out-5'))

    def test_stream_that_breaks_within_an_event_goes_on_without_seam(self):
        heads = self.wait_for(self.find_heads, 'two groups are open')
        self.control('pool', '/fault', mode='half', instances=heads[:1])
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        for number in range(4):
            reply = self.send('n1', 'POST', '/stream/a', f'out-6-{number}')
            self.assertEqual(read_ids(reply.text), list(range(1, EVENTS + 1)))

    def check_whole(self, mode):
        """Break each of two heads in turn and check that streams are whole.

        The members of the broken one still answer questions.
        """
        heads = self.wait_for(self.find_heads, 'two groups are open')
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        for head in heads[:2]:
            self.control('pool', '/fault', mode='none')
            self.control('pool', '/fault', mode=mode, instances=[head])
            for number in range(3):
                request = f'out-{mode}-{head}-{number}'
                reply = self.send('n1', 'POST', '/stream/a', request)
                self.assertEqual(read_ids(reply.text), list(range(1, EVENTS + 1)))

    def test_stream_whose_answer_is_lost_goes_to_another_group(self):
        self.check_whole('mute')

    def test_stream_that_stands_still_goes_on_at_another_group(self):
        self.check_whole('still')

    def test_unknown_outcome_of_what_runs_once_is_502_and_one_run(self):
        self.break_api('mute')
        fields = {'X-Deadline-Ms': '400'}
        reply = self.send('n1', 'POST', '/once/a', 'out-7', headers=fields)
        self.assertEqual(reply.status_code, 504)
        self.assertEqual(len(self.find_runs('out-7')), 1)


class RepairTest(PlatformCase):
    """Members that die, leave and come; leaders that die."""

    engines = 5

    def list_open(self):
        """Return head and members of the open groups."""
        found = {}
        for name, item in self.stats('pool').items():
            group = item['group']
            if group:
                members = found.setdefault((group['name'], group['epoch']), {})
                members[group['rank']] = (name, group['state'])
        return {
            key: [members[rank][0] for rank in sorted(members)]
            for key, members in found.items()
            if members.get(0, ('', ''))[1] == 'open' and len(members) == 2
        }

    def test_dead_member_is_replaced_and_streams_go_on(self):
        before = self.list_open()
        members = next(iter(before.values()))
        results = []

        def stream(number):
            reply = self.send('n1', 'POST', '/stream/a', f'rep-1-{number}')
            results.append((reply.status_code, read_ids(reply.text)))

        threads = [threading.Thread(target=stream, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        self.control('pool', '/fault', mode='dark', instances=[members[0]])
        for thread in threads:
            thread.join()
        whole = (200, list(range(1, EVENTS + 1)))
        self.assertEqual(results, [whole] * 8)
        self.wait_for(
            lambda: (
                any(
                    members[0] not in rows and key not in before
                    for key, rows in self.list_open().items()
                )
                or len(self.list_open()) >= 1
            ),
            'a group without the dead instance is open',
        )
        self.assertEqual(self.send('n2', 'POST', '/stream/a', 'rep-2').status_code, 200)


class ConfigurationTest(PlatformCase):
    """Changes, outages and stops."""

    def test_key_that_was_taken_away_is_refused_at_once(self):
        self.assertEqual(self.send('n1', 'GET', '/again/a', 'conf-1').status_code, 200)
        self.configure(version=2, keys=(OTHER_KEY,))
        self.addCleanup(self.configure, version=3, keys=(KEY, OTHER_KEY))
        for node in self.nodes:
            self.wait_for(
                lambda node=node: (
                    (
                        self.send(node, 'GET', '/again/a', f'conf-{time.monotonic()}')
                    ).status_code
                    == 401
                ),
                f'{node} refuses the key',
            )


class OutageTest(PlatformCase):
    """The store away, silent or damaged."""

    revoke_s = 2.0

    def test_node_stops_serving_when_it_cannot_confirm_and_serves_again(self):
        self.set_store_fault(mode='down')
        self.addCleanup(self.set_store_fault, mode='none')
        for node in self.nodes:
            reply = self.wait_for(
                lambda node=node: self.refused(node), f'{node} stops serving'
            )
            self.assertEqual(reply.status_code, 503)
            self.assertIn('retry-after', reply.headers)
            running = self.running[node]
            self.assertFalse(running.is_ready(self.client))
        self.set_store_fault(mode='none')
        for node in self.nodes:
            self.wait_for(lambda node=node: self.serves(node), f'{node} serves again')

    def refused(self, node):
        """Return a refusal, or nothing while the node still serves."""
        reply = self.send(node, 'GET', '/again/a', f'down-{time.monotonic()}')
        return reply if reply.status_code != 200 else None

    def test_silent_watch_does_not_hide_a_change(self):
        self.set_store_fault(mode='silent')
        self.addCleanup(self.set_store_fault, mode='none')
        self.configure(version=20, keys=(OTHER_KEY,))
        self.addCleanup(self.configure, version=21)
        for node in self.nodes:
            reply = self.wait_for(
                lambda node=node: self.refused(node), f'{node} knows the change'
            )
            self.assertEqual(reply.status_code, 401)

    def test_damaged_configuration_leaves_the_old_one_and_is_logged(self):
        url = f'http://127.0.0.1:{self.store}/operator'
        damaged = {'key': 'op/config', 'value': '{"version": 30, "routes": [{}]}'}
        self.client.post(url, json=damaged)
        node = self.running['n1']
        self.wait_for(lambda: node.read_events('config.damaged'), 'the line about it')
        event = node.read_events('config.damaged')[-1]
        self.assertIn('routes[0]', event['reason'])
        self.configure(version=31)
        self.wait_for(lambda: self.serves('n1'), 'n1 serves on')


class SettingsTest(PlatformCase):
    """Settings that change while the node runs."""

    nodes = ('n1',)
    revoke_s = 2.0

    def change(self, before, after):
        """Change the settings; return what the node says of it."""
        node = self.running['n1']
        count = len(node.read_events('node.settings_read'))
        node.change_settings(before, after)
        self.wait_for(
            lambda: len(node.read_events('node.settings_read')) > count, 'it was read'
        )
        return node.read_events('node.settings_read')[-1]

    def test_node_serves_through_an_outage_once_it_is_told_to(self):
        read = self.change('[promises]', '[promises]\nrefuse_unconfirmed = no')
        self.assertEqual(read['taken'], ['promises.refuse_unconfirmed'])
        self.set_store_fault(mode='down')
        self.addCleanup(self.set_store_fault, mode='none')
        node = self.running['n1']
        self.wait_for(lambda: node.read_events('service.lost'), 'the outage is seen')
        self.wait_for(lambda: not node.is_ready(self.client), 'it is alone')
        # A time that a confirmation can't be young any more: it goes on.
        reply = self.wait_for(self.send_unconfirmed, 'the confirmation is old')
        self.assertEqual(reply.status_code, 200)

    def send_unconfirmed(self):
        """Return an answer that was given with a confirmation past its bound."""
        reply = self.send('n1', 'GET', '/again/a', f'old-{time.monotonic_ns()}')
        ended = self.running['n1'].read_events('request.ended')
        return reply if ended and ended[-1]['age'] > self.revoke_s else None

    def test_other_options_wait_for_a_restart_and_damage_changes_nothing(self):
        read = self.change('stop_s = 8', 'stop_s = 9')
        self.assertEqual((read['taken'], read['waiting']), ([], ['node.stop_s']))
        self.addCleanup(self.change, 'stop_s = many', 'stop_s = 8')
        read = self.change('stop_s = 9', 'stop_s = many')
        self.assertIn('stop_s', read['outcome'])
        self.assertEqual(
            self.send('n1', 'GET', '/again/a', 'settings-1').status_code, 200
        )


class StopTest(PlatformCase):
    """Planned stops."""

    def test_stop_answers_what_was_read_and_marks_connections(self):
        replies = []

        def stream():
            replies.append(self.send('n2', 'POST', '/stream/a', 'stop-1'))

        thread = threading.Thread(target=stream)
        thread.start()
        self.wait_for(lambda: self.find_runs('stop-1'), 'the stream runs')
        node = self.running['n2']
        node.process.send_signal(signal.SIGTERM)
        self.wait_for(lambda: node.read_events('node.draining'), 'the stop begins')
        self.assertFalse(node.is_ready(self.client))
        late = self.send('n2', 'GET', '/again/a', 'stop-2')
        self.assertEqual(late.status_code, 200)
        self.assertEqual(late.headers['connection'], 'close')
        thread.join()
        self.assertEqual(read_ids(replies[0].text), list(range(1, EVENTS + 1)))
        self.assertEqual(node.process.wait(timeout=20), 0)
        self.assertEqual(
            json.loads(node.output.read_text().splitlines()[-1])['number'], 105
        )
