"""The base class of all errors, and errors that several modules raise."""

from __future__ import annotations


def to_body(code: str, message: str) -> dict[str, dict[str, str]]:
    """Returns the JSON object for an error in any HTTP answer."""
    return {'error': {'code': code, 'message': message}}


class MulberryquayError(Exception):
    """Base of all errors; ``code`` is stable, for use by programs."""

    code: str = 'internal'
    http_status: int = 500


class InvalidInputError(MulberryquayError):
    """The input violates a documented rule."""

    code = 'invalid-input'
    http_status = 400


class NotFoundError(MulberryquayError):
    """The named object does not exist."""

    code = 'not-found'
    http_status = 404


class ConflictError(MulberryquayError):
    """The request lost a race or has an outdated version."""

    code = 'conflict'
    http_status = 409
