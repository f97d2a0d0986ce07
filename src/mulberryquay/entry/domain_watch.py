"""Asks the keepers of targets what is known before one is chosen.

An entry with a few calls a second knows little of targets that many entries
use, and asking each of them costs more than the call. So it asks the entry
that keeps the picture of a failure domain, and tells it of its calls. Without
an answer it asks targets itself.
"""

from __future__ import annotations

import itertools
import logging
import typing

import gevent
from gevent import event

from mulberryquay import settings
from mulberryquay.coordination import clock, wire
from mulberryquay.decisions import sightings
from mulberryquay.entry import (
    dialect,
    domain_keeper,
    domain_messages,
    state,
    targets,
)

#: Longest wait for what a keeper knows, by tier of its targets: a round trip
#: and the time in which it asks targets twice.
_ANSWER_MS: typing.Final = (20.0, 22.0, 60.0)
_FAR_TIER: typing.Final = 2

#: A keeper that leaves this many questions in a row unanswered isn't asked
#: for a while.
_MAX_MISSED: typing.Final = 2
_AVOIDED_MS: typing.Final = 1000.0

_MAX_DATAGRAM_BYTES: typing.Final = 4096

#: Age up to which an answer's load report is told on.
_TOLD_REPORT_MS: typing.Final = 20.0

_LOG: typing.Final = logging.getLogger(__name__)

Targets = typing.Sequence[targets.TargetState]


class _Missed(typing.NamedTuple):
    times: int = 0
    avoided_until: float = 0


@typing.final
class DomainWatch:
    """This entry's questions and notes to the keepers of domains."""

    def __init__(
        self,
        entry_state: state.EntryState,
        keeper: domain_keeper.DomainKeeper,
        fallback: state.LoadReportRefresher,
        listener: typing.Any,
        domain: str,
    ) -> None:
        """Receives on ``listener``, a bound datagram socket.

        ``fallback`` asks the targets whose keeper gives no answer.
        """
        self._state = entry_state
        self._keeper = keeper
        self._fallback = fallback
        self._socket = listener
        self._domain = domain
        self._numbers = itertools.count(1)
        self._pending: dict[int, event.AsyncResult] = {}
        self._missed: dict[str, _Missed] = {}
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to receive."""
        self._task = gevent.spawn(self._receive)

    def stop(self) -> None:
        """Stops receiving."""
        if self._task is not None:
            self._task.kill()
        self._socket.close()

    def refresh_reports(self, candidates: Targets) -> None:
        """Learns what is known of candidates, from the nearest tier outward.

        Stops once a target has room on a host of usual speed. Other
        regions are asked only if no nearer candidate has a free slot.
        """
        nearest = min((target.tier for target in candidates), default=_FAR_TIER)
        for tier in range(nearest, _FAR_TIER + 1):
            if tier == _FAR_TIER and self._has_nearer_slot(candidates):
                return
            in_tier = [target for target in candidates if target.tier == tier]
            if in_tier and not self._ask_keepers(in_tier, tier):
                self._count('unanswered')
                self._fallback.refresh_reports(in_tier)
            now = self._state.clock.now()
            if any(_is_good(target, now) for target in in_tier):
                return

    def begin_call(self, target: targets.TargetState) -> None:
        """Tells the keeper of a call that is sent to a target."""
        if not target.is_peer:
            row = target.row
            self._tell(row, domain_messages.CallBegun(row.service, row.name))

    def end_call(
        self, target: targets.TargetState, duration: float, *, has_failed: bool
    ) -> None:
        """Tells the keeper of the end of a call, and the newest report."""
        if target.is_peer:
            return
        row = target.row
        calls = -1
        age = self._state.clock.now() - target.reported_at
        if age <= _TOLD_REPORT_MS:
            # This call is still counted as in flight.
            calls = (
                round(target.reported_load * row.slots + target.in_flight) - 1
            )
        note = domain_messages.CallEnded(
            row.service,
            row.name,
            has_failed,
            int(duration),
            max(-1, calls),
            int(target.slowness * domain_messages.HUNDREDTHS),
        )
        self._tell(row, note)

    def _has_nearer_slot(self, candidates: Targets) -> bool:
        now = self._state.clock.now()
        return any(
            target.tier < _FAR_TIER and target.load(now) < 1
            for target in candidates
        )

    def _tell(
        self,
        row: typing.Any,
        note: domain_messages.CallBegun | domain_messages.CallEnded,
    ) -> None:
        name = self._state.share_view.keeper_of(row.domain, row.service)
        if name == self._state.name:
            self._keeper.apply(note)
        elif name:
            self._send(note, self._state.relays.address_of(name))

    def _ask_keepers(self, in_tier: Targets, tier: int) -> bool:
        """Asks the keepers of some targets; returns whether any answered."""
        service = in_tier[0].row.service
        answers = []
        is_known = False
        domains = {target.row.domain for target in in_tier}
        for domain in domains:
            name = self._state.share_view.keeper_of(domain, service)
            if name == self._state.name:
                self._accept(self._keeper.sightings(service, asks_targets=True))
                is_known = True
            elif name and not self._is_avoided(name):
                answers.append((name, *self._ask(name, service)))
        deadline = self._state.clock.now() + _ANSWER_MS[tier]
        for asked, number, answer in answers:
            is_known |= self._await(asked, answer, deadline)
            self._pending.pop(number, None)
        if is_known:
            self._count('told')
        return is_known

    def _ask(self, name: str, service: str) -> tuple[int, event.AsyncResult]:
        number = next(self._numbers)
        answer: event.AsyncResult = event.AsyncResult()
        self._pending[number] = answer
        self._send(
            domain_messages.SightingsAsked(number, service),
            self._state.relays.address_of(name),
        )
        return number, answer

    def _await(
        self, name: str, answer: event.AsyncResult, deadline: float
    ) -> bool:
        """Waits for a keeper's answer; returns whether it came."""
        remaining = max(0.0, deadline - self._state.clock.now())
        try:
            told = answer.get(timeout=remaining / clock.MS_PER_SECOND)
        except gevent.Timeout:
            self._record_missed(name)
            return False
        self._missed.pop(name, None)
        self._accept(told)
        return True

    def _record_missed(self, name: str) -> None:
        times = self._missed.get(name, _Missed()).times + 1
        avoided_until = 0.0
        if times >= _MAX_MISSED:
            avoided_until = self._state.clock.now() + _AVOIDED_MS
            _LOG.info(
                'keeper of load reports not asked for a while',
                extra={'keeper': name, 'for_ms': _AVOIDED_MS},
            )
        self._missed[name] = _Missed(times, avoided_until)

    def _is_avoided(self, name: str) -> bool:
        missed = self._missed.get(name)
        return (
            missed is not None
            and missed.avoided_until > self._state.clock.now()
        )

    def _accept(self, told: typing.Sequence[sightings.Sighting]) -> None:
        now = self._state.clock.now()
        known = self._state.balancer.all_targets
        for sighting in told:
            target = known.get(sighting.target)
            if target is None:
                continue
            target.sighting = targets.Seen(
                sighting.calls, sighting.pace, sighting.failing, now
            )
            target.record_report(
                dialect.LoadReport(round(sighting.calls), 0, sighting.slowness),
                age=sighting.report_age_ms,
            )

    def _receive(self) -> None:
        while True:
            try:
                datagram, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                # A datagram that could not be delivered before.
                _LOG.debug('no datagram', extra={'cause': str(error)})
                continue
            try:
                self._handle(domain_messages.decode(datagram), sender)
            except wire.ProtocolError as error:
                _LOG.debug('datagram ignored', extra={'cause': str(error)})

    def _handle(
        self, message: domain_messages.Message, sender: typing.Any
    ) -> None:
        match message:
            case domain_messages.SightingsAsked():
                gevent.spawn(self._answer, message, sender)
            case domain_messages.SightingsTold(number, rows):
                answer = self._pending.pop(number, None)
                if answer is not None:
                    answer.set(list(map(domain_messages.sighting_of, rows)))
            case domain_messages.CallBegun() | domain_messages.CallEnded():
                self._keeper.apply(message)

    def _answer(
        self, asked: domain_messages.SightingsAsked, sender: typing.Any
    ) -> None:
        # Anybody may ask, so nothing is kept for the name of a service alone.
        told: list[sightings.Sighting] = []
        if self._keeper.has_targets(asked.service):
            view = self._state.share_view
            keeper = view.keeper_of(self._domain, asked.service)
            told = self._keeper.sightings(
                asked.service, asks_targets=keeper == self._state.name
            )
        rows = list(map(domain_messages.row_of, told))
        self._send(domain_messages.SightingsTold(asked.number, rows), sender)

    def _send(
        self, message: domain_messages.Message, address: typing.Any
    ) -> None:
        if isinstance(address, str):
            address = settings.parse_address(address) if address else None
        if address is None:
            return
        try:
            self._socket.sendto(domain_messages.encode(message), address)
        except OSError as error:
            _LOG.debug('datagram not sent', extra={'cause': str(error)})

    def _count(self, result: str) -> None:
        self._state.metrics.count('mulberryquay_load_pictures_total', result)


def _is_good(target: targets.TargetState, now: float) -> bool:
    slots = target.row.slots
    return target.is_reported_idle(now) and sightings.has_room(
        target.load(now) * slots, slots
    )
