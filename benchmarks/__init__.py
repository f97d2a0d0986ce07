"""Measurements; each prints figures and ratios of a single run.

Importing this package first patches the standard library for gevent.
"""

from __future__ import annotations

from mulberryquay import launch

launch.patch()
