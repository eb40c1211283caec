"""The harness of the tests on processes: it waits, and does not give up early."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from standins.harness import Harness


class ConvergedTest(unittest.TestCase):
    """A node that does not have a resource yet has not converged."""

    def build(self, *bodies):
        harness = Harness.__new__(Harness)
        answers = [SimpleNamespace(json=lambda body=body: body) for body in bodies]
        harness.operate = lambda *args: answers.pop(0)
        return harness

    def test_resource_that_comes_late_is_waited_for(self):
        absent = {'error': {'message': 'no customer x'}}
        condition = {'type': 'Accepted', 'status': True}
        present = {'status': {'conditions': [condition]}}
        harness = self.build(absent, present)
        harness.wait_converged('n1', 'customer', 'x')

    def test_conditions_of_an_absent_resource_do_not_hold(self):
        harness = self.build({'error': {}})
        self.assertEqual(harness.conditions('n1', 'customer', 'x'), {'Present': False})


if __name__ == '__main__':
    unittest.main()
