"""Bad input, limits, TLS and the command line on running processes."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import ssl
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import httpx
import trustme

from standins.harness import CALLER_KEY, OPERATOR_KEY, Harness
from tests.whole.base import GROUP, PATIENT, SystemCase, hash_key
from tests.whole.calls import in_background


class InputTest(SystemCase):
    """Requests that are oversized, malformed, slow or smuggled."""

    nodes = {'n1': 'kurasini'}
    domains = {'fab-a': ('kurasini', 2)}
    replicas = 1
    settings = {
        'entry': {
            'body_limit': '4096',
            'body_timeout_s': '1',
            'header_limit': '4096',
            'idle_timeout_s': '1',
        }
    }

    def raw(self, data: bytes) -> bytes:
        """Send bytes and return all that comes until the other side closes."""
        host, port = self.harness.entry('n1').removeprefix('http://').split(':')
        with socket.create_connection((host, int(port)), timeout=30) as sock:
            sock.sendall(data)
            parts = []
            with contextlib.suppress(ConnectionResetError):
                while part := sock.recv(65536):
                    parts.append(part)
        return b''.join(parts)

    def head(self, *lines: str) -> bytes:
        first = [
            'POST /v1/chat/completions HTTP/1.1',
            'Host: x',
            f'Authorization: Bearer {CALLER_KEY}',
            'Connection: close',
        ]
        return '\r\n'.join([*first, *lines, '', '']).encode()

    def assert_status(self, reply: bytes, *statuses: int) -> None:
        self.assertTrue(reply.startswith(b'HTTP/1.1 '), reply[:80])
        self.assertIn(int(reply.split()[1]), statuses, reply[:300])

    def test_oversized_bodies(self) -> None:
        declared = self.raw(self.head('Content-Length: 99999'))
        self.assert_status(declared, 413)
        chunk = b'1000\r\n' + b'x' * 4096 + b'\r\n'
        flowing = self.raw(
            self.head('Transfer-Encoding: chunked') + chunk * 2 + b'0\r\n\r\n'
        )
        self.assert_status(flowing, 413)

    def test_oversized_head(self) -> None:
        self.assert_status(self.raw(self.head('X-Long: ' + 'x' * 9000)), 400, 431)

    def test_malformed_json_names_the_place(self) -> None:
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        url = f'{self.harness.entry("n1")}/v1/chat/completions'
        for body, place in (
            ('{', 'body'),
            ('[]', 'body'),
            ('{"model": 1}', 'model'),
            ('{"model": "m", "messages": [1]}', 'messages[0]'),
            (
                '{"model": "m", "messages": [{"role": "u"}], "max_tokens": 0}',
                'max_tokens',
            ),
        ):
            reply = httpx.post(url, content=body, headers=headers)
            self.assertEqual(reply.status_code, 400)
            self.assertIn(place, reply.json()['error']['message'])

    def test_dribbled_body_is_given_up(self) -> None:
        reply = self.raw(self.head('Content-Length: 100') + b'{')
        self.assert_status(reply, 400)
        self.assertIn(b'did not arrive', reply)

    def test_dribbled_head_is_closed(self) -> None:
        self.raw(b'POST /v1/chat/completions HTTP/1.1\r\nHost')

    def test_smuggled_requests_are_refused(self) -> None:
        inner = b'0\r\n\r\nGET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n'
        both = self.head('Content-Length: 5', 'Transfer-Encoding: chunked')
        twice = self.head('Content-Length: 5', 'Content-Length: 6')
        odd = self.head('Transfer-Encoding: xchunked')
        bad = self.head('Transfer-Encoding : chunked')
        for data in (both, twice, odd, bad):
            reply = self.raw(data + inner)
            self.assert_status(reply, 400, 501)
            self.assertEqual(reply.count(b'HTTP/1.1 '), 1, reply)

    def test_keys_and_prompts_are_not_logged(self) -> None:
        self.harness.call('n1', self.body('a very secret prompt'))
        log = (self.harness.folder / 'n1.log').read_text()
        for secret in (CALLER_KEY, OPERATOR_KEY, 'a very secret prompt', 'demo-peers'):
            self.assertNotIn(secret, log)

    def test_unknown_and_forbidden_models_look_the_same(self) -> None:
        harness = self.harness
        harness.apply('n1', 'customer', 'other')
        key = hash_key('other-key')
        harness.apply('n1', 'caller', 'o', customer='other', key_sha256=key)
        url = f'{harness.entry("n1")}/v1/chat/completions'
        headers = {'Authorization': 'Bearer other-key'}
        answers = []
        for model in (GROUP, 'no-such-model'):
            body = {**self.body(), 'model': model}
            error = httpx.post(url, json=body, headers=headers).json()['error']
            error.pop('request')
            answers.append(error)
        self.assertEqual(answers[0], answers[1])
        models = httpx.get(f'{harness.entry("n1")}/v1/models', headers=headers)
        self.assertEqual(models.json()['data'], [])


class LimitTest(SystemCase):
    """Limits of a customer over all nodes, and the queue."""

    domains = {'fab-a': ('kurasini', 2)}
    replicas = 1
    engine = {'token_s': 0.005}
    settings = {
        **PATIENT,
        'entry': {'queue_limit': '4', 'queue_wait_s': '20'},
        'routing': {'replica_limit': '2'},
    }

    def test_limit_holds_over_all_entries_within_its_bound(self) -> None:
        self.harness.apply('n1', 'customer', 'slow', requests_per_s=0.001, burst=6)
        key = hash_key('slow-key')
        self.harness.apply('n1', 'caller', 's', customer='slow', key_sha256=key)
        spec = self.harness.operate('n1', 'GET', f'group/{GROUP}').json()['spec']
        spec['customers'] = ['dar', 'slow']
        self.harness.apply('n1', 'group', GROUP, **spec)
        self.harness.wait_converged('n1', 'group', GROUP)
        codes = []
        for _ in range(10):
            for node in self.nodes:
                url = f'{self.harness.entry(node)}/v1/chat/completions'
                headers = {'Authorization': 'Bearer slow-key'}
                reply = httpx.post(url, json=self.body(), headers=headers)
                codes.append(reply.status_code)
                if reply.status_code == 429:
                    self.assertIn('retry-after', reply.headers)
        # Burst of 6 by shares that add up to at most 1.8 while demand spreads,
        # and at least one request on each of the three nodes.
        self.assertLessEqual(codes.count(200), 6 * 1.8 + 3)
        self.assertGreaterEqual(codes.count(200), 3)
        self.assertEqual(set(codes), {200, 429})

    def fill_queue(self) -> None:
        """Send more requests than the queue holds; check how the others are refused."""
        body = self.body('fill', max_tokens=60)
        calls = [
            in_background(lambda: self.harness.call('n1', body)) for _ in range(20)
        ]
        replies = [call.result(90) for call in calls]
        codes = [reply.status_code for reply in replies]
        self.assertEqual(set(codes), {200, 503})
        for reply in replies:
            if reply.status_code == 503:
                error = reply.json()['error']
                self.assertEqual(error['code'], 'overloaded', error)
                self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
                self.assertIn('retry-after', reply.headers)

    def test_full_queue_gives_up_at_once_and_says_when_to_come_back(self) -> None:
        self.fill_queue()

    # Guards against engines that stand still and are taken for a cut path.
    def test_full_queue_gives_up_at_once_while_all_engines_are_silent(self) -> None:
        log = self.harness.folder / 'n1.log'
        known = log.read_text().count('"engines.silent"')
        for item in self.harness.instances:
            self.harness.set_fault(item['id'], still_s=6.0)
        self.harness.wait_for(
            lambda: log.read_text().count('"engines.silent"') > known,
            'no engine answers the node',
        )
        self.fill_queue()


class TlsTest(unittest.TestCase):
    """TLS for callers and operators."""

    def test_certificate_of_the_settings_is_served(self) -> None:
        harness = Harness()
        self.addCleanup(harness.close)
        authority = trustme.CA()
        issued = authority.issue_cert('127.0.0.1')
        chain, key = harness.folder / 'cert.pem', harness.folder / 'key.pem'
        issued.private_key_pem.write_to_path(str(key))
        for blob in issued.cert_chain_pems:
            blob.write_to_path(str(chain), append=True)
        tls = {'tls_certificate': str(chain), 'tls_key': str(key)}
        harness.settings = {'entry': tls, 'admin': tls}
        harness.start_platform({'fab-a': ('kurasini', 1)})
        harness.start_node('n1', 'kurasini')
        context = ssl.create_default_context()
        authority.configure_trust(context)
        with httpx.Client(verify=context) as client:
            entry = harness.entry('n1').replace('http:', 'https:')

            def serves() -> bool:
                return client.get(f'{entry}/readyz').status_code == 200

            harness.wait_for(serves, 'the entry serves over TLS')
            admin = harness.admin('n1').replace('http:', 'https:')
            self.assertEqual(client.get(f'{admin}/healthz').status_code, 200)
        with self.assertRaises(httpx.ConnectError):
            httpx.get(f'{entry}/readyz')


class CommandTest(SystemCase):
    """The command line against a node, and with no system running."""

    nodes = {'n1': 'kurasini'}
    domains = {'fab-a': ('kurasini', 2)}
    replicas = 1

    def command(self, *arguments: str) -> tuple[int, str, str]:
        environment = {
            **os.environ,
            'COURSEPITCH_ADMIN': self.harness.admin('n1'),
            'COURSEPITCH_KEY': OPERATOR_KEY,
        }
        done = subprocess.run(
            [sys.executable, '-m', 'coursepitch.cmd.main', *arguments],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        return done.returncode, done.stdout, done.stderr

    def test_get_status_plan_and_watch(self) -> None:
        code, out, _ = self.command('get', 'group', GROUP)
        self.assertEqual((code, json.loads(out)['name']), (0, GROUP))
        code, out, _ = self.command('status')
        self.assertEqual(code, 0)
        self.assertIn('Available: yes', out)
        with tempfile.TemporaryDirectory() as folder:
            state = str(Path(folder) / 'state.json')
            code, live, _ = self.command('plan', '--record', state)
            self.assertEqual(code, 0)
            code, again, _ = self.command('plan', state)
            self.assertEqual((code, again), (0, live))
        code, out, _ = self.command('watch', '--after', '1', '--count', '1')
        self.assertEqual((code, json.loads(out)['revision']), (0, 2))

    def test_conflict_shows_what_is_there(self) -> None:
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
            file.write('[customer dar]\nburst = 3\n')
            file.flush()
            code, _, err = self.command('apply', '--resource-version', '1', file.name)
        self.assertEqual(code, 1)
        self.assertIn('409', err)
        self.assertIn('"burst": 1000', err)

    def test_check_reports_every_finding_and_exits_with_2(self) -> None:
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
            file.write('[group a]\nmodel = m\nreplicas = many\n')
            file.flush()
            code, _, err = self.command('check', file.name)
        self.assertEqual(code, 2)
        self.assertEqual(len(err.strip().splitlines()), 2, err)
        self.assertIn(':3: [group a] replicas: not a whole number', err)

    def test_node_with_bad_settings_exits_with_2(self) -> None:
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
            file.write('[node]\nname = x\n')
            file.flush()
            code, _, err = self.command('node', file.name)
        self.assertEqual(code, 2)
        self.assertIn('[peers] key: missing', err)

    def test_metrics_carry_downtime_and_stranded_accelerators(self) -> None:
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        url = f'{self.harness.admin("n1")}/metrics'

        def has_both() -> bool:
            text = httpx.get(url, headers=headers).text
            return (
                'coursepitch_group_downtime_seconds_total{' in text
                and 'coursepitch_stranded_accelerators' in text
            )

        self.harness.wait_for(has_both, 'both measures are shown')
