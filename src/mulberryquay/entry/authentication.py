"""Finds the client account of a request, by its key or as the caller names it.

Where accounts are authenticated, targets and other entries get the name that
this entry found, and neither the key nor a name that the caller sent.
"""

from __future__ import annotations

import typing

from mulberryquay.accounts import keys
from mulberryquay.entry import (
    header_names,
    http_heads,
    outcomes,
    routing,
    state,
)

_CHALLENGE: typing.Final = (b'www-authenticate', b'Bearer')


class Identity(typing.NamedTuple):
    """Who sent a request, and in which revision that was found."""

    account: routing.ClientAccount | None = None
    #: Digest of the key; empty if there was none or another entry has it.
    digest: str = ''
    revision: int = 0


#: The identity of a request that needs no account.
ANONYMOUS: typing.Final = Identity()


def identify(
    entry_state: state.EntryState,
    head: http_heads.RequestHead,
    route: routing.Route,
    *,
    is_relayed: bool,
) -> Identity:
    """Returns the account of a request, and the key that shows it.

    The entry that relayed a request has authenticated it. Raises RefusedError.
    """
    table = entry_state.routing_table
    if not table.authenticates_callers or is_relayed:
        return _identify_by_name(
            table, head.find(entry_state.dialect.account), route
        )
    if route.is_public:
        return ANONYMOUS
    key = keys.read_bearer(head.find(header_names.AUTHORIZATION))
    digest = keys.digest_of(key) if key else ''
    holder = table.key_ring.holder_of(digest)
    if holder is None:
        raise _refusal(table, digest)
    return Identity(table.find_account(holder), digest, table.revision)


def _identify_by_name(
    table: routing.RoutingTable, named: bytes | None, route: routing.Route
) -> Identity:
    """Returns the account that a caller or another entry names.

    Where keys are needed, another entry with an older configuration may name
    an account that is gone, or none.
    """
    needs_account = table.authenticates_callers and not route.is_public
    if not named:
        if needs_account:
            raise _refusal(table, '')
        return ANONYMOUS
    name = named.decode(errors='replace')
    if table.authenticates_callers and not table.has_account(name):
        raise _refusal(table, '')
    return Identity(table.find_account(name), '', table.revision)


def check_still_allowed(
    entry_state: state.EntryState, identity: Identity
) -> None:
    """Raises RefusedError if a newer configuration refuses the request.

    It is called before each attempt, as a request may have waited.
    """
    table = entry_state.routing_table
    account = identity.account
    if account is None or not table.authenticates_callers:
        return
    options = entry_state.options
    if options.distrusts_stale_keys and not entry_state.is_fresh:
        raise outcomes.not_run(
            outcomes.Reason.STALE_CONFIGURATION,
            'no control host confirms that the key is still valid',
        )
    if table.revision == identity.revision:
        return
    if identity.digest:
        is_allowed = table.key_ring.holder_of(identity.digest) == account.name
    else:
        is_allowed = table.has_account(account.name)
    if not is_allowed:
        raise _refusal(table, identity.digest)


def _refusal(table: routing.RoutingTable, digest: str) -> outcomes.RefusedError:
    revoked_in = table.key_ring.revoked_in(digest)
    if revoked_in:
        return outcomes.not_run(
            outcomes.Reason.REVOKED_KEY,
            f'revision {revoked_in} took the key from its client account',
            headers=[_CHALLENGE],
        )
    return outcomes.not_run(
        outcomes.Reason.UNKNOWN_KEY,
        'the request has no key of a client account',
        headers=[_CHALLENGE],
    )


def replace_credentials(
    entry_state: state.EntryState,
    headers: http_heads.HeaderBlock,
    account: routing.ClientAccount | None,
) -> http_heads.HeaderBlock:
    """Returns the headers to forward, with the account in place of the key."""
    if not entry_state.routing_table.authenticates_callers:
        return headers
    name_header = entry_state.dialect.account
    kept = headers.without((header_names.AUTHORIZATION, name_header))
    if account is None:
        return kept
    return kept.with_added([(name_header, account.name.encode())])
