"""The base of all typed errors and those shared by several modules."""

from __future__ import annotations


def to_body(code: str, message: str) -> dict[str, dict[str, str]]:
    """Returns the JSON object by which all HTTP surfaces tell an error."""
    return {'error': {'code': code, 'message': message}}


class MulberryquayError(Exception):
    """Base of every failure; ``code`` is stable and read by programs."""

    code: str = 'internal'
    http_status: int = 500


class InvalidInputError(MulberryquayError):
    """The caller's input breaks a documented rule."""

    code = 'invalid-input'
    http_status = 400


class NotFoundError(MulberryquayError):
    """The named object does not exist."""

    code = 'not-found'
    http_status = 404


class ConflictError(MulberryquayError):
    """The request lost a race or carries a stale version."""

    code = 'conflict'
    http_status = 409
