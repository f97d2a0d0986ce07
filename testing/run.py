"""Runs the tests and ends with a line ``N passed, N failed``.

Arguments choose the tests whose names contain any of them. Tests listed in
KNOWN-RED.txt run too; their failures are printed but do not count.
"""

from __future__ import annotations

import logging
import pathlib
import sys
import time
import typing
import unittest

from mulberryquay import launch

_ROOT: typing.Final = pathlib.Path(__file__).parent.parent
_KNOWN_RED: typing.Final = _ROOT / 'KNOWN-RED.txt'
_SLOW_TEST_S: typing.Final = 3.0


class _TimedTestResult(unittest.TextTestResult):
    """Prints the name and duration of each slow test."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Records the start time."""
        super().startTest(test)
        self._started_at = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prints the name and duration if the test was slow."""
        super().stopTest(test)
        duration = time.monotonic() - self._started_at
        if duration > _SLOW_TEST_S:
            sys.stdout.write(f'slow: {_name(test)} {duration:.1f} s\n')


def main(name_parts: typing.Sequence[str]) -> int:
    """Runs the tests whose names contain any part, or all tests.

    Returns the exit code.
    """
    import testing  # noqa: PLC0415, WPS433

    suite = unittest.TestSuite()
    for module_name in testing.module_names():
        for case in testing.collect(module_name):
            if not name_parts or any(
                part in _name(case) for part in name_parts
            ):
                suite.addTest(case)
    runner = unittest.TextTestRunner(
        stream=sys.stdout,
        resultclass=typing.cast(typing.Any, _TimedTestResult),
        verbosity=0,
    )
    result = runner.run(suite)
    known_red_names = _read_known_red()
    failing = [_name(case) for case, _ in (*result.errors, *result.failures)]
    unexpected = [name for name in failing if name not in known_red_names]
    for name in failing:
        label = 'known red' if name in known_red_names else 'FAILED'
        sys.stdout.write(f'{label}: {name}\n')
    passed = result.testsRun - len(failing)
    sys.stdout.write(f'{passed} passed, {len(unexpected)} failed\n')
    return 1 if unexpected or not result.testsRun else 0


def _name(case: unittest.TestCase) -> str:
    return case.shortDescription() or str(case)


def _read_known_red() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith('test:')
    )


if __name__ == '__main__':
    launch.patch()
    logging.getLogger('mulberryquay').addHandler(logging.NullHandler())
    sys.exit(main(sys.argv[1:]))
