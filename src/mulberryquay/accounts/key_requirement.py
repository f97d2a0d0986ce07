"""Decides whether callers need a key of a client account.

A configuration that requires keys may hold no account: then nobody can call,
except on public routes. So the requirement is declared and never concluded
from the number of accounts alone.
"""

from __future__ import annotations

import enum
import typing


@typing.final
class Authentication(enum.Enum):
    """What the limits on callers declare of keys."""

    #: Keys are needed while any account is authenticated.
    BY_ACCOUNT = 'by-account'
    #: Keys are needed, even if no account has one.
    REQUIRED = 'required'
    #: Keys are not needed: callers name their accounts.
    NOT_REQUIRED = 'none'


def read(declared: str | None) -> Authentication:
    """Returns what a spec declares, None for one of an older release.

    A value of a later release may be stricter than all that are known here,
    so it requires keys.
    """
    if declared is None:
        return Authentication.BY_ACCOUNT
    try:
        return Authentication(declared)
    except ValueError:
        return Authentication.REQUIRED


def needs_key(
    authentication: Authentication, *, has_authenticated_accounts: bool
) -> bool:
    """Whether callers need a key, except on public routes."""
    match authentication:
        case Authentication.REQUIRED:
            return True
        case Authentication.NOT_REQUIRED:
            return False
        case Authentication.BY_ACCOUNT:
            return has_authenticated_accounts
