"""Requests under failure of targets, callers and the service.

The stand-ins' own counts are the judge of what ran.
"""

from __future__ import annotations

import signal
import threading
from typing import Any

import httpx

from standins.harness import CALLER_KEY
from tests.whole.base import GROUP, PATIENT, SystemCase, hash_key
from tests.whole.calls import Answer, call_stream, expect_tokens, in_background


class RequestCase(SystemCase):
    """Helpers of tests on requests."""

    engine = {'token_s': 0.02}

    def setUp(self) -> None:
        """Begin with whole replicas and no faults."""
        harness = self.harness
        harness.set_fault('kv', mode='none')
        for item in harness.instances:
            if harness.processes[item['id']].process.poll() is not None:
                harness.restart_engine(item['id'], **self.engine)
            harness.set_fault(item['id'])
        for node in self.nodes:
            harness.wait_for(
                lambda node=node: self.count_serving(node) == self.replicas,
                f'{node} sees all replicas serve',
            )
        harness.wait_for(self.is_idle, 'no request runs')
        for node in self.nodes:
            harness.wait_for(
                lambda node=node: harness.call(node, self.body()).status_code == 200,
                f'{node} answers',
            )

    def is_idle(self) -> bool:
        addresses = [self.url(item['id']) for item in self.harness.instances]
        checks = [self.harness.client.get(url + '/health') for url in addresses]
        return not any(check.json()['running'] for check in checks)

    def serving(self) -> list[dict[str, Any]]:
        return [i for i in self.harness.replicas('n1', GROUP) if i['serving']]

    def fault_all(self, **fault: Any) -> None:
        for item in self.harness.instances:
            self.harness.set_fault(item['id'], **fault)

    def fault_all_alive(self, **fault: Any) -> None:
        for item in self.harness.instances:
            if self.harness.processes[item['id']].process.poll() is None:
                self.harness.set_fault(item['id'], **fault)

    def total_runs(self) -> int:
        return sum(self.harness.count_runs().values())

    def find_leader(self, request: str) -> str:
        """Return the instance that ran the first attempt of a request."""
        for item in self.harness.instances:
            if f'{request}.1' in self.harness.stats(item['id'])['ran']:
                return str(item['id'])
        raise AssertionError(f'no instance ran {request}')

    def url(self, instance: str) -> str:
        port = self.harness.processes[instance].told['port']
        return f'http://127.0.0.1:{port}'

    def kill(self, instance: str) -> None:
        self.harness.processes[instance].kill()

    def stream_with(self, act: Any, prompt: str, tokens: int, **headers: str) -> Answer:
        """Run a stream and act on its leader once a few tokens are there."""
        begun = threading.Event()
        names: list[str] = []

        def on_text(text: str, request: str) -> None:
            names.append(request)
            if len(text.split()) >= 3:
                begun.set()

        body = self.body(prompt, max_tokens=tokens)
        answer = in_background(
            lambda: call_stream(self.harness, 'n1', body, on_text, **headers)
        )
        begun.wait(60)
        act(self.find_leader(names[0]))
        return answer.result(90)


class StreamTest(RequestCase):
    """Streams are whole, or end in an error."""

    def test_killed_leader_continues_on_another_replica(self) -> None:
        answer = self.stream_with(self.kill, 'kill the leader', 60)
        self.assertTrue(answer.whole, answer)
        self.assertEqual(answer.text, expect_tokens('kill the leader', 60))

    def test_killed_member_continues_on_another_replica(self) -> None:
        def kill(leader: str) -> None:
            replica = next(i for i in self.serving() if self.leader(i) == leader)
            self.harness.processes[replica['instances'][1]].kill()

        answer = self.stream_with(kill, 'kill a member', 60)
        self.assertTrue(answer.whole, answer)
        self.assertEqual(answer.text, expect_tokens('kill a member', 60))

    def test_paused_leader_continues_on_another_replica(self) -> None:
        stopped: list[str] = []

        def pause(leader: str) -> None:
            stopped.append(leader)
            self.harness.processes[leader].send(signal.SIGSTOP)

        answer = self.stream_with(pause, 'pause the leader', 60)
        self.harness.processes[stopped[0]].send(signal.SIGCONT)
        self.assertTrue(answer.whole, answer)
        self.assertEqual(answer.text, expect_tokens('pause the leader', 60))

    def test_cut_stream_is_read_on_without_a_second_run(self) -> None:
        self.fault_all(cut_after=4)
        before = self.total_runs()
        answer = call_stream(self.harness, 'n1', self.body('cut me', max_tokens=12))
        self.assertEqual(answer.text, expect_tokens('cut me', 12))
        self.assertTrue(answer.whole)
        self.assertEqual(self.total_runs() - before, 1)

    def test_missing_end_mark_is_no_normal_end(self) -> None:
        self.fault_all(no_end_mark=True)
        answer = call_stream(self.harness, 'n1', self.body('no mark'))
        self.assertFalse(answer.whole)
        self.assertEqual(answer.outcome, 'unknown')

    def test_answer_of_another_request_is_refused(self) -> None:
        self.fault_all(wrong_id='somebody-else')
        answer = call_stream(self.harness, 'n1', self.body('wrong id'))
        self.assertEqual((answer.text, answer.whole), ('', False))
        self.assertEqual(answer.error['code'], 'wrong_answer')

    def test_whole_answer_of_another_request_is_refused(self) -> None:
        self.fault_all(wrong_id='somebody-else')
        key = {'Idempotency-Key': 'wrong-id'}
        reply = self.harness.call('n1', self.body('wrong id'), **key)
        self.assertEqual(reply.status_code, 502)
        self.assertEqual(reply.json()['error']['code'], 'wrong_answer')

    def test_caller_that_leaves_cancels_its_work(self) -> None:
        url = f'{self.harness.entry("n1")}/v1/chat/completions'
        body = self.body('leave', max_tokens=2000, stream=True)
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        before = self.count_cancelled()
        with httpx.stream('POST', url, json=body, headers=headers) as reply:
            next(reply.iter_lines())
        self.harness.wait_for(
            lambda: self.count_cancelled() == before + 1, 'the work is cancelled'
        )

    def test_caller_that_leaves_a_whole_answer_cancels_its_work(self) -> None:
        before = self.count_cancelled()
        url = f'{self.harness.entry("n1")}/v1/chat/completions'
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        with self.assertRaises(httpx.ReadTimeout):
            httpx.post(
                url,
                json=self.body('leave', max_tokens=2000),
                headers=headers,
                timeout=0.5,
            )
        self.harness.wait_for(
            lambda: self.count_cancelled() == before + 1, 'the work is cancelled'
        )

    def count_cancelled(self) -> int:
        return sum(
            sum(self.harness.stats(item['id'])['cancelled'].values())
            for item in self.harness.instances
        )


class AtMostOnceTest(RequestCase):
    """Requests that are not repeatable run at most once."""

    settings = PATIENT

    def test_one_key_at_all_entries_at_once_runs_once(self) -> None:
        before = self.total_runs()
        body = self.body('approve image 9')
        calls = [
            in_background(
                lambda node=node: self.harness.call(
                    node, body, **{'Idempotency-Key': 'image-9'}
                )
            )
            for node in ('n1', 'n2', 'n3') * 4
        ]
        replies = [call.result(60) for call in calls]
        self.assertEqual(self.total_runs() - before, 1)
        for reply in replies:
            self.assertIn(reply.status_code, (200, 409))
            if reply.status_code == 200:
                text = reply.json()['choices'][0]['message']['content']
                self.assertEqual(text, expect_tokens('approve image 9', 8))
        again = self.harness.call('n2', body, **{'Idempotency-Key': 'image-9'})
        self.assertEqual(again.status_code, 200)
        self.assertEqual(again.headers['idempotency-replayed'], 'true')

    def test_streamed_answer_is_replayed_whole(self) -> None:
        body = self.body('approve by stream')
        key = {'Idempotency-Key': 'stream-1'}
        first = call_stream(self.harness, 'n1', body, None, **key)
        before = self.total_runs()
        second = call_stream(self.harness, 'n3', body, None, **key)
        self.assertTrue(first.whole and second.whole)
        self.assertEqual(first.text, second.text)
        self.assertEqual(self.total_runs(), before)

    # Guards against 409 for a client that repeats a request after its whole answer.
    def test_answer_is_replayed_as_soon_as_it_has_ended(self) -> None:
        url = f'{self.harness.entry("n1")}/services/stamp/echo'
        headers = {'Authorization': f'Bearer {CALLER_KEY}', 'Idempotency-Key': 'slow-1'}
        self.harness.set_fault('kv', mode='slow', paths=['swap'], delay_s=0.3)
        calls = [
            self.harness.client.post(url, content=content, headers=headers)
            for content in (b'stamped', b'stamped')
        ]
        self.assertEqual([call.status_code for call in calls], [200, 200])
        self.assertEqual(calls[1].headers['idempotency-replayed'], 'true')
        self.assertEqual(calls[0].content, calls[1].content)

    def test_streamed_answer_is_replayed_as_soon_as_it_has_ended(self) -> None:
        key = {'Idempotency-Key': 'slow-stream'}
        self.harness.set_fault('kv', mode='slow', paths=['swap'], delay_s=0.3)
        answers = [
            call_stream(self.harness, 'n1', self.body('slow stream'), None, **key)
            for _ in range(2)
        ]
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual(answers[0].text, answers[1].text)

    def test_key_with_another_body_is_refused(self) -> None:
        key = {'Idempotency-Key': 'reused'}
        self.harness.call('n1', self.body('one'), **key)
        before = self.total_runs()
        reply = self.harness.call('n2', self.body('two'), **key)
        self.assertEqual(reply.status_code, 422)
        self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
        self.assertEqual(self.total_runs(), before)

    def test_key_of_another_caller_is_refused(self) -> None:
        digest = hash_key('second-caller')
        self.harness.apply('n1', 'caller', 'second', customer='dar', key_sha256=digest)
        self.harness.wait_converged('n1', 'caller', 'second')
        body, key = self.body('shared'), {'Idempotency-Key': 'shared-key'}
        first = self.harness.call('n1', body, **key)
        url = f'{self.harness.entry("n2")}/v1/chat/completions'
        key['Authorization'] = 'Bearer second-caller'
        second = httpx.post(url, json=body, headers=key, timeout=60)
        self.assertEqual((first.status_code, second.status_code), (200, 422))

    def test_service_outage_means_not_run(self) -> None:
        self.harness.set_fault('kv', mode='down')
        before = self.total_runs()
        key = {'Idempotency-Key': 'outage'}
        reply = self.harness.call('n1', self.body('outage'), **key)
        self.assertEqual(reply.status_code, 503)
        self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
        self.assertIn('retry-after', reply.headers)
        self.assertEqual(self.total_runs(), before)
        self.harness.set_fault('kv', mode='none')
        again = self.harness.call('n1', self.body('outage'), **key)
        self.assertEqual(again.status_code, 200)

    def test_lost_answers_of_the_service_run_once(self) -> None:
        self.harness.set_fault('kv', mode='drop_answers', paths=['swap'])
        before = self.total_runs()
        reply = self.harness.call(
            'n1', self.body('lost answers'), **{'Idempotency-Key': 'lost-1'}
        )
        self.harness.set_fault('kv', mode='none')
        again = self.harness.call(
            'n2', self.body('lost answers'), **{'Idempotency-Key': 'lost-1'}
        )
        self.assertEqual((reply.status_code, again.status_code), (200, 200))
        self.assertEqual(self.total_runs() - before, 1)

    def test_killed_target_mid_stream_is_unknown_and_not_run_again(self) -> None:
        before = self.total_runs()
        key = {'Idempotency-Key': 'killed-1'}
        answer = self.stream_with(self.kill, 'tally', 60, **key)
        self.assertFalse(answer.whole)
        self.assertEqual(answer.outcome, 'unknown')
        again = call_stream(
            self.harness, 'n2', self.body('tally', max_tokens=60), None, **key
        )
        self.assertEqual((again.status, again.outcome), (409, 'unknown'))
        # The killed engine's own count is gone with it; no other ran it.
        self.assertLessEqual(self.total_runs(), before)

    def test_target_that_hangs_before_its_head_is_unknown(self) -> None:
        self.fault_all(hang='after_start')
        before = self.total_runs()
        headers = {'Idempotency-Key': 'hang-1', 'Prefer': 'wait=2'}
        reply = self.harness.call('n1', self.body('hang'), **headers)
        self.assertEqual(reply.status_code, 504)
        self.assertEqual(reply.headers['coursepitch-outcome'], 'unknown')
        self.assertEqual(self.total_runs() - before, 1)
        self.fault_all()
        again = self.harness.call('n3', self.body('hang'), **headers)
        self.assertEqual(again.status_code, 409)
        self.assertEqual(self.total_runs() - before, 1)

    def test_refusing_targets_mean_not_run_and_may_come_again(self) -> None:
        self.fault_all(refuse=True)
        before = self.total_runs()
        key = {'Idempotency-Key': 'refused-1'}
        reply = self.harness.call('n1', self.body('refuse'), **key)
        self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
        self.assertEqual(self.total_runs(), before)
        self.fault_all()
        self.harness.wait_for(
            lambda: self.harness.call('n1', self.body('probe')).status_code == 200,
            'the replicas are tried again',
        )
        before = self.total_runs()
        again = self.harness.call('n2', self.body('refuse'), **key)
        self.assertEqual(again.status_code, 200)
        self.assertEqual(self.total_runs() - before, 1)

    def test_killed_entry_does_not_run_it_again(self) -> None:
        begun = threading.Event()
        key = {'Idempotency-Key': 'entry-killed'}
        before = self.total_runs()
        body = self.body('entry dies', max_tokens=100)
        self.harness.start_node('n9', 'kurasini')
        self.harness.wait_for(lambda: self.harness.is_ready('n9'), 'n9 serves')
        self.harness.wait_for(lambda: self.count_serving('n9') == 2, 'n9 sees replicas')

        def first() -> Answer | httpx.HTTPError:
            try:
                return call_stream(
                    self.harness, 'n9', body, lambda *_: begun.set(), **key
                )
            except httpx.HTTPError as error:
                return error

        call = in_background(first)
        begun.wait(60)
        self.harness.processes.pop('n9').kill()
        call.result(60)
        again = call_stream(self.harness, 'n2', body, None, **key)
        self.assertEqual((again.status, again.outcome), (409, 'unknown'))
        self.assertEqual(self.total_runs() - before, 1)

    def test_killed_target_before_the_call_is_not_run_there(self) -> None:
        victim = self.serving()[0]['instances'][0]
        self.harness.processes[victim].kill()
        before = self.total_runs()
        answered = 0
        for turn in range(12):
            key = {'Idempotency-Key': f'dead-target-{turn}'}
            reply = self.harness.call('n1', self.body(f'turn {turn}'), **key)
            self.assertIn(reply.headers['coursepitch-outcome'], ('answered', 'not-run'))
            answered += reply.status_code == 200
        self.assertEqual(self.total_runs() - before, answered)
        self.assertGreater(answered, 0)

    def test_killed_target_before_its_head_is_unknown(self) -> None:
        self.fault_all(hang='after_start')
        key = {'Idempotency-Key': 'killed-before-head'}
        before = self.harness.count_runs()
        call = in_background(
            lambda: self.harness.call('n1', self.body('no head'), **key)
        )
        self.harness.wait_for(lambda: self.harness.count_runs() != before, 'it runs')
        (name,) = set(self.harness.count_runs()) - set(before)
        self.kill(self.find_leader(name.split('.')[0]))
        reply = call.result(60)
        self.assertEqual(reply.headers['coursepitch-outcome'], 'unknown')
        self.fault_all_alive()
        again = self.harness.call('n2', self.body('no head'), **key)
        self.assertEqual(again.status_code, 409)
        # The killed engine's own count is gone with it; no other ran it.
        self.assertEqual(set(self.harness.count_runs()) - set(before), set())

    def test_killed_entry_before_the_head_does_not_run_it_again(self) -> None:
        self.harness.start_node('n9', 'kurasini')
        self.harness.wait_for(lambda: self.harness.is_ready('n9'), 'n9 serves')
        self.harness.wait_for(lambda: self.count_serving('n9') == 2, 'n9 sees replicas')
        self.fault_all(hang='after_start')
        before = self.total_runs()
        key = {'Idempotency-Key': 'entry-killed-early'}

        def first() -> httpx.Response | httpx.HTTPError:
            try:
                return self.harness.call('n9', self.body('early'), **key)
            except httpx.HTTPError as error:
                return error

        call = in_background(first)
        self.harness.wait_for(lambda: self.total_runs() == before + 1, 'it runs')
        self.harness.processes.pop('n9').kill()
        self.assertIsInstance(call.result(60), httpx.HTTPError)
        self.fault_all()
        again = self.harness.call('n2', self.body('early'), **key)
        self.assertEqual(again.status_code, 409)
        self.assertEqual(self.total_runs() - before, 1)

    def test_paused_entry_finishes_its_own_and_nobody_repeats_it(self) -> None:
        key = {'Idempotency-Key': 'entry-paused'}
        before = self.total_runs()
        body = self.body('paused entry', max_tokens=60)
        seconds: list[Answer] = []

        def pause(leader: str) -> None:
            self.harness.processes['n1'].send(signal.SIGSTOP)
            seconds.append(call_stream(self.harness, 'n2', body, None, **key))
            self.harness.processes['n1'].send(signal.SIGCONT)

        answer = self.stream_with(pause, 'paused entry', 60, **key)
        self.assertEqual((seconds[0].status, seconds[0].outcome), (409, 'unknown'))
        self.assertTrue(answer.whole, answer)
        self.assertEqual(answer.text, expect_tokens('paused entry', 60))
        self.assertEqual(self.total_runs() - before, 1)

    def test_plain_service_call_that_hangs_is_unknown_and_runs_once(self) -> None:
        self.harness.set_fault('service', hang=True)
        headers = {
            'Authorization': f'Bearer {CALLER_KEY}',
            'Idempotency-Key': 'svc-hang',
            'Prefer': 'wait=1',
        }
        before = sum(self.harness.stats('service')['ran'].values())
        url = '/services/stamp/approve'
        first = httpx.post(self.harness.entry('n1') + url, headers=headers, timeout=30)
        self.harness.set_fault('service')
        second = httpx.post(self.harness.entry('n2') + url, headers=headers, timeout=30)
        self.assertEqual((first.status_code, second.status_code), (504, 409))
        ran = sum(self.harness.stats('service')['ran'].values())
        self.assertEqual(ran - before, 1)

    def test_cut_service_answer_is_no_normal_end(self) -> None:
        self.harness.set_fault('service', cut=True)
        headers = {
            'Authorization': f'Bearer {CALLER_KEY}',
            'Idempotency-Key': 'svc-cut',
        }
        url = self.harness.entry('n1') + '/services/stamp/approve'
        with self.assertRaises(httpx.HTTPError):
            httpx.post(url, headers=headers, timeout=30)
        self.harness.set_fault('service')
        again = httpx.post(url, headers=headers, timeout=30)
        self.assertEqual(again.status_code, 409)
