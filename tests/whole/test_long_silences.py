"""Groups and paths of nodes while all instances stand still, and go on later."""

from __future__ import annotations

from coursepitch.fleet.groups import SILENCE_GRACE_S
from tests.whole.test_silent_instances import SilentInstancesCase


class LongSilenceTest(SilentInstancesCase):
    """All instances stand still for longer than one silent instance is kept."""

    def read_events(self, name):
        """Return the events of a name that all nodes logged."""
        return [
            event for node in self.running.values() for event in node.read_events(name)
        ]

    # Guards against groups being ended because all instances are silent.
    def test_groups_and_streams_outlast_a_silence_of_all_instances(self):
        seconds = SILENCE_GRACE_S + 0.9
        found = self.read_streams('/stream/l', 'long', lambda: self.pause([], seconds))
        self.assertEqual(self.read_events('group.retired'), [])
        self.assertEqual(self.read_events('paths.lost'), [])
        self.assert_all_whole(found)
