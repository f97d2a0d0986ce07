"""Measurements; each prints ratios of figures taken in one run.

Importing this package makes the standard library cooperative first.
"""

from __future__ import annotations

from mulberryquay import launch

launch.patch()
