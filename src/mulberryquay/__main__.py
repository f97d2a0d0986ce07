"""Runs the command line as ``python -m mulberryquay``."""

from __future__ import annotations

import sys

from mulberryquay import launch

sys.exit(launch.run())
