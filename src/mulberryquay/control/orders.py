"""Decides on orders at the leader, whichever host received them."""

from __future__ import annotations

import logging
import typing

from gevent import lock

from mulberryquay.accounts import key_requirement
from mulberryquay.control import (
    configuration,
    directory,
    host_protocol,
    kinds,
    replicated_state,
    roll_out_records,
)
from mulberryquay.coordination import clock, errors, rpc, schema, store
from mulberryquay.coordination.replication import replica, state

#: Time in which an order is answered or refused. Callers turn to the next
#: control host after one second.
ORDER_TIMEOUT_MS: typing.Final = 850.0

#: Part of that time that is left for the leader's answer to travel back.
_REPLY_MARGIN_MS: typing.Final = 50.0

Order = (
    host_protocol.PutResource
    | host_protocol.PutConfiguration
    | host_protocol.SetDomainState
    | host_protocol.EndTarget
    | host_protocol.StartRollOut
    | host_protocol.MoveRollOut
)

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class OutdatedOrderError(errors.MulberryquayError):
    """Another order has changed the resource since this one was received."""

    code = 'outdated-order'
    http_status = 503


@typing.final
class OpensRoutesError(errors.ConflictError):
    """The order would end the need for keys without declaring so."""

    code = 'opens-routes'


@typing.final
class Orders:
    """Runs orders one at a time, here or at the leading host."""

    def __init__(
        self,
        replicated: replicated_state.ReplicatedState,
        targets: directory.Directory,
        host_replica: replica.Replica,
        network: rpc.Clients,
        time_source: clock.Clock,
    ) -> None:
        """Applies orders to ``replicated`` and ``targets``.

        ``host_replica`` makes the changes durable.
        """
        self._store = replicated.store
        self._directory = targets
        self._replica = host_replica
        self._network = network
        self._clock = time_source
        self._order_lock = lock.BoundedSemaphore(1)

    def execute(
        self, order: Order, *, received_at: float | None = None
    ) -> list[typing.Any]:
        """Returns the order's result once it is in force at the leader.

        Its time counts from ``received_at``, by default from now. Raises
        NoQuorumError if that is not certain in time, and the typed errors of
        the order.
        """
        if received_at is None:
            received_at = self._clock.now()
        return self._execute_until(order, received_at + ORDER_TIMEOUT_MS)

    def set_domain_state(
        self,
        domain: str,
        region: str,
        domain_state: str,
        *,
        check_caller: typing.Callable[[], None],
    ) -> list[typing.Any]:
        """Executes `SetDomainState` unless its caller has left before.

        A host that was frozen may read an order long after its caller sent
        it to another host, and newer orders after that. ``check_caller``
        raises if the caller has left. The domain's version is read before
        this check. An order that the caller sends after it raises the
        version, and then this one fails with OutdatedOrderError.
        """
        deadline = self._clock.now() + ORDER_TIMEOUT_MS
        self._replica.read_barrier(timeout=ORDER_TIMEOUT_MS)
        version = self._domain_version(domain)
        check_caller()
        order = host_protocol.SetDomainState(
            domain, region, domain_state, version
        )
        return self._execute_until(order, deadline)

    def _execute_until(self, order: Order, deadline: float) -> list[typing.Any]:
        while True:
            if self._replica.is_leader:
                return self.decide(order, deadline)
            address = self._replica.leader_address
            if address:
                return self._forward(address, order, deadline)
            if not self._replica.wait_for_leader(
                timeout=deadline - self._clock.now(),
            ):
                raise state.NoQuorumError(
                    'no control host is the leader now; send the order again',
                )

    def decide(self, order: Order, deadline: float) -> list[typing.Any]:
        """Runs an order on this host.

        Raises NoQuorumError if it does not lead or runs out of time.
        """
        remaining = deadline - self._clock.now()
        is_acquired = remaining > 0 and self._order_lock.acquire(
            timeout=remaining / clock.MS_PER_SECOND,
        )
        if not is_acquired:
            raise state.NoQuorumError(
                'earlier orders are still being decided; send the order again'
            )
        try:
            self._replica.wait_until_caught_up_leader(
                timeout=deadline - self._clock.now()
            )
            result = self._apply(order)
        except errors.MulberryquayError as error:
            _log_order(order, error.code, self._replica.term)
            raise
        else:
            _log_order(order, 'in force', self._replica.term)
            return result
        finally:
            self._order_lock.release()

    def _forward(
        self,
        address: str,
        order: Order,
        deadline: float,
    ) -> list[typing.Any]:
        remaining = deadline - self._clock.now() - _REPLY_MARGIN_MS
        if remaining <= 0:
            raise state.NoQuorumError(
                'no time was left to ask the leader; send the order again',
            )
        try:
            answer = self._network.call(address, order, timeout=remaining)
        except rpc.RemoteError:
            raise
        except rpc.CallFailedError as error:
            raise state.NoQuorumError(
                f'the leader did not answer the order: {error}',
            ) from error
        return list(answer.fields)

    def _apply(self, order: Order) -> list[typing.Any]:
        match order:
            case host_protocol.PutResource(kind, name, version, spec):
                self._check_keys(kind, name, spec)
                self._check_stays_closed(kind, name, spec)
                resource = self._store.put(
                    kind,
                    name,
                    version=version,
                    spec=spec,
                )
                return list(resource)
            case host_protocol.PutConfiguration():
                return [self._put_configuration(order)]
            case host_protocol.SetDomainState():
                return list(self._set_domain(order))
            case host_protocol.EndTarget(name, incarnation):
                ended = incarnation or None
                return [self._directory.end(name, incarnation=ended)]
            case host_protocol.StartRollOut():
                return list(roll_out_records.start(self._store, order))
            case host_protocol.MoveRollOut():
                return list(roll_out_records.move(self._store, order))

    def _put_configuration(
        self,
        order: host_protocol.PutConfiguration,
    ) -> int:
        return self._store.put_configuration(
            store.Configuration(order.version, order.document),
            [(kind, name, spec) for kind, name, spec in order.resources],
            kinds=kinds.CONFIGURED,
        )

    def _check_keys(
        self, kind: str, name: str, spec: schema.Spec | None
    ) -> None:
        """Raises InvalidConfigurationError if another account has a key."""
        if kind != kinds.CLIENT_ACCOUNT or spec is None:
            return
        others = [
            (kind, other.name, other.spec)
            for other in self._store.list_kind(kind)
            if other.name != name and other.spec
        ]
        configuration.check_keys([*others, (kind, name, spec)])

    def _check_stays_closed(
        self, kind: str, name: str, spec: schema.Spec | None
    ) -> None:
        """Raises OpensRoutesError if callers would need no key any more.

        The last authenticated account is often deleted because its key was
        stolen, so to serve callers without keys has to be declared.
        """
        if kind not in {kinds.CLIENT_ACCOUNT, kinds.LIMITS}:
            return
        if spec is not None and spec.get('authenticated'):
            return
        specs = {
            (each, resource.name): resource.spec
            for each in (kinds.CLIENT_ACCOUNT, kinds.LIMITS)
            for resource in self._store.list_kind(each)
        }
        was_closed = _needs_key(specs)
        specs[kind, name] = spec
        if not was_closed or _needs_key(specs):
            return
        if _authentication(specs) is key_requirement.Authentication.BY_ACCOUNT:
            raise OpensRoutesError(
                f'{kind} {name!r}: no account would be authenticated any more, '
                f'so callers would need no key; declare {kinds.LIMITS} '
                f'{kinds.CALLER_LIMITS!r} with authentication "required" or '
                '"none" first',
            )

    def _set_domain(
        self,
        order: host_protocol.SetDomainState,
    ) -> store.Resource:
        current = self._find_domain(order.domain)
        if current is not None and current.spec is not None:
            if current.spec['state'] == order.state:
                return current
        version = self._domain_version(order.domain)
        if version != order.replaced_version:
            raise OutdatedOrderError(
                f'{order.domain!r}: got an order that replaces version '
                f'{order.replaced_version}, expected {version}; send it again',
            )
        return self._store.put(
            kinds.FAILURE_DOMAIN,
            order.domain,
            version=version + 1,
            spec={'region': order.region, 'state': order.state},
            is_limited=False,
        )

    def _domain_version(self, domain: str) -> int:
        current = self._find_domain(domain)
        return 0 if current is None else current.version

    def _find_domain(self, domain: str) -> store.Resource | None:
        return self._store.find(kinds.FAILURE_DOMAIN, domain)


def _needs_key(
    specs: dict[tuple[str, str], schema.Spec | None],
) -> bool:
    return key_requirement.needs_key(
        _authentication(specs),
        has_authenticated_accounts=any(
            spec is not None and spec.get('authenticated')
            for (kind, _), spec in specs.items()
            if kind == kinds.CLIENT_ACCOUNT
        ),
    )


def _authentication(
    specs: dict[tuple[str, str], schema.Spec | None],
) -> key_requirement.Authentication:
    limits = specs.get((kinds.LIMITS, kinds.CALLER_LIMITS)) or {}
    return key_requirement.read(limits.get('authentication'))


def _log_order(order: Order, decision: str, term: int) -> None:
    """Logs the decision on an order, without documents and specs."""
    logged_fields = {
        name: field
        for name, field in order._asdict().items()
        if isinstance(field, (str, int)) and name != 'name'
    }
    _LOG.info(
        'order decided',
        extra={
            'order': type(order).__name__,
            'decision': decision,
            'term': term,
            'subject': getattr(order, 'name', ''),
            **logged_fields,
        },
    )
