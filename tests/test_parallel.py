"""Runs of test modules beside each other count as one run."""

from __future__ import annotations

import unittest

from tests.parallel import (
    ALONE,
    ModuleResult,
    list_failures,
    order_modules,
    read_result,
    run_modules,
)

RULE, LINE = '=' * 70, '-' * 70

#: Output of a module of which a listed test and another one failed.
OUTPUT = f"""\
test_b (tests.test_a.A.test_b) ... FAIL

{RULE}
FAIL: test_b (tests.test_a.A.test_b)
{LINE}
Traceback (most recent call last):
AssertionError: 3 not less than 2

{RULE}
ERROR: test_c (tests.test_a.A.test_c) (kind='body')
{LINE}
ValueError: c

{LINE}
Ran 2 tests in 1.000s

known red: tests.test_a.A.test_b | python -m tests | seen | 17
0 passed, 1 failed
"""


class ReadResultTest(unittest.TestCase):
    """What the output of a module's run tells."""

    def test_verdict_is_the_last_line_of_its_form(self):
        result = read_result('m', 0, 'x\n1 passed, 1 failed\n7 passed, 0 failed\n')
        self.assertEqual((result.passed, result.failed), (7, 0))

    def test_run_without_a_verdict_has_failed(self):
        self.assertEqual(read_result('m', -9, 'Segmentation fault').failed, 1)

    def test_run_that_ends_with_an_error_has_failed(self):
        self.assertEqual(read_result('m', 1, '0 passed, 0 failed\n').failed, 1)

    def test_known_failures_are_named(self):
        output = 'known red: tests.a.B.test_c | python -m tests | seen | 17\n'
        result = read_result('m', 0, f'{output}3 passed, 0 failed\n')
        self.assertEqual(result.known_red, {'tests.a.B.test_c'})


class FailuresTest(unittest.TestCase):
    """The end of a run tells what failed."""

    def test_failures_that_are_not_listed_are_named(self):
        found = list_failures([read_result('tests.test_a', 1, OUTPUT)])
        name = "test_c (tests.test_a.A.test_c) (kind='body')"
        self.assertEqual(found, [f'failed: {name}\nValueError: c'])

    def test_listed_failure_is_not_named(self):
        output = OUTPUT.replace('A.test_c', 'A.test_b').replace(
            '0 passed, 1', '1 passed, 0'
        )
        self.assertEqual(list_failures([read_result('tests.test_a', 0, output)]), [])

    def test_module_without_a_report_is_named(self):
        found = list_failures([read_result('tests.test_a', -9, 'test_b ... Killed')])
        self.assertEqual(found, ['failed: tests.test_a\ntest_b ... Killed'])


class RunModulesTest(unittest.TestCase):
    """Each module runs once."""

    def test_each_module_is_named_once_and_long_ones_first(self):
        names = [
            'tests.gateway.test_a.A.test_one',
            'tests.gateway.test_a.B.test_two',
            'tests.whole.test_z.Z.test_three',
            'tests.whole.test_z.Machine.TestCase.runTest',
        ]
        expected = ['tests.whole.test_z', 'tests.gateway.test_a']
        self.assertEqual(order_modules(names), expected)

    def test_modules_that_measure_times_run_last_and_alone(self):
        running, beside = set(), set()

        def run(module):
            running.add(module)
            if module in ALONE:
                beside.update(running - {module})
            running.discard(module)
            return ModuleResult(module, 1, 0, frozenset(), '')

        modules = [*ALONE, *(f'tests.test_{number}' for number in range(9))]
        results = [item.module for item in run_modules(modules, 3, run)]
        self.assertEqual(set(results[-len(ALONE) :]), ALONE)
        self.assertEqual(beside, set())

    def test_larger_modules_come_before_smaller_ones(self):
        sizes = {'tests.test_a': 3, 'tests.test_b': 7}
        names = [f'{module}.A.test_one' for module in sizes]
        found = order_modules(names, sizes.__getitem__)
        self.assertEqual(found, ['tests.test_b', 'tests.test_a'])

    def test_all_results_are_given(self):
        def run(module):
            return ModuleResult(module, 1, 0, frozenset(), '')

        modules = [f'tests.test_{number}' for number in range(9)]
        results = run_modules(modules, 3, run)
        self.assertEqual({item.module for item in results}, set(modules))
