"""Claims and loads as the leader turns plans into them."""

from __future__ import annotations

import unittest

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.ledger import LoadLimiter, OrderLedger
from coursepitch.fleet.placer import REST_S, Placer, Scene
from tests.fleet.builders import (
    SERVICE,
    build_engine,
    build_instance,
    build_service,
    build_view,
)

PAIRS = ('g1', 'g2', 'g3', 'g4', 'g5')


class ExchangeTest(unittest.TestCase):
    """Groups end for another model only while nothing comes or goes."""

    def setUp(self):
        self.placer = Placer(OrderLedger(), LoadLimiter())
        self.instances = []
        self.claims = []
        for group in PAIRS:
            names = (f'{group}-0', f'{group}-1')
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                fields = {'models': frozenset({'small'}), 'rank': rank}
                fields['staged'] = frozenset({'large'})
                item = build_instance(name, 'd0', state, group, 1, **fields)
                self.instances.append(item)
            self.claims.append(GroupClaim(group, 1, SERVICE, 'd0', 'small', names))

    def choose(self, now):
        """Return the exchange chosen while the larger model has no group."""
        view = build_view(self.instances, self.claims)
        scene = Scene(
            view,
            build_service(),
            build_engine(),
            self.claims,
            [],
            {'d0': []},
            {'large': 100.0, 'small': 20.0},
            now,
            early=False,
            settled=True,
            reserved={},
        )
        return self.placer.choose_conversion(scene)

    def test_exchange_waits_until_nothing_came_or_went_for_a_while(self):
        self.assertIsNone(self.choose(100.0))
        self.assertIsNone(self.choose(100.0 + REST_S * 0.9))
        self.assertEqual(self.choose(100.0 + REST_S * 1.1).model, 'large')

    def test_instance_that_goes_starts_the_wait_anew(self):
        self.choose(100.0)
        self.instances.append(build_instance('late', 'd1'))
        self.assertIsNone(self.choose(101.0))
        self.instances.pop()
        self.assertIsNone(self.choose(101.0 + REST_S * 0.9))
        self.assertIsNotNone(self.choose(101.0 + REST_S * 2))


if __name__ == '__main__':
    unittest.main()
