"""Base of tests in which clients of each node send one request after the other."""

from __future__ import annotations

import threading
import time

from tests.whole.platform_base import PlatformCase

#: Seconds between two requests of one client.
PAUSE_S = 0.05


class SteadyClientsCase(PlatformCase):
    """Four nodes before three plain instances and groups of two."""

    nodes = ('n1', 'n2', 'n3', 'n4')
    events = 3

    def send_for(self, seconds, method, path, clients=1):
        """Let clients of each node send one request after the other.

        Return the answers, each with the seconds that it took.
        """
        self.began_at = time.monotonic()
        until = self.began_at + seconds
        replies = []

        def send(node, client):
            count = 0
            while time.monotonic() < until:
                count += 1
                began = time.monotonic()
                request = f'{node}-{client}-{began}-{count}'
                reply = self.send(node, method, path, request)
                replies.append((reply, time.monotonic() - began))
                self.pause.wait(PAUSE_S)

        threads = [
            threading.Thread(target=send, args=(node, client))
            for node in self.nodes
            for client in range(clients)
        ]
        self.pause = threading.Event()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return replies

    def find_heads(self):
        """Return the heads of open groups once there are two and all nodes know.

        The members of a group are told before its entry says that it is open.
        """
        heads = super().find_heads()
        if heads is None:
            return None
        return heads if all(map(self.knows_two_groups, self.nodes)) else None

    def knows_two_groups(self, node):
        """Whether a stream on a node had two groups to choose from."""
        if not self.serves(node):
            return False
        return self.running[node].read_events('request.sent')[-1]['choices'] > 1
