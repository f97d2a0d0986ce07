"""The tests: plain functions, collected by `load_tests`."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import sys
import typing
import unittest

# The folder has the name of a standard module, so it is not imported as a
# package. It comes last, so that its modules shadow no others.
sys.path.append(str(pathlib.Path(__file__).parent.parent / 'platform'))


def load_tests(
    _loader: unittest.TestLoader,
    _tests: unittest.TestSuite,
    _pattern: str | None,
) -> unittest.TestSuite:
    """Collects the test functions of all test modules."""
    suite = unittest.TestSuite()
    for module_name in module_names():
        suite.addTests(collect(module_name))
    return suite


def module_names() -> list[str]:
    """Returns the names of all test modules in a fixed order."""
    folder = pathlib.Path(__file__).parent
    return [
        '.'.join(('testing', *path.relative_to(folder).with_suffix('').parts))
        for path in sorted(folder.rglob('test_*.py'))
    ]


def collect(module_name: str) -> typing.Iterator[unittest.TestCase]:
    """Yields a case for each test function of a module."""
    module = importlib.import_module(module_name)
    for name, function in inspect.getmembers(module, inspect.isfunction):
        if name.startswith('test_'):
            yield unittest.FunctionTestCase(
                function,
                description=f'{module_name.removeprefix("testing.")}.{name}',
            )
