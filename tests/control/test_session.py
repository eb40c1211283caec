"""Test that a node is live only while its entry exists under its lease."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.config.settings import PlatformSettings
from coursepitch.control.session import LIVE_PREFIX, Session
from coursepitch.platform.kv import Conflict, Entry, Swapped, Unavailable


class FakeKeyValue:
    """Grants leases and stores entries; fails the given number of writes."""

    def __init__(self, failing):
        self.failing = failing
        self.entries = {}
        self.granted = 0

    async def grant(self, ttl_s):
        self.granted += 1
        return str(self.granted)

    async def renew(self, lease):
        return True

    async def get(self, key, wait_s=0.0):
        return self.entries.get(key, Entry(key))

    async def swap(self, key, value, expect, lease=''):
        if self.failing:
            self.failing -= 1
            return Unavailable('no answer in time')
        held = self.entries.get(key, Entry(key))
        if held.revision != expect:
            return Conflict(held)
        self.entries[key] = Entry(key, value, held.revision + 1)
        return Swapped(held.revision + 1)


class LiveEntryTest(unittest.TestCase):
    """Test that a failed write of the live entry is retried.

    Guards against a node that got a lease but no answer to the write of its entry.
    It kept renewing the lease and counted as dead on all other nodes permanently, so
    nobody took the duties that ranked it first.
    """

    def keep_lease(self, failing, rounds):
        """Run some rounds of lease renewal; return the store and the lease."""
        kv = FakeKeyValue(failing)
        platform = PlatformSettings(key_value_url='-', instance_list_url='-')
        session = Session('n1', kv, platform, lambda: 100.0)

        async def run():
            for _ in range(rounds):
                lease = session.view.value.lease
                if lease.name:
                    await session._renew_lease(lease)
                else:
                    await session._grant_lease()

        anyio.run(run)
        return kv, session.view.value.lease

    def test_entry_is_written_after_a_failure(self):
        kv, lease = self.keep_lease(failing=2, rounds=4)
        self.assertEqual(kv.entries[LIVE_PREFIX + 'n1'].value, lease.name)
        self.assertEqual(kv.granted, 3)

    def test_lease_without_an_entry_is_discarded(self):
        _, lease = self.keep_lease(failing=9, rounds=1)
        self.assertEqual(lease.name, '')

    def test_one_lease_suffices_without_failures(self):
        kv, lease = self.keep_lease(failing=0, rounds=3)
        self.assertEqual((kv.granted, lease.name), (1, '1'))


if __name__ == '__main__':
    unittest.main()
