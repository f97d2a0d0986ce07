"""The routing table: routes, service classes and limits of one revision."""

from __future__ import annotations

import typing

from mulberryquay.accounts import key_requirement, keys
from mulberryquay.control import kinds
from mulberryquay.coordination import schema, store, units
from mulberryquay.decisions import callers, permits, roll_outs
from mulberryquay.entry import account_specs, messages, outcomes


#: Size of the cache of routes by host and path; it is cleared when full.
_MAX_CACHED_ROUTES: typing.Final = 512


class ServiceClass(typing.NamedTuple):
    """How the requests of a route are retried and prioritized."""

    name: str = 'default'
    #: Whether a request may run more than once.
    idempotent: bool = False
    #: Whether the request is shed first under overload.
    deferrable: bool = False
    #: 0 to 100; under overload, requests with a higher value go first.
    value: int = 50
    #: Attempts in total, including the first one.
    max_attempts: int = 3


class RollOut(typing.NamedTuple):
    """The newest roll-out of a service, as far as an entry needs it."""

    #: Version of its resource; 0 if there is none.
    number: int
    version: str
    is_running: bool
    #: Share of the requests that go to the new version.
    share: float
    #: Whether the old version gets nothing, though the roll-out runs.
    is_last_stage: bool
    #: Versions that get nothing.
    barred: frozenset[str]

    def bars(self, version: str) -> bool:
        """Whether targets of a version get nothing."""
        if self.is_last_stage and version != self.version:
            return True
        return version in self.barred


NO_ROLL_OUT: typing.Final = RollOut(
    0, '', is_running=False, share=0, is_last_stage=False, barred=frozenset()
)


class Service(typing.NamedTuple):
    """The limits of a service."""

    name: str
    timeout_ms: int
    max_body_bytes: int
    max_queue: int
    #: Path that probes request; if empty, the entry's setting applies.
    health_path: str = ''
    #: Lowers the connection limit that a target announced; 0 keeps it.
    max_connections: int = 0
    #: Calls per second that a cold target can serve; 0 if not declared.
    cold_per_s: float = 0


class CallerLimits(typing.NamedTuple):
    """Limits on all callers; the fields default to the built-in limits."""

    max_head_bytes: int = messages.MAX_HEAD_BYTES
    max_body_bytes: int = units.MAX_BODY_BYTES
    #: From the first byte of a request to the end of its head.
    head_timeout_ms: int = kinds.DEFAULT_HEAD_TIMEOUT_MS
    #: How long a connection may stay open without a request.
    idle_timeout_ms: int = kinds.DEFAULT_IDLE_TIMEOUT_MS


class ClientAccount(typing.NamedTuple):
    """The limits of a client account."""

    name: str
    home_regions: tuple[str, ...]
    max_in_flight: int
    caller: callers.Caller
    rate: permits.RateLimit


class WeightedService(typing.NamedTuple):
    """A service and its weight in the traffic split of a route."""

    service: Service
    weight: float


class Route(typing.NamedTuple):
    """The services and limits for requests with a path prefix."""

    name: str
    #: The name in the ``Host`` header; empty matches any host.
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    service_class: ServiceClass
    home_regions: tuple[str, ...]
    timeout_ms: int
    #: Latency objective for answers; 0 if none is declared.
    objective_ms: int
    #: Attempts in total, including the first one.
    max_attempts: int
    #: Whether callers need no key.
    is_public: bool = False


ResourcesByKey = dict[tuple[str, str], store.Resource]


@typing.final
class RoutingTable:
    """An immutable view of the configuration at one revision."""

    def __init__(
        self,
        resources: ResourcesByKey,
        *,
        revision: int = 0,
        earlier: RoutingTable | None = None,
        accounts: account_specs.PackedAccounts | None = None,
    ) -> None:
        """Builds the table without routes whose service or class is missing.

        It tells keys that ``earlier`` had from keys that were never known.
        ``accounts`` are those among ``resources`` unless they are given.
        """
        self._revision = revision
        specs = _specs_by_kind(resources)
        self._classes = {
            name: _make_class(name, spec)
            for name, spec in specs[kinds.SERVICE_CLASS].items()
        }
        self._limits = _make_limits(specs[kinds.LIMITS])
        self._services = {
            name: _make_service(name, spec, self._limits)
            for name, spec in specs[kinds.SERVICE].items()
        }
        if accounts is None:
            accounts = account_specs.pack_all(resources.values())
        self._packed_accounts = accounts
        #: Those that were asked for; of many accounts few come to an entry.
        self._accounts: dict[str, ClientAccount] = {}
        if earlier is not None and earlier._packed_accounts is accounts:
            self._has_authenticated_accounts: bool = (
                earlier._has_authenticated_accounts
            )
            self._key_ring = earlier.key_ring
        else:
            specs_by_account = account_specs.unpack_all(accounts)
            self._has_authenticated_accounts = any(
                spec.get('authenticated') for spec in specs_by_account.values()
            )
            self._key_ring = account_specs.make_key_ring(specs_by_account)
            if earlier is not None:
                self._key_ring.follow(earlier.key_ring, revision)
        self._authenticates_callers = key_requirement.needs_key(
            _read_authentication(specs[kinds.LIMITS]),
            has_authenticated_accounts=self._has_authenticated_accounts,
        )
        self._routes = {
            (route.host, route.path_prefix): route
            for route in self._make_routes(specs[kinds.ROUTE])
        }
        self._roll_outs = {
            resource.name: _make_roll_out(resource)
            for resource in resources.values()
            if resource.kind == kinds.ROLL_OUT and resource.spec is not None
        }
        self._hosts = frozenset(host for host, _ in self._routes)
        self._route_cache: dict[tuple[bytes, bytes], Route] = {}
        self._domains_out = frozenset(
            name
            for name, spec in specs[kinds.FAILURE_DOMAIN].items()
            if spec['state'] == kinds.STATE_OUT
        )

    @property
    def revision(self) -> int:
        """The revision of the configuration."""
        return self._revision

    @property
    def limits(self) -> CallerLimits:
        """The limits on all callers."""
        return self._limits

    @property
    def domains_out(self) -> frozenset[str]:
        """The failure domains that operators have taken out of service."""
        return self._domains_out

    @property
    def roll_outs(self) -> dict[str, RollOut]:
        """The newest roll-out of each service that had one."""
        return self._roll_outs

    @property
    def is_configured(self) -> bool:
        """Whether any service or route is declared."""
        return bool(self._services or self._routes)

    @property
    def services(self) -> dict[str, Service]:
        """The declared services by name."""
        return self._services

    @property
    def authenticates_callers(self) -> bool:
        """Whether callers need a key, except on public routes."""
        return self._authenticates_callers

    @property
    def key_ring(self) -> keys.KeyRing:
        """The client accounts by key."""
        return self._key_ring

    def find_route(self, path: bytes, host: bytes = b'') -> Route:
        """Returns the route with the longest prefix of whole segments.

        A route for the request's host takes precedence over one for any
        host. Raises RefusedError with the reason ``no-route``.
        """
        key = (host, path)
        route = self._route_cache.get(key)
        if route is None:
            route = self._match_route(path, host)
            if len(self._route_cache) >= _MAX_CACHED_ROUTES:
                self._route_cache.clear()
            self._route_cache[key] = route
        return route

    def _match_route(self, path: bytes, host: bytes) -> Route:
        name = host.partition(b':')[0].decode('latin-1').lower()
        for route_host in (name, ''):
            if route_host not in self._hosts:
                continue
            prefix = path.partition(b'?')[0].decode('latin-1')
            while prefix:
                route = self._routes.get((route_host, prefix))
                if route is not None:
                    return route
                has_trailing_slash = prefix.endswith('/')
                prefix = prefix[:-1] if has_trailing_slash else _parent(prefix)
        raise outcomes.not_run(
            outcomes.Reason.NO_ROUTE,
            'no route serves this path; declare one with `apply`',
        )

    def has_account(self, name: str) -> bool:
        """Whether a client account is declared."""
        return name in self._packed_accounts

    def find_account(self, name: str) -> ClientAccount:
        """Returns a client account; raises RefusedError if undeclared."""
        account = self._accounts.get(name)
        if account is not None:
            return account
        packed = self._packed_accounts.get(name)
        if packed is None:
            raise outcomes.not_run(
                outcomes.Reason.UNKNOWN_ACCOUNT,
                f'client account {name!r} is not declared',
            )
        account = _make_account(name, account_specs.unpack(packed))
        self._accounts[name] = account
        return account

    def _make_routes(
        self,
        specs: dict[str, schema.Spec],
    ) -> typing.Iterator[Route]:
        for name, spec in sorted(specs.items(), reverse=True):
            weights = spec['split'] or {spec['service']: 1}
            weighted_services = tuple(
                WeightedService(self._services[service], weight)
                for service, weight in weights.items()
                if service in self._services and weight > 0
            )
            service_class = self._classes.get(spec['service_class'])
            if service_class is None and spec['service_class'] == 'default':
                service_class = ServiceClass()
            if not weighted_services or service_class is None:
                continue
            yield Route(
                name,
                spec['host'].lower(),
                spec['path_prefix'],
                weighted_services,
                service_class,
                tuple(spec['home_regions']),
                spec['timeout_ms'] or weighted_services[0].service.timeout_ms,
                spec['objective_ms'],
                spec['max_attempts'] or service_class.max_attempts,
                spec.get('public', False),
            )


def allowed_regions(
    route: Route,
    account: ClientAccount | None,
) -> frozenset[str] | None:
    """Returns the regions that may serve a request, or None for all."""
    allowed = frozenset(route.home_regions)
    if account is None or not account.home_regions:
        return allowed or None
    account_regions = frozenset(account.home_regions)
    if not allowed:
        return account_regions
    return allowed & account_regions


def _parent(prefix: str) -> str:
    """Removes the last path segment and keeps the slash before it."""
    return prefix[: prefix.rfind('/') + 1]


def _make_roll_out(resource: store.Resource) -> RollOut:
    record = roll_outs.RollOut(**resource.spec or {})
    return RollOut(
        resource.version,
        record.version,
        is_running=record.is_running,
        share=record.share,
        is_last_stage=record.is_last_stage,
        barred=frozenset(record.barred),
    )


def _specs_by_kind(
    resources: ResourcesByKey,
) -> dict[str, dict[str, schema.Spec]]:
    specs: dict[str, dict[str, schema.Spec]] = {
        kind: {}
        for kind in (
            kinds.SERVICE,
            kinds.FAILURE_DOMAIN,
            kinds.ROUTE,
            kinds.SERVICE_CLASS,
            kinds.LIMITS,
        )
    }
    for resource in resources.values():
        if resource.spec is not None and resource.kind in specs:
            specs[resource.kind][resource.name] = resource.spec
    return specs


def _make_class(name: str, spec: schema.Spec) -> ServiceClass:
    return ServiceClass(
        name,
        spec['idempotent'],
        spec['deferrable'],
        spec['value'],
        spec['max_attempts'],
    )


def _make_limits(declared: dict[str, schema.Spec]) -> CallerLimits:
    spec = declared.get(kinds.CALLER_LIMITS)
    if spec is None:
        return CallerLimits()
    return CallerLimits(
        min(spec['max_head_bytes'], messages.MAX_HEAD_BYTES),
        spec['max_body_bytes'],
        spec['head_timeout_ms'],
        spec['idle_timeout_ms'],
    )


def _read_authentication(
    declared: dict[str, schema.Spec],
) -> key_requirement.Authentication:
    spec = declared.get(kinds.CALLER_LIMITS, {})
    return key_requirement.read(spec.get('authentication'))


def _make_service(
    name: str,
    spec: schema.Spec,
    limits: CallerLimits,
) -> Service:
    return Service(
        name,
        spec['timeout_ms'],
        min(spec['max_body_bytes'], limits.max_body_bytes),
        spec['max_queue'],
        spec['health_path'],
        spec['max_connections'],
        spec['cold_per_s'],
    )


def _make_account(name: str, spec: schema.Spec) -> ClientAccount:
    return ClientAccount(
        name,
        tuple(spec['home_regions']),
        spec['max_in_flight'],
        callers.Caller(name, spec.get('rank', 0)),
        permits.RateLimit(
            name, spec.get('rate_per_s', 0), spec.get('burst', 0)
        ),
    )
