"""Runs the measurements named as arguments, or all, and prints them."""

from __future__ import annotations

import importlib
import json
import sys
import typing

MEASUREMENTS: typing.Final = (
    'data_path',
    'domain',
    'slopes',
    'policies',
    'accounts',
    'decisions',
)


def main(names: typing.Sequence[str]) -> None:
    """Prints one JSON object per measurement."""
    for name in names or MEASUREMENTS:
        module = importlib.import_module(f'benchmarks.{name}')
        sys.stdout.write(f'{name}\n')
        result = module.run()
        sys.stdout.write(json.dumps(result._asdict(), indent=2) + '\n')


if __name__ == '__main__':
    main(sys.argv[1:])
