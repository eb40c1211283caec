"""Streams that clients continue, and what instances get of that."""

from __future__ import annotations

from tests.whole.test_broken_off import WHOLE, BrokenOffCase, read_ids

#: Last event that a client has got before it continues its stream.
GOT = 3


class ContinuedStreamTest(BrokenOffCase):
    """Each instance gets the last event id that the client sent, and no other."""

    nodes = ('n1',)

    @classmethod
    def setUpClass(cls):
        """Wait until there are groups as well."""
        super().setUpClass()
        cls.wait_for(cls.find_heads, 'two groups are open')

    def continue_stream(self, path, request, last_event=str(GOT)):
        """Continue a stream; return the response."""
        headers = {'Last-Event-Id': last_event}
        return self.send('n1', 'POST', path, request, headers=headers)

    def read_last_events(self, request):
        """Return the ids that instances got, one for each run."""
        return [run['headers'].get('last-event-id') for run in self.find_runs(request)]

    # Guards against events that come twice, as a plain service begins a stream anew.
    def test_stream_goes_on_after_the_last_event_of_its_client(self):
        for path in ('/events/x', '/stream/x', '/single/x'):
            with self.subTest(path=path):
                request = f'on-{path}'
                reply = self.continue_stream(path, request)
                self.assertEqual(reply.status_code, 200)
                self.assertEqual(read_ids(reply.text), WHOLE[GOT:])
                self.assertEqual(self.read_last_events(request), [str(GOT)])

    # Guards against a second run that begins anew, or that gets two ids.
    def test_second_run_goes_on_after_the_last_event_as_well(self):
        self.break_off([], 'api', framing='chunks', place='first')
        self.continue_stream('/events/x', 'second')
        self.assertEqual(self.read_last_events('second'), [str(GOT)] * 2)

    # Guards against routes without streams that lose a header of the client.
    def test_other_requests_keep_the_header(self):
        for path in ('/again/x', '/once/x'):
            for last_event in ('8', '0', 'a b', 'x' * 200):
                with self.subTest(path=path, last_event=last_event):
                    request = f'{path}-{last_event[:3]}'
                    self.continue_stream(path, request, last_event)
                    self.assertEqual(self.read_last_events(request), [last_event])
