"""Plays loads of many entries and uneven targets, without a network."""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import math
import random
import typing

import gevent

from mulberryquay import protocol
from mulberryquay.coordination import clock, shares
from mulberryquay.decisions import placement, sightings
from mulberryquay.entry import dialect, load_prober, probe_budget, targets
from mulberryquay.entry.policies import expected_time

#: Length of time for which a host is slow or not.
_PHASE_MS: typing.Final = 300.0

#: Time there and back by tier.
_WAY_MS: typing.Final = (0.5, 1.5, 24.5)

_PROBES_PER_TARGET_S: typing.Final = 54
_MAX_USUAL_SLOWNESS: typing.Final = 1.3
_FULL_LOAD: typing.Final = 0.8


class Load(typing.NamedTuple):
    """Entries, targets and the demand; domains are in regions of two."""

    targets: tuple[int, ...] = (8, 8, 8, 8, 8, 8)
    entries: int = 193
    calls_s: float = 4.0
    seconds: float = 4.0
    slots: int = 3
    work_ms: float = 80.0
    slow_part: float = 0.25
    slow_factor: float = 4.0
    #: Part by which the demand of a domain swings, and the parts of a period
    #: by which one domain is behind the one before.
    swing: float = 0.0
    phase: float = 1 / 3
    #: When the first domain has no targets; they are slow after that.
    out_ms: tuple[float, float] = (math.inf, math.inf)
    picture_age_ms: float = 0.0
    #: A target that is nearly full works slower by the factor.
    full_factor: float = 1.0


class Result(typing.NamedTuple):
    """What callers and targets got."""

    p50: float
    p99: float
    mean: float
    #: Greatest over the mean number of calls of a target.
    greatest: float
    crossed_domain: float
    crossed_region: float
    probes: float
    connections: float


class _Call(typing.NamedTuple):
    entry: int
    began: float
    work_ms: float
    tier: int


class _Player(typing.Protocol):
    """Chooses targets with what its entries may know."""

    def choose(self, entry: int, usable: list[int]) -> int:
        """Returns one of the usable targets."""

    def end(self, entry: int, target: int, duration: float) -> None:
        """Learns of the end of a call, with a load report."""


@typing.final
class Play:
    """One run of a load with one player."""

    def __init__(
        self,
        load: Load,
        new_player: typing.Callable[[Play], _Player],
        seed: int = 44,
    ) -> None:
        """Prepares the run; equal loads and seeds get equal calls."""
        self.load = load
        self.clock = clock.ManualClock(start=10_000)
        self.rng = random.Random(seed)
        self.domains = [
            domain
            for domain, count in enumerate(load.targets)
            for _ in range(count)
        ]
        self.running = [0] * len(self.domains)
        self.probes = 0
        self._waiting: list[collections.deque[_Call]] = [
            collections.deque() for _ in self.domains
        ]
        self._slow_phases = [
            [self.rng.random() < load.slow_part for _ in range(200)]
            for _ in self.domains
        ]
        self._events: list[typing.Any] = []
        self._numbers = itertools.count()
        self._counts = [0] * len(self.domains)
        self._tiers = [0, 0, 0]
        self._idle: collections.Counter[tuple[int, int]] = collections.Counter()
        self._connections = 0
        self._latencies: list[float] = []
        self._history: collections.deque[typing.Any] = collections.deque()
        self._player = new_player(self)

    def run(self) -> Result:
        """Plays all calls to their end."""
        for began, entry, work in self._arrivals():
            self._at(began, functools.partial(self._arrive, entry, work))
        while self._events:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(due - self.clock.now())
            action()
        done = sorted(self._latencies)
        return Result(
            done[len(done) // 2],
            done[len(done) * 99 // 100],
            sum(done) / len(done),
            max(self._counts) * len(self._counts) / len(done),
            self._tiers[1] / len(done),
            self._tiers[2] / len(done),
            self.probes / len(done),
            self._connections / len(done),
        )

    def tier(self, entry: int, target: int) -> int:
        """Returns the tier of a target for an entry."""
        own, other = self.domain_of(entry), self.domains[target]
        return 0 if own == other else 1 + (own // 2 != other // 2)

    def domain_of(self, entry: int) -> int:
        """Returns the failure domain of an entry."""
        return entry % len(self.load.targets)

    def has_idle(self, entry: int, target: int) -> bool:
        """Whether an entry has an idle connection to a target."""
        return self._idle[entry, target] > 0

    def calls(self, target: int) -> int:
        """Returns the calls that run or wait at a target."""
        return self.running[target] + len(self._waiting[target])

    def slowness(self, target: int, now: float) -> float:
        """Returns how slow a target's host is."""
        phase = int((now - 10_000) / _PHASE_MS)
        is_slow = self._slow_phases[target][phase % 200]
        back = self.load.out_ms[1] + 10_000
        if self.domains[target] == 0 and back <= now < back + 1000:
            return self.load.slow_factor
        return self.load.slow_factor if is_slow else 1.0

    def report(self, target: int) -> tuple[int, float, float]:
        """Returns calls, slowness and age of the newest report to be had."""
        now = self.clock.now()
        if not self.load.picture_age_ms:
            return self.calls(target), self.slowness(target, now), 0
        counts = list(map(self.calls, range(len(self.domains))))
        self._history.append((now, counts))
        while now - self._history[0][0] > self.load.picture_age_ms:
            self._history.popleft()
        seen_at, counts = self._history[0]
        return counts[target], self.slowness(target, seen_at), now - seen_at

    def _arrivals(self) -> list[tuple[float, int, float]]:
        load = self.load
        arrivals = []
        for entry in range(load.entries):
            began = 0.0
            phase = self.domain_of(entry) * load.phase
            while began < load.seconds * clock.MS_PER_SECOND:
                wave = began / clock.MS_PER_SECOND / load.seconds + phase
                rate = 1 + load.swing * math.sin(wave * 2 * math.pi)
                began += self.rng.expovariate(load.calls_s * rate / 1000)
                work = self.rng.expovariate(1 / load.work_ms)
                arrivals.append((10_000 + began, entry, work))
        return arrivals

    def _at(self, due: float, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def _arrive(self, entry: int, work: float) -> None:
        now = self.clock.now()
        out, back = self.load.out_ms
        usable = [
            target
            for target, domain in enumerate(self.domains)
            if domain or not out <= now - 10_000 < back
        ]
        target = self._player.choose(entry, usable)
        call = _Call(entry, now, work, self.tier(entry, target))
        self._counts[target] += 1
        self._tiers[call.tier] += 1
        if self.has_idle(entry, target):
            self._idle[entry, target] -= 1
        else:
            self._connections += 1
        arrives = now + _WAY_MS[call.tier] / 2
        self._at(arrives, functools.partial(self._reach, target, call))

    def _reach(self, target: int, call: _Call) -> None:
        self._waiting[target].append(call)
        self._serve(target)

    def _serve(self, target: int) -> None:
        waiting = self._waiting[target]
        while waiting and self.running[target] < self.load.slots:
            self.running[target] += 1
            call = waiting.popleft()
            is_full = self.running[target] > _FULL_LOAD * self.load.slots
            factor = self.load.full_factor if is_full else 1.0
            ended = self._end_of(target, call.work_ms * factor)
            self._at(ended, functools.partial(self._end, target, call))

    def _end_of(self, target: int, work: float) -> float:
        now = self.clock.now()
        while True:
            phase_end = now + _PHASE_MS - (now - 10_000) % _PHASE_MS
            slowness = self.slowness(target, now)
            if work * slowness <= phase_end - now:
                return now + work * slowness
            work -= (phase_end - now) / slowness
            now = phase_end + 1e-6

    def _end(self, target: int, call: _Call) -> None:
        self.running[target] -= 1
        self._serve(target)
        way = _WAY_MS[call.tier] / 2
        self._at(
            self.clock.now() + way,
            functools.partial(self._answer, target, call),
        )

    def _answer(self, target: int, call: _Call) -> None:
        duration = self.clock.now() - call.began
        self._latencies.append(duration)
        self._idle[call.entry, target] += 1
        self._player.end(call.entry, target, duration)


@typing.final
class Ideal:
    """One queue that sees all: the soonest answer, way and slowness known."""

    def __init__(self, play: Play) -> None:
        """Sees the whole ``play``."""
        self._play = play
        self._sent = [0] * len(play.domains)

    def choose(self, entry: int, usable: list[int]) -> int:
        """Returns the target that is free, fast and near."""
        play = self._play

        def expected(target: int) -> float:
            slowness = play.slowness(target, play.clock.now())
            calls = self._sent[target] + 1
            waiting = max(0, calls - play.load.slots)
            work = play.load.work_ms * slowness
            if calls > _FULL_LOAD * play.load.slots:
                work *= play.load.full_factor
            way = _WAY_MS[play.tier(entry, target)]
            return way + work * (1 + waiting / play.load.slots)

        chosen = min(
            usable, key=lambda target: (expected(target), self._sent[target])
        )
        self._sent[chosen] += 1
        return chosen

    def end(self, entry: int, target: int, duration: float) -> None:
        """Counts the end of a call."""
        self._sent[target] -= 1


@typing.final
class Shared:
    """Entries that share what they know of each domain's targets."""

    def __init__(self, play: Play) -> None:
        """Starts without knowledge."""
        self._play = play
        rng = play.rng
        domains = range(len(play.load.targets))
        self._pictures = [sightings.DomainPicture(rng) for _ in domains]
        self._placements = [
            placement.Soonest(random.Random(entry))
            for entry in range(play.load.entries)
        ]
        self._own: collections.Counter[tuple[int, int]] = collections.Counter()
        self._usual = [0.0] * play.load.entries

    def choose(self, entry: int, usable: list[int]) -> int:
        """Asks the keepers from the nearest tier on, and places the call."""
        play = self._play
        seen: dict[str, sightings.Sighting] = {}
        for tier in range(3):
            if tier == 2 and any(map(self._has_slot, seen.values())):
                break
            in_tier = [
                target for target in usable if play.tier(entry, target) == tier
            ]
            told = self._ask(in_tier)
            seen.update((sighting.target, sighting) for sighting in told)
            if any(map(self._is_idle, told)):
                break
        options = [
            self._option(entry, int(name), sighting)
            for name, sighting in seen.items()
        ]
        index = self._placements[entry].place(options)
        target = int(options[index].name)
        self._own[entry, target] += 1
        self._picture(target).begin_call(str(target), play.clock.now())
        return target

    def end(self, entry: int, target: int, duration: float) -> None:
        """Tells the keeper."""
        self._own[entry, target] -= 1
        usual = self._usual[entry] or duration
        self._usual[entry] = usual + 0.02 * (duration - usual)
        now = self._play.clock.now()
        picture = self._picture(target)
        picture.end_call(str(target), now, duration, has_failed=False)
        self._report(target)

    def _ask(self, asked: list[int]) -> list[sightings.Sighting]:
        play = self._play
        told = []
        domains = {play.domains[target] for target in asked}
        for domain in domains:
            own = [target for target in asked if play.domains[target] == domain]
            slots = dict.fromkeys(map(str, own), play.load.slots)
            picture = self._pictures[domain]
            for _round in range(2):
                for name in picture.targets_to_ask(slots, play.clock.now()):
                    play.probes += 1
                    self._report(int(name))
            told += picture.sightings(slots, play.clock.now())
        return told

    def _report(self, target: int) -> None:
        calls, slowness, age = self._play.report(target)
        self._picture(target).report(
            str(target),
            calls,
            slowness,
            reported_at=self._play.clock.now() - age,
        )

    def _picture(self, target: int) -> sightings.DomainPicture:
        return self._pictures[self._play.domains[target]]

    def _is_idle(self, sighting: sightings.Sighting) -> bool:
        is_fresh = sighting.report_age_ms <= targets.FRESH_REPORT_MAX_AGE_MS
        is_fast = sighting.slowness <= _MAX_USUAL_SLOWNESS
        has_room = sightings.has_room(sighting.calls, self._play.load.slots)
        return is_fresh and is_fast and has_room

    def _has_slot(self, sighting: sightings.Sighting) -> bool:
        return sighting.calls < self._play.load.slots

    def _option(
        self, entry: int, target: int, seen: sightings.Sighting
    ) -> placement.Option:
        own = self._own[entry, target]
        return placement.Option(
            seen.target,
            self._play.tier(entry, target),
            self._play.load.slots,
            own,
            max(0.0, seen.calls - own),
            seen.report_age_ms,
            seen.slowness,
            self._usual[entry],
            pace=seen.pace,
            failing=seen.failing,
            is_connected=self._play.has_idle(entry, target),
        )


@typing.final
class Alone:
    """Today's decision: each entry asks targets itself."""

    def __init__(self, play: Play) -> None:
        """Starts all entries without knowledge."""
        self._play = play
        names = tuple(map(str, range(play.load.entries)))
        self._view = shares.ShareView('0')
        self._view.commit(shares.EntryList(1, names))
        domains = {name: play.domain_of(int(name)) for name in names}
        self._view.update_domains({name: str(domains[name]) for name in names})
        self._view.update_regions(
            {name: str(domains[name] // 2) for name in names}
        )
        self._states = [self._new_states(entry) for entry in map(int, names)]
        self._probers = [self._new_prober(entry) for entry in map(int, names)]
        self._policies = [
            expected_time.ExpectedTime(random.Random(name)) for name in names
        ]

    def choose(self, entry: int, usable: list[int]) -> int:
        """Asks targets, and chooses as the policy does."""
        states = [self._states[entry][target] for target in usable]
        self._probers[entry].refresh_reports(states)
        now = self._play.clock.now()
        chosen = self._policies[entry].choose(states, now)
        chosen.begin_call()
        return int(chosen.row.name)

    def end(self, entry: int, target: int, duration: float) -> None:
        """Records the answer with its report."""
        state = self._states[entry][target]
        self._report(state)
        state.record_answer(duration, reported=None)
        state.in_flight -= 1

    def start_load_probe(self, target: targets.TargetState) -> gevent.Greenlet:
        """Reports at once."""
        self._play.probes += 1
        self._report(target)
        done = gevent.Greenlet()
        done.start()
        done.join()
        return done

    def _report(self, state: targets.TargetState) -> None:
        calls, slowness, age = self._play.report(int(state.row.name))
        report = dialect.LoadReport(calls, 0, slowness)
        state.record_report(report, age=age)

    def _new_states(self, entry: int) -> list[targets.TargetState]:
        states = []
        for target, domain in enumerate(self._play.domains):
            row = protocol.TargetRow(
                str(target),
                'service',
                '127.0.0.1:1',
                str(domain // 2),
                str(domain),
                self._play.load.slots,
                1,
                1,
                1,
                is_warm=True,
                is_leaving=False,
                shed_statuses=[],
            )
            state = targets.TargetState(row, self._play.clock)
            state.tier = self._play.tier(entry, target)
            states.append(state)
        return states

    def _new_prober(self, entry: int) -> load_prober.LoadProber:
        domain = self._play.domain_of(entry)
        budget = probe_budget.ProbeBudget(
            self._view,
            self._play.clock,
            region=str(domain // 2),
            domain=str(domain),
            per_target_s=_PROBES_PER_TARGET_S,
            on_skipped=lambda: None,
            rng=random.Random(entry),
        )
        prober = typing.cast(typing.Any, self)
        return load_prober.LoadProber(prober, self._play.clock, budget)
