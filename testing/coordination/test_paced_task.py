"""Tests of work that is repeated only while there is any."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.coordination import paced_task
from testing import virtual_time

CASE: typing.Final = unittest.TestCase()


def test_work_is_repeated_at_intervals_until_there_is_none() -> None:
    """A task must sleep without work, and miss none that comes meanwhile."""
    time_source = virtual_time.VirtualClock()
    called_at: list[float] = []

    def work() -> bool:
        called_at.append(time_source.now())
        if len(called_at) == 3:
            # New work that appears while the last call is running.
            task.wake()
        return len(called_at) < 3

    task = paced_task.PacedTask(work, time_source, interval=10)
    task.start()
    time_source.run(100)
    CASE.assertEqual(called_at, [])
    task.wake()
    task.wake()
    time_source.run(1000)
    CASE.assertEqual(called_at, [110, 120, 130, 140])
    task.stop()
    task.wake()
    time_source.run(1000)
    CASE.assertEqual(len(called_at), 4)
