"""A request whose instance is silent until the time of a planned stop is over."""

from __future__ import annotations

import concurrent.futures
import signal
import unittest

from tests.whole.platform_base import PlatformCase


class EndOfStopTest(PlatformCase):
    """A node that stops in two seconds."""

    nodes = ('n1',)

    def setUp(self):
        node = self.running['n1']
        node.process.kill()
        node.process.wait()
        path = node.output.with_suffix('.ini')
        path.write_text(path.read_text().replace('stop_s = 8', 'stop_s = 2'))
        node.start_again()
        self.wait_for(node.has_started_again, 'the node listens')
        self.wait_for(lambda: self.serves('n1'), 'the node serves')

    def test_request_is_answered_before_the_node_ends(self):
        self.control('api', '/fault', mode='mute')
        self.addCleanup(self.control, 'api', '/fault', mode='none')
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.send, 'n1', 'POST', '/once/x', 'silent')
            self.wait_for(lambda: self.find_runs('silent'), 'it runs')
            self.running['n1'].process.send_signal(signal.SIGTERM)
            self.assertEqual(waiting.result().status_code, 502)


if __name__ == '__main__':
    unittest.main()
