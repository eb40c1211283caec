"""What a caller sees of each outcome, against a golden file."""

from __future__ import annotations

import json
import os
import re
from pathlib import Path
from typing import Any

import httpx

from standins.harness import CALLER_KEY
from tests.whole.base import GROUP, PATIENT, SystemCase

GOLDEN = Path(__file__).parent.parent / 'golden' / 'outcomes.txt'

#: Headers that are part of what callers are told.
SHOWN = (
    'content-type',
    'coursepitch-outcome',
    'idempotency-replayed',
    'retry-after',
    'x-should-retry',
)


class OutcomeTest(SystemCase):
    """One session with a request for each outcome."""

    nodes = {'n1': 'kurasini'}
    domains = {'fab-a': ('kurasini', 2)}
    replicas = 1
    settings = PATIENT
    maxDiff = None

    def send(self, title: str, body: Any, **headers: str) -> str:
        """Send a request and return what came, without what differs."""
        headers = {'Authorization': f'Bearer {CALLER_KEY}', **headers}
        url = f'{self.harness.entry("n1")}/v1/chat/completions'
        content = body if isinstance(body, str) else json.dumps(body)
        reply = httpx.post(url, content=content, headers=headers, timeout=60)
        lines = [f'== {title}', str(reply.status_code)]
        lines += [f'{n}: {reply.headers[n]}' for n in SHOWN if n in reply.headers]
        text = re.sub(r'\b[0-9a-f]{16}\b', 'REQUEST', reply.text)
        return '\n'.join([*lines, text.strip(), ''])

    def wait_serving(self) -> None:
        self.harness.wait_for(
            lambda: self.harness.call('n1', self.body()).status_code == 200, 'it serves'
        )

    def test_session(self) -> None:
        leader = self.leader(self.harness.replicas('n1', GROUP)[0])
        body = self.body('golden', max_tokens=2)
        stream = {**body, 'stream': True}
        key = {'Idempotency-Key': 'golden-1'}
        parts = [
            self.send('answered', body),
            self.send('answered, streamed', stream),
            self.send('answered under a key', body, **key),
            self.send('replayed', body, **key),
            self.send('not run: key with another body', stream, **key),
            self.send('not run: no such caller', body, Authorization='Bearer x'),
            self.send('not run: no such model', {**body, 'model': 'x'}),
            self.send('not run: malformed', '{"model": 1}'),
            self.send('not run: no key', body, **{'Coursepitch-Repeatable': '?0'}),
        ]
        self.harness.set_fault('kv', mode='down')
        key = {'Idempotency-Key': 'golden-2'}
        parts.append(self.send('not run: nothing can be recorded', body, **key))
        self.harness.set_fault('kv', mode='none')
        self.harness.set_fault(leader, no_end_mark=True)
        parts.append(self.send('unknown: no end mark', stream, **key))
        self.harness.set_fault(leader)
        parts.append(self.send('unknown: asked again', stream, **key))
        self.wait_serving()
        self.harness.set_fault(leader, hang='after_start')
        parts.append(self.send('unknown: deadline', body, Prefer='wait=1'))
        self.harness.set_fault(leader)
        text = '\n'.join(parts)
        if os.environ.get('COURSEPITCH_WRITE_GOLDEN'):
            GOLDEN.write_text(text, encoding='utf-8')
        self.assertEqual(text, GOLDEN.read_text(encoding='utf-8'))
