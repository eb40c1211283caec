"""Instances whose answers have a status that is none."""

from __future__ import annotations

from standins.exchange import FRAMINGS
from tests.whole.test_broken_off import WHOLE, BrokenOffCase

#: Values that are no status code; from 600 on, the parser takes them for one.
CODES = ('000', '099', '600 X', '999', '20', '2000')

#: Calls that are sent while one of three instances is at fault.
CALLS = 6


class InvalidStatusTest(BrokenOffCase):
    """An answer with an invalid status never reaches a client."""

    nodes = ('n1',)

    @classmethod
    def setUpClass(cls):
        """Wait until there are groups as well."""
        super().setUpClass()
        cls.wait_for(cls.find_heads, 'two groups are open')

    def answer_with(self, service, code, instances=(), **fault):
        """Let only these instances of a service answer with a status; none: all."""
        self.control(service, '/fault', mode='none')
        self.addCleanup(self.control, service, '/fault', mode='none')
        fields = {'code': code, 'instances': list(instances), **fault}
        self.control(service, '/fault', mode='status', **fields)

    # Guards against a status such as 600 that clients get as an instance's answer.
    def test_answer_of_instances_that_are_all_at_fault_is_a_502(self):
        for code in CODES:
            for framing in FRAMINGS:
                for path in ('/again/x', '/once/x', '/events/x'):
                    with self.subTest(code=code, framing=framing, path=path):
                        self.answer_with('api', code, framing=framing)
                        request = f'{code[:3]}-{framing}-{path}'
                        reply = self.send('n1', 'POST', path, request)
                        self.assertEqual(reply.status_code, 502)
                        self.assertNotIn('x-replica-signature', reply.headers)

    # Guards against a request that is not tried elsewhere after such an answer.
    def test_request_that_may_be_repeated_is_answered_by_another_instance(self):
        (sick, *_) = sorted(self.stats('api'))
        for code in CODES:
            self.answer_with('api', code, [sick])
            for number in range(CALLS):
                with self.subTest(code=code, number=number):
                    request = f'one-{code[:3]}-{number}'
                    reply = self.send('n1', 'GET', '/again/x', request)
                    self.assertEqual(reply.status_code, 200)

    def test_stream_is_served_by_another_group_or_fails(self):
        heads = self.find_heads()
        for code in CODES:
            self.answer_with('pool', code, heads[:1])
            with self.subTest(code=code):
                found = self.read_stream('/stream/x', f'stream-{code[:3]}')
                self.assertEqual(found, (WHOLE, True))
            self.answer_with('pool', code, heads)
            for path in ('/stream/x', '/single/x'):
                with self.subTest(code=code, path=path):
                    reply = self.send('n1', 'POST', path, f'all-{code[:3]}-{path}')
                    self.assertEqual(reply.status_code, 502)
