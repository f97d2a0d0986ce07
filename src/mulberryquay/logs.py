"""Sets up log lines as JSON on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json


def configure(*, level: str, role: str) -> None:
    """Writes lines of ``level`` and above; each one names the role."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json.JsonFormatter(
            '{asctime}{levelname}{name}{message}',
            style='{',
            static_fields={'role': role},
        ),
    )
    root = logging.getLogger('mulberryquay')
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
