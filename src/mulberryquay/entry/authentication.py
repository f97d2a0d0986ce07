"""Finds the client account of a request, by its key or as the caller names it.

Where accounts are authenticated, targets and other entries get the name that
this entry found, and neither the key nor a name that the caller sent.
"""

from __future__ import annotations

from mulberryquay.accounts import keys
from mulberryquay.entry import (
    header_names,
    http_heads,
    outcomes,
    routing,
    state,
)

_CHALLENGE = (b'www-authenticate', b'Bearer')


def identify(
    entry_state: state.EntryState,
    head: http_heads.RequestHead,
    route: routing.Route,
    *,
    is_relayed: bool,
) -> routing.ClientAccount | None:
    """Returns the account of a request, None if it has none.

    The entry that relayed a request has authenticated it. Raises RefusedError.
    """
    table = entry_state.routing_table
    if not table.authenticates_callers or is_relayed:
        named = head.find(entry_state.dialect.account)
        return table.find_account(named.decode('latin-1')) if named else None
    if route.is_public:
        return None
    key = keys.read_bearer(head.find(header_names.AUTHORIZATION))
    holder = table.key_ring.find(key) if key else None
    if holder is None:
        raise outcomes.not_run(
            outcomes.Reason.UNKNOWN_KEY,
            'the request has no key of a client account',
            headers=[_CHALLENGE],
        )
    return table.find_account(holder)


def replace_credentials(
    entry_state: state.EntryState,
    headers: http_heads.Headers,
    account: routing.ClientAccount | None,
) -> http_heads.Headers:
    """Returns the headers to forward, with the account in place of the key."""
    if not entry_state.routing_table.authenticates_callers:
        return headers
    name_header = entry_state.dialect.account
    dropped = (header_names.AUTHORIZATION, name_header)
    kept = [pair for pair in headers if pair[0] not in dropped]
    if account is not None:
        kept.append((name_header, account.name.encode('latin-1')))
    return kept
