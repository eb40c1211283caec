"""The whole path through separate processes, by the usual client."""

from __future__ import annotations

import httpx
import openai

from standins.harness import CALLER_KEY
from tests.whole.base import GROUP, SystemCase


class PathTest(SystemCase):
    """Requests, refusals and replays on a healthy system."""

    def client(self, node: str, key: str = CALLER_KEY) -> openai.OpenAI:
        url = f'{self.harness.entry(node)}/v1'
        client = openai.OpenAI(base_url=url, api_key=key, max_retries=0)
        self.addCleanup(client.close)
        return client

    def test_openai_client_whole(self) -> None:
        answer = self.client('n1').chat.completions.create(
            model=GROUP, messages=[{'role': 'user', 'content': 'hi'}], max_tokens=5
        )
        self.assertEqual(len(answer.choices[0].message.content.split()), 5)

    def test_openai_client_stream(self) -> None:
        stream = self.client('n2').chat.completions.create(
            model=GROUP,
            messages=[{'role': 'user', 'content': 'hi'}],
            max_tokens=5,
            stream=True,
        )
        texts = [chunk.choices[0].delta.content or '' for chunk in stream]
        self.assertEqual(len(''.join(texts).split()), 5)

    def test_openai_client_completion(self) -> None:
        answer = self.client('n3').completions.create(
            model=GROUP, prompt='hi', max_tokens=4
        )
        self.assertEqual(len(answer.choices[0].text.split()), 4)

    def test_openai_client_models(self) -> None:
        models = [item.id for item in self.client('n1').models.list()]
        self.assertEqual(models, [GROUP])

    def test_openai_client_errors(self) -> None:
        with self.assertRaises(openai.AuthenticationError):
            self.client('n1', 'wrong').models.list()
        messages = [{'role': 'user', 'content': 'hi'}]
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client('n1').chat.completions.create(model='x', messages=messages)
        self.assertEqual(caught.exception.code, 'model_not_found')
        with self.assertRaises(openai.BadRequestError):
            self.client('n1').chat.completions.create(model=GROUP, messages=[])

    def test_service_streams_both_ways(self) -> None:
        headers = {'Authorization': f'Bearer {CALLER_KEY}', 'Idempotency-Key': 's1'}
        url = f'{self.harness.entry("n1")}/services/stamp/a/b'
        reply = httpx.put(url, content=b'x' * 100_000, headers=headers)
        self.assertEqual((reply.status_code, len(reply.content)), (200, 100_000))

    def test_service_keeps_escapes_and_each_cookie(self) -> None:
        headers = {'Authorization': f'Bearer {CALLER_KEY}', 'Idempotency-Key': 's2'}
        url = f'{self.harness.entry("n1")}/services/stamp/a%2Fb/c%20d'
        reply = httpx.get(url, headers=headers)
        self.assertEqual(reply.text, '/a%2Fb/c%20d')
        self.assertEqual(len(reply.headers.get_list('set-cookie')), 2)

    def test_not_repeatable_needs_a_key(self) -> None:
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        url = f'{self.harness.entry("n1")}/services/stamp/a'
        reply = httpx.post(url, headers=headers)
        self.assertEqual(reply.status_code, 400)
        self.assertIn('Idempotency-Key', reply.json()['error']['message'])
        self.assertEqual(reply.headers['coursepitch-outcome'], 'not-run')
