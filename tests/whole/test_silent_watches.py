"""Draining instances, while the connections of watches to the store are silent."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.whole.platform_base import PlatformCase

#: Time in seconds after which a draining instance may get no request.
DRAIN_S = 2.0

#: Seconds for which requests are sent after that time.
MORE_S = 1.0


class SilentWatchTest(PlatformCase):
    """One node, which no peer tells of changes."""

    nodes = ('n1',)

    def keep_sending(self, stop):
        """Send calls until an event is set."""
        number = 0
        while not stop.is_set():
            self.send('n1', 'GET', '/again/x', f'{id(stop)}-{number}')
            number += 1

    def count_confirmations(self):
        """Return how often the node has asked whether its configuration is in force."""
        stats = self.client.get(f'http://127.0.0.1:{self.store}/stats').json()
        return stats['calls'].get('swap', 0)

    def wait_for_confirmation(self):
        """Wait until the next one, after which it takes longest until another."""
        before = self.count_confirmations()
        self.wait_for(lambda: self.count_confirmations() > before, 'it asks again')

    def find_late(self, name, drained_at):
        """Return when an instance got requests that came too late, in seconds."""
        visits = self.stats('api')[name]['visits']
        since = [visit['at'] - drained_at for visit in visits]
        return [after for after in since if after > DRAIN_S]

    # Guards against draining instances that get requests as a watch is silent.
    def test_draining_instance_gets_no_request_after_its_time(self):
        names = sorted(self.stats('api'))
        for name in names[:2]:
            stop = threading.Event()
            with ThreadPoolExecutor(1) as pool:
                sending = pool.submit(self.keep_sending, stop)
                url = f'http://127.0.0.1:{self.store}/silence'
                self.client.post(url).raise_for_status()
                self.wait_for_confirmation()
                self.control('api', '/drain', instances=[name])
                drained_at = time.monotonic()
                stop.wait(DRAIN_S + MORE_S)
                stop.set()
                sending.result()
            self.assertEqual(self.find_late(name, drained_at), [])
