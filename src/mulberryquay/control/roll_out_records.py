"""The durable record of each roll-out and the orders that change it."""

from __future__ import annotations

import typing

from mulberryquay.control import host_protocol, kinds
from mulberryquay.coordination import errors, store, units
from mulberryquay.decisions import roll_outs

#: Longest duration of a roll-out, in milliseconds.
MAX_DURATION_MS: typing.Final = 24 * units.HOUR_MS

#: Versions of the old targets that are remembered.
MAX_OLD_VERSIONS: typing.Final = 64


@typing.final
class RollOutRunningError(errors.ConflictError):
    """Another roll-out of the service is running."""

    code = 'roll-out-running'


@typing.final
class RollOutEndedError(errors.ConflictError):
    """The roll-out has ended; its end is final."""

    code = 'roll-out-ended'


@typing.final
class OutdatedRollOutError(errors.MulberryquayError):
    """The roll-out has changed since the order was received."""

    code = 'outdated-order'
    http_status = 503


def find(resources: store.Store, service: str) -> roll_outs.RollOut | None:
    """Returns the newest roll-out of a service."""
    resource = resources.find(kinds.ROLL_OUT, service)
    if resource is None or resource.spec is None:
        return None
    return roll_outs.RollOut(**resource.spec)


def version_of(resources: store.Store, service: str) -> int:
    """Returns the version of a service's roll-out resource, 0 without one."""
    resource = resources.find(kinds.ROLL_OUT, service)
    return 0 if resource is None else resource.version


def start(
    resources: store.Store, order: host_protocol.StartRollOut
) -> store.Resource:
    """Starts a roll-out, or acknowledges the same order again.

    Raises RollOutRunningError and OutdatedRollOutError.
    """
    current = find(resources, order.service)
    held = resources.find(kinds.ROLL_OUT, order.service)
    if current is not None and held is not None:
        if current.is_running and current.version != order.version:
            raise RollOutRunningError(
                f'service {order.service!r} is being moved to version '
                f'{current.version!r}; end that roll-out first',
            )
        is_repeat = current.version == order.version
        if is_repeat and (current.is_running or not order.is_again):
            return held
    number = version_of(resources, order.service)
    if number != order.replaced:
        raise OutdatedRollOutError(
            f'{order.service!r}: got an order that replaces roll-out '
            f'{order.replaced}, expected {number}; send it again',
        )
    started = roll_outs.RollOut(
        order.version,
        order.duration_ms,
        roll_outs.State.RUNNING.value,
        roll_outs.Stage.TRIAL.value,
        order.share,
        _without(order.old_versions, order.version),
        _without(current.barred if current else (), order.version),
        0,
        order.started_at,
    )
    return _put(resources, order.service, started, number + 1, is_limited=True)


def move(
    resources: store.Store, order: host_protocol.MoveRollOut
) -> store.Resource:
    """Changes the stage of a roll-out that runs, or ends it.

    Raises RollOutEndedError and OutdatedRollOutError.
    """
    current = find(resources, order.service)
    if current is None:
        raise errors.NotFoundError(
            f'there is no roll-out of service {order.service!r}',
        )
    number = version_of(resources, order.service)
    if not current.is_running:
        raise RollOutEndedError(
            f'the roll-out of service {order.service!r} to version '
            f'{current.version!r} has ended as {current.state}',
        )
    if order.replaced not in {0, number}:
        raise OutdatedRollOutError(
            f'{order.service!r}: got an order that replaces roll-out '
            f'{order.replaced}, expected {number}',
        )
    changed = current._replace(
        state=order.state,
        stage=order.stage,
        share=order.share,
        old_versions=_without(
            (*current.old_versions, *order.old_versions), current.version
        ),
        elapsed_ms=max(order.elapsed_ms, current.elapsed_ms),
        reason=order.reason,
    )
    # A bad version must be stopped whatever others declared.
    return _put(resources, order.service, changed, number + 1, is_limited=False)


def _without(versions: typing.Iterable[str], excluded: str) -> list[str]:
    return sorted(set(versions) - {excluded})[:MAX_OLD_VERSIONS]


def _put(
    resources: store.Store,
    service: str,
    changed: roll_outs.RollOut,
    number: int,
    *,
    is_limited: bool,
) -> store.Resource:
    return resources.put(
        kinds.ROLL_OUT,
        service,
        version=number,
        spec=changed._asdict(),
        is_limited=is_limited,
    )
