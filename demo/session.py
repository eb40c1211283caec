"""Run the main job on a small system and show one failure and its repair."""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import httpx

from standins.harness import CALLER_KEY, OPERATOR_KEY, Harness, HarnessError

HERE = Path(__file__).parent
GROUP = 'release-notes'
ZONES = {'node-1': 'kurasini', 'node-2': 'mikocheni', 'node-3': 'ubungo'}
DOMAINS = {'fabric-a': ('kurasini', 5), 'fabric-b': ('mikocheni', 5)}
PROMPT = 'Draft release notes for meter firmware 4.2'
FIRST_PORT = {'entry': 8101, 'admin': 8201, 'peers': 8301}


def main() -> int:
    """Run the session; a failure names its step and gives exit code 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--stay', action='store_true', help='stay up until Ctrl-C')
    parser.add_argument('--folder', type=Path, help='where settings and logs go')
    options = parser.parse_args()
    harness = Harness(options.folder)
    session = Session(harness)
    # A plain termination ends the started processes as Ctrl-C does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        if options.stay:
            session.stay()
        else:
            session.run()
    except KeyboardInterrupt:
        session.stop()
    except (HarnessError, httpx.HTTPError, OSError, KeyError, ValueError) as error:
        print(f'FAILED at step "{session.step}": {error}', file=sys.stderr)
        print(harness.summarize_nodes(), file=sys.stderr)
        return 1
    finally:
        harness.close()
    return 0


class Session:
    """The steps of the demonstration."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.step = 'start'

    def begin(self, step: str) -> None:
        """Name the step that begins."""
        self.step = step
        print(f'== {step}', flush=True)

    def run(self) -> None:
        """Run all steps in order."""
        self.start(fixed_ports=False)
        self.apply()
        self.ask()
        self.call_service()
        self.kill_member()
        self.show_timeline()
        self.stop()

    def stay(self) -> None:
        """Start the same system on fixed ports and keep it up."""
        self.start(fixed_ports=True)
        self.apply()
        print(f'caller key {CALLER_KEY}, operator key {OPERATOR_KEY}, model {GROUP}')
        for name in ZONES:
            print(f'{name}: entry {self.harness.entry(name)}', end=' ')
            print(f'admin {self.harness.admin(name)}')
        print(f'logs in {self.harness.folder}; Ctrl-C ends it', flush=True)
        while True:
            time.sleep(3600)

    def start(self, *, fixed_ports: bool) -> None:
        """Start the stand-ins and three nodes."""
        self.begin('start the platform, ten engines, one service, three nodes')
        self.harness.start_platform(DOMAINS)
        self.service = self.harness.start_service('service')
        for place, (name, zone) in enumerate(ZONES.items()):
            ports = {key: port + place for key, port in FIRST_PORT.items()}
            self.harness.start_node(name, zone, **(ports if fixed_ports else {}))
        for name in ZONES:
            self.harness.wait_for(
                lambda name=name: self.harness.is_ready(name), f'{name} serves'
            )
            print(f'{name} serves')

    def command(self, node: str, *arguments: str) -> str:
        """Run the command line against a node and return what it prints."""
        environment = {
            **os.environ,
            'COURSEPITCH_ADMIN': self.harness.admin(node),
            'COURSEPITCH_KEY': OPERATOR_KEY,
        }
        done = subprocess.run(
            [sys.executable, '-m', 'coursepitch.cmd.main', *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode:
            raise HarnessError(f'coursepitch {arguments[0]}: {done.stderr}')
        return done.stdout

    def apply(self) -> None:
        """Apply the resources and wait until they hold."""
        self.begin('apply the resources and wait for convergence')
        path = self.harness.folder / 'services.ini'
        path.write_text(
            '[service stamp]\n'
            f'addresses = {self.service}\ncustomers = dar\nrepeatable = no\n'
        )
        files = [str(HERE / 'customers.ini'), str(HERE / 'groups.ini'), str(path)]
        print(self.command('node-1', 'apply', '--wait', '40', *files), end='')

    def ask(self) -> None:
        """Send a streamed chat request and print the answer as it comes."""
        self.begin('a streamed request through node-2')
        body = {
            'model': GROUP,
            'messages': [{'role': 'user', 'content': PROMPT}],
            'stream': True,
            'max_tokens': 12,
        }
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        url = f'{self.harness.entry("node-2")}/v1/chat/completions'
        whole = False
        with self.harness.client.stream(
            'POST', url, json=body, headers=headers
        ) as reply:
            for line in reply.iter_lines():
                data = line.removeprefix('data: ')
                whole = whole or data == '[DONE]'
                if line and not whole:
                    delta = json.loads(data)['choices'][0]['delta']
                    print(delta.get('content', ''), end='', flush=True)
        print()
        if not whole:
            raise HarnessError('the answer has no end mark')

    def call_service(self) -> None:
        """Call the plain service, which must not run a call twice."""
        self.begin('a call to the plain service through node-3, twice by one key')
        headers = {
            'Authorization': f'Bearer {CALLER_KEY}',
            'Idempotency-Key': 'approval-1',
        }
        url = f'{self.harness.entry("node-3")}/services/stamp/approve'
        for _ in range(2):
            reply = self.harness.client.post(url, content='image 7', headers=headers)
            replayed = reply.headers.get('idempotency-replayed', 'false')
            print(f'{reply.status_code} {reply.text} (replayed {replayed})')
        ran = sum(self.harness.stats('service')['ran'].values())
        print(f'the service ran {ran} call')
        if ran != 1:
            raise HarnessError(f'the service ran {ran} calls')

    def kill_member(self) -> None:
        """Kill an instance; its replica leaves service and a whole one comes."""
        self.begin('kill one instance of a replica')
        before = self._serving()
        victim = self.harness.replicas('node-1', GROUP)[0]
        self.broken = victim['name']
        self.harness.processes[victim['instances'][2]].kill()

        def is_out() -> bool:
            return self.broken not in self._serving()

        def is_whole() -> bool:
            serving = self._serving()
            return len(serving) == 2 and bool(serving - before)

        self.harness.wait_for(is_out, 'the broken replica is out of service')
        print('the broken replica is out of service')
        self.harness.wait_for(is_whole, 'two whole replicas serve')
        print('two whole replicas serve')
        new = sorted(self._serving() - before)
        if len(new) > 1:
            raise HarnessError(f'more than one replica was replaced: by {new}')
        (self.new,) = new

    def _serving(self) -> set[str]:
        found = self.harness.replicas('node-1', GROUP)
        return {item['name'] for item in found if item['serving']}

    def show_timeline(self) -> None:
        """Print the time line of the failure, and write it as a page."""
        self.begin('the time line of the failure')
        logs = [str(self.harness.folder / f'{name}.log') for name in ZONES]
        for name in (self.broken, self.new):
            text = self.command('node-1', 'timeline', '--only', name, *logs)
            for line in text.splitlines():
                if 'replica.moved' in line or 'replica.claimed' in line:
                    print(line)
        page = self.harness.folder / 'timeline.html'
        self.command('node-1', 'timeline', '--html', str(page), *logs)
        print(f'page of {page.stat().st_size > 1000 and "all"} events written')

    def stop(self) -> None:
        """Stop the nodes in order."""
        self.begin('stop the nodes in order')
        for name in ZONES:
            if name in self.harness.processes:
                code = self.harness.stop_node(name)
                print(f'{name} ended with code {code}')
                if code:
                    print(self.harness.summarize_nodes(), file=sys.stderr)


if __name__ == '__main__':
    sys.exit(main())
