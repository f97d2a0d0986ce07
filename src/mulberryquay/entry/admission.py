"""Checks a request by its head before its body is read."""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock
from mulberryquay.decisions import permits
from mulberryquay.entry import (
    authentication,
    header_names,
    http_heads,
    outcomes,
    routing,
    state,
)

#: Calls are refused at this nesting depth, which ends loops of calls.
MAX_DEPTH: typing.Final = 30

_MAX_TIMEOUT_MS: typing.Final = 3_600_000
_MAX_DEPTH_HEADER: typing.Final = 1_000_000

#: Bytes of a wrong header that an error quotes.
_MAX_QUOTED: typing.Final = 64


class Admission(typing.NamedTuple):
    """The result for an admitted request: route, service and limits."""

    route: routing.Route
    #: The service chosen for the request among those of its route.
    service: routing.Service
    identity: authentication.Identity
    #: Regions that may serve the request, None for all.
    regions: frozenset[str] | None
    #: Depth of the request in a tree of nested calls, from 0.
    depth: int
    #: Milliseconds from the request's arrival to its deadline.
    timeout_ms: int

    @property
    def account(self) -> routing.ClientAccount | None:
        """The client account; None if the request has none."""
        return self.identity.account


def admit(
    entry_state: state.EntryState,
    head: http_heads.RequestHead,
    *,
    is_relayed: bool,
) -> Admission:
    """Returns the route, service and limits that apply to a request.

    ``is_relayed`` says that another entry relayed it. Raises RefusedError,
    always with the outcome not-run.
    """
    if not (entry_state.is_fresh or entry_state.options.serves_stale):
        raise outcomes.not_run(
            outcomes.Reason.STALE_CONFIGURATION,
            'no control host confirms that the configuration is current',
        )
    if not entry_state.routing_table.is_configured:
        raise outcomes.not_run(
            outcomes.Reason.NO_CONFIGURATION,
            'nothing is declared yet, as far as this entry knows',
        )
    host = head.find(header_names.HOST) or b''
    route = entry_state.routing_table.find_route(head.path, host)
    identity = authentication.identify(
        entry_state, head, route, is_relayed=is_relayed
    )
    authentication.check_still_allowed(entry_state, identity)
    service = entry_state.splits.choose(route)
    regions = routing.allowed_regions(route, identity.account)
    _check_regions(entry_state, regions)
    depth = _read_number(head, header_names.DEPTH, 0, _MAX_DEPTH_HEADER)
    if depth >= MAX_DEPTH:
        raise outcomes.not_run(
            outcomes.Reason.TOO_DEEP,
            f'got a call nested {depth} deep, expected less than {MAX_DEPTH}',
        )
    check_length(service, head.length)
    timeout = _read_number(
        head,
        entry_state.dialect.timeout,
        route.timeout_ms,
        _MAX_TIMEOUT_MS,
    )
    return Admission(
        route,
        service,
        identity,
        regions,
        depth,
        min(timeout, route.timeout_ms),
    )


def check_length(service: routing.Service, length: int) -> None:
    """Raises RefusedError if a body is larger than the service allows."""
    if length > service.max_body_bytes:
        raise outcomes.not_run(
            outcomes.Reason.BODY_TOO_LARGE,
            f'got a body of {length} bytes or more, expected at most '
            f'{service.max_body_bytes}',
        )


def take_permit(entry_state: state.EntryState, admitted: Admission) -> None:
    """Raises RefusedError if the account of a request is over its rate."""
    if admitted.account is None:
        return
    permit = entry_state.account_rates.take(admitted.account.rate)
    account = admitted.account.name
    match permit:
        case permits.OverRate(retry_after_ms, recent):
            seen = f'; this one holds no permit and got {recent} in a second'
            raise outcomes.not_run(
                outcomes.Reason.OVER_RATE,
                f'client account {account!r} has reached its rate of '
                f'{admitted.account.rate.per_s:g} requests a second over all '
                f'entries{seen if recent else ""}',
                retry_after_s=retry_after_ms / clock.MS_PER_SECOND,
            )
        case permits.Undecided():
            raise outcomes.not_run(
                outcomes.Reason.NO_PERMIT,
                'no control host could say whether client account '
                f'{account!r} is within its rate',
            )


def check_time_before_stop(
    entry_state: state.EntryState, admitted: Admission
) -> None:
    """Raises RefusedError if the entry stops before the request can end."""
    planned_stop = entry_state.planned_stop
    if not planned_stop.has_begun:
        return
    queue = entry_state.balancer.queue_for(admitted.service.name)
    if not planned_stop.leaves_time_for(
        timeout=admitted.timeout_ms, usual=queue.usual_latency_ms
    ):
        raise outcomes.not_run(
            outcomes.Reason.ENTRY_STOPPING,
            'this entry stops before the request can end',
        )


def _check_regions(
    entry_state: state.EntryState,
    regions: frozenset[str] | None,
) -> None:
    if regions is None or entry_state.region in regions:
        return
    if regions and entry_state.options.forwards_to_home_regions:
        return
    homes = ', '.join(sorted(regions)) or 'none'
    raise outcomes.not_run(
        outcomes.Reason.OUTSIDE_HOME_REGIONS,
        f'this request may be served only in its home regions: {homes}',
        headers=[(header_names.HOME_REGIONS, homes.encode())],
    )


def _read_number(
    head: http_heads.RequestHead,
    name: bytes,
    default: int,
    maximum: int,
) -> int:
    text = head.find(name)
    if text is None:
        return default
    number = http_heads.parse_number(text)
    if number is None or number > maximum:
        raise outcomes.not_run(
            outcomes.Reason.MALFORMED_REQUEST,
            f'{name.decode()}: got {text[:_MAX_QUOTED]!r}, expected a whole '
            f'number up to {maximum}',
        )
    return number
