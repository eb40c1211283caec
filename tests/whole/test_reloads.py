"""A node gets SIGHUP while it starts or stops."""

from __future__ import annotations

import signal
import socket

from tests.whole.silence_base import SilentInstancesCase


class ReloadTest(SilentInstancesCase):
    """SIGHUP tells of changed settings and never ends a node."""

    # Guards against streams that end as SIGHUP ends their node in its planned stop.
    def test_streams_outlast_sighup_in_the_planned_stop_of_their_node(self):
        node = self.running['n1']
        found = self.read_streams('/stream/x', 'stopped', lambda: self.stop(node))
        code = node.process.wait()
        node.start_again()
        self.wait_for(node.has_started_again, 'n1 listens')
        self.assert_all_whole(found)
        self.assertEqual(code, 0)

    def stop(self, node):
        """Stop a node, and send SIGHUP while its requests are under way."""
        before = len(node.read_events('node.draining'))
        node.process.send_signal(signal.SIGTERM)
        self.wait_for(
            lambda: len(node.read_events('node.draining')) > before, 'n1 stops'
        )
        node.process.send_signal(signal.SIGHUP)

    # Guards against nodes that SIGHUP ends before their settings are read.
    def test_sighup_while_a_node_starts_is_not_lost(self):
        node = self.running['n1']
        settings = node.output.with_suffix('.ini')
        port = node.ports['clients']
        text = settings.read_text()
        self.addCleanup(settings.write_text, text)
        fixed = text.replace('clients = 127.0.0.1:0', f'clients = 127.0.0.1:{port}')
        settings.write_text(fixed)
        node.process.kill()
        node.process.wait()
        read = len(node.read_events('node.settings_read'))
        node.start_again()
        self.wait_for(lambda: self.accepts(port), 'n1 accepts connections')
        self.assertFalse(node.has_started_again())
        node.process.send_signal(signal.SIGHUP)
        self.wait_for(
            lambda: node.has_started_again() or node.process.poll() is not None,
            'n1 listens or has ended',
        )
        self.assertIsNone(node.process.poll())
        self.wait_for(
            lambda: len(node.read_events('node.settings_read')) > read,
            'n1 has read its settings again',
        )

    def accepts(self, port):
        """Whether connections to a port are accepted."""
        try:
            socket.create_connection(('127.0.0.1', port)).close()
        except ConnectionRefusedError:
            return False
        return True
