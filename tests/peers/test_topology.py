"""Links between the nodes that are left when others are gone."""

from __future__ import annotations

import itertools
import unittest

from coursepitch.peers.topology import choose_links, choose_peers


def is_connected(links: dict[str, frozenset[str]]) -> bool:
    """Whether links, each in both directions, join all nodes."""
    names = set(links)
    reached, found = set(), {min(names)}
    while found:
        reached |= found
        found = {
            name
            for name in names - reached
            if links[name] & reached or any(name in links[item] for item in reached)
        }
    return reached == names


class ChooseLinksTest(unittest.TestCase):
    """Absent nodes do not separate the others."""

    def test_any_nodes_that_are_left_are_connected(self) -> None:
        for count in range(2, 9):
            names = [f'n{number}' for number in range(count)]
            for size in range(1, count + 1):
                for left in itertools.combinations(names, size):
                    links = {name: choose_links(name, names, left) for name in left}
                    self.assertTrue(is_connected(links), (names, left))

    def test_rings_are_equal_while_all_are_present(self) -> None:
        names = [f'n{number}' for number in range(370)]
        for name in names[:20]:
            self.assertEqual(
                choose_links(name, names, names), choose_peers(name, names)
            )

    def test_absent_nodes_are_still_linked_to(self) -> None:
        names = ['a', 'b', 'c', 'd']
        for name in names:
            links = choose_links(name, names, ())
            self.assertEqual(links, choose_peers(name, names))


if __name__ == '__main__':
    unittest.main()
