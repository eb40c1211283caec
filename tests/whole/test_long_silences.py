"""Groups and paths of nodes while instances stand still for long, and go on later."""

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


class LongSilenceOfOneHeadTest(SilentInstancesCase):
    """One head stands still for longer than a silent instance is kept.

    Streams end with the group of their instance, as on the users' platform.
    """

    def setUp(self):
        """Let streams depend on all members of their groups."""
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        super().setUp()
        self.control('pool', '/fault', mode='grouped')

    def check(self, path, *, is_ended):
        """Check that streams are whole, and whether the group is ended meanwhile."""
        head = self.find_heads()[0]
        seconds = SILENCE_GRACE_S + 0.9
        name = f'one{path[1:7]}'
        ended = self.count_ended()
        found = self.read_streams(path, name, lambda: self.pause([head], seconds))
        ran = {run['request'] for run in self.stats('pool')[head]['runs']}
        self.assertTrue(ran & set(found), 'no stream was at the head')
        if is_ended:
            self.wait_for(lambda: self.count_ended() > ended, 'the group is ended')
        else:
            self.assertEqual(self.count_ended(), ended)
        self.assert_all_whole(found)

    def count_ended(self):
        """Return how many groups were ended."""
        return sum(
            len(node.read_events('group.retired')) for node in self.running.values()
        )

    # Guards against streams that are lost with a group that is ended for its silence.
    def test_streams_outlast_a_long_silence_of_one_head(self):
        self.check('/stream/l', is_ended=True)

    # Guards against a group that is ended while streams wait for it, and cannot go on
    # elsewhere.
    def test_streams_that_must_not_be_resumed_outlast_a_long_silence_of_one_head(self):
        self.check('/single/l', is_ended=False)
