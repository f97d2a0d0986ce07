"""Connects a control host to the others in its group."""

from __future__ import annotations

import logging
import pathlib
import random
import typing
import uuid

import gevent

from mulberryquay import crash_messages, protocol
from mulberryquay.control import (
    directory,
    entry_reports,
    feed,
    host_protocol,
    membership,
    orders,
    permit_desk,
    replicated_state,
    roll_outs,
    target_cache,
)
from mulberryquay.coordination import (
    broadcast,
    clock,
    journal,
    rpc,
    shares,
    stream_load,
    units,
    wire,
)
from mulberryquay.coordination.replication import disk, replica
from mulberryquay.decisions import rate_slack
from mulberryquay.decisions import roll_outs as roll_out_decisions

#: A control host that sent no update for this long is left out of the list
#: of hosts that entries get.
HOST_LEASE_MS: typing.Final = 8000.0

#: Most other hosts that are remembered; the one silent longest is forgotten.
_MAX_HOSTS: typing.Final = 1000

#: How often a host checks whether it has become or is no longer the leader.
_LEADERSHIP_CHECK_INTERVAL_MS: typing.Final = 50.0

_LOG: typing.Final = logging.getLogger(__name__)

Message = tuple[typing.Any, ...]

#: What hosts tell each other, besides orders and the replicated log.
_REPORTS: typing.Final = (
    host_protocol.HostUpdate,
    host_protocol.EntriesReported,
    host_protocol.PermitsRequested,
    host_protocol.VersionsReported,
)


class StreamLimits(typing.NamedTuple):
    """What the streams to a control host may hold, by port."""

    feed: stream_load.Limits = stream_load.UNLIMITED
    hosts: stream_load.Limits = stream_load.UNLIMITED


class HostConfig(typing.NamedTuple):
    """The settings of a control host in its group."""

    info: host_protocol.HostInfo
    #: Addresses of control hosts, which may include its own.
    contacts: tuple[str, ...]
    #: Whether these hosts form a new group if their data folders are empty.
    is_founding: bool
    data_folder: pathlib.Path
    account_slack: rate_slack.SlackLimits = rate_slack.SlackLimits()
    stream_limits: StreamLimits = StreamLimits()
    #: What declared resources may hold in memory.
    max_store_bytes: int = units.MAX_INT64
    #: How many targets may be known.
    max_targets: int = units.MAX_INT64


@typing.final
class Cluster:
    """The state and the tasks of one control host in its group."""

    def __init__(
        self,
        config: HostConfig,
        time_source: clock.Clock,
        *,
        lease: float,
        bounds: roll_out_decisions.Bounds | None = None,
    ) -> None:
        """Restores the state; raises FolderInUseError and
        JournalCorruptError.

        ``lease`` is how long a target stays listed without a renewal, in ms;
        ``bounds`` limit what a bad version gets in a roll-out.
        """
        self._info = config.info
        self._stream_limits = config.stream_limits
        self._clock = time_source
        self._incarnation = uuid.uuid4().hex
        self._hosts: dict[str, tuple[host_protocol.HostInfo, float]] = {}
        self._replica_network = rpc.Clients(host_protocol.CODEC)
        self._network = rpc.Clients(host_protocol.CODEC)
        self._permit_network = rpc.Clients(host_protocol.CODEC)
        self.state = replicated_state.ReplicatedState(config.max_store_bytes)
        self.targets = directory.Directory(
            time_source,
            ended=self.state.ended_targets,
            lease=lease,
            max_targets=config.max_targets,
        )
        self.targets.publish = self.publish
        self.entries = membership.Membership(time_source)
        self.replica = replica.Replica(
            replica.ReplicaOptions(
                config.info.address,
                config.contacts,
                config.is_founding,
            ),
            self.state,
            disk.Disk(journal.Journal(config.data_folder)),
            self._replica_network,
            time_source=time_source,
            rng=random.Random(),
        )
        self.state.bind(self.replica)
        self.orders = orders.Orders(
            self.state,
            self.targets,
            self.replica,
            self._network,
            time_source,
        )
        self.reports = entry_reports.EntryReports(
            self.entries,
            self.replica,
            self._network,
            time_source,
        )
        self.permits = permit_desk.PermitDesk(
            self.replica,
            self._permit_network,
            self.state.store,
            time_source,
            address=config.info.address,
            slack=config.account_slack,
        )
        self.feed = feed.Feed(
            self.state.store,
            self.targets,
            self.entries,
            time_source,
            self,
        )
        self.roll_outs = roll_outs.RollOuts(
            roll_outs.Host(
                self.state.store,
                self.targets,
                self.entries,
                self.replica,
                self.orders,
                self._network,
            ),
            time_source,
            bounds or roll_out_decisions.Bounds(),
        )
        self.targets.find_roll_out = self.roll_outs.find_number
        self._cache = target_cache.TargetCache(
            config.data_folder,
            self.targets,
            time_source,
        )
        self._broadcast = broadcast.Broadcast(self, self._network, time_source)
        self._server: rpc.Server | None = None
        self._published_lists: host_protocol.EntryLists | None = None
        self._task: gevent.Greenlet | None = None

    @property
    def is_in_touch(self) -> bool:
        """Whether this host is in contact with the majority.

        Only then is it sure to get every change that is committed.
        """
        return self.replica.is_in_touch

    @property
    def stream_limits_met(self) -> dict[str, int]:
        """How often a limit of streams was met, by port."""
        hosts = 0 if self._server is None else self._server.limits_met
        return {'feed': self.feed.limits_met, 'hosts': hosts}

    def start(self, listener: typing.Any, feed_listener: typing.Any) -> None:
        """Starts to serve the other hosts and the entries."""
        self._server = rpc.Server(
            listener,
            host_protocol.CODEC,
            self._handle,
            self._stream_limits.hosts,
        )
        self._server.start()
        self.replica.start()
        self._cache.start()
        self._broadcast.start()
        self.reports.start()
        self.permits.start()
        self.roll_outs.start()
        self.feed.start(feed_listener, self._stream_limits.feed)
        self._task = gevent.spawn(self._watch_leadership)

    def stop(self) -> None:
        """Hands over leadership, if this host leads, and closes all streams."""
        self.replica.hand_over()
        if self._task is not None:
            self._task.kill()
        self.feed.stop()
        self._cache.stop()
        self.roll_outs.stop()
        self.reports.stop()
        self.permits.stop()
        self._broadcast.stop()
        self.replica.stop()
        if self._server is not None:
            self._server.stop()
        self._network.close()
        self._permit_network.close()
        self._replica_network.close()

    def publish(self, message: Message) -> None:
        """Queues a message for all other control hosts."""
        self._broadcast.publish(message)

    def wait_until_current(self) -> None:
        """Waits until this host has every change acknowledged so far.

        Raises NoQuorumError.
        """
        self.replica.read_barrier(timeout=orders.ORDER_TIMEOUT_MS)

    def live_hosts(self) -> list[host_protocol.HostInfo]:
        """Returns this host and those that sent an update recently."""
        oldest = self._clock.now() - HOST_LEASE_MS
        known = [self._info]
        known += [
            info for info, heard_at in self._hosts.values() if heard_at > oldest
        ]
        return known

    def list_hosts(self) -> list[list[str]]:
        """Returns the address, region and domain of each live host's feed."""
        return sorted(
            [info.feed_address, info.region, info.domain]
            for info in self.live_hosts()
        )

    def list_peers(self) -> list[str]:
        """Returns the addresses of all other members."""
        return [
            address
            for address in self.replica.members.values()
            if address != self._info.address
        ]

    def snapshot_updates(self) -> list[Message]:
        """Returns updates with all state that is not in the replicated log."""
        updates: list[Message] = [
            host_protocol.TargetAnnounced(list(row))
            for row in self.targets.list_targets()
        ]
        updates += self.feed.target_reports.verdicts()
        if self.entries.is_leading:
            updates.append(self._lists_message())
        return updates

    def make_call(
        self,
        updates: list[Message],
        *,
        is_snapshot: bool,
    ) -> host_protocol.HostUpdate:
        """Returns the call that carries updates to another host."""
        return host_protocol.HostUpdate(
            list(self._info) if is_snapshot else [],
            self._info.address,
            is_snapshot,
            [host_protocol.UPDATES.fields_of(message) for message in updates],
        )

    def read_incarnation(self, answer: host_protocol.HostUpdateAck) -> str:
        """Returns the incarnation of the host that answered."""
        return answer.incarnation

    def _watch_leadership(self) -> None:
        while True:
            self._update_leadership()
            self._clock.sleep(_LEADERSHIP_CHECK_INTERVAL_MS)

    def _update_leadership(self) -> None:
        """Starts or stops deciding on entry lists as leadership changes."""
        leads = self.replica.is_caught_up_leader
        if self.replica.is_leader and not leads:
            return
        self.entries.set_leader_term(self.replica.term if leads else 0)
        self.permits.set_leader_term(self.replica.term if leads else 0)
        if leads:
            self.entries.update()
            self._publish_lists()

    def _handle(self, request: typing.Any) -> Message:
        if isinstance(request, _REPORTS):
            wire.check_texts(request)
            return self._handle_report(request)
        if isinstance(request, host_protocol.ORDERS):
            deadline = self._clock.now() + orders.ORDER_TIMEOUT_MS
            return host_protocol.OrderResult(
                self.orders.decide(request, deadline),
            )
        answer: Message = self.replica.handle(request)
        return answer

    def _handle_report(self, report: typing.Any) -> Message:
        match report:
            case host_protocol.EntriesReported():
                return self.reports.handle_report(report)
            case host_protocol.PermitsRequested():
                return self.permits.handle(report)
            case host_protocol.VersionsReported(rows):
                self.roll_outs.record(rows)
                return host_protocol.VersionsReportAck(self.replica.is_leader)
        return self._handle_host_update(report)

    def _handle_host_update(
        self,
        host_update: host_protocol.HostUpdate,
    ) -> host_protocol.HostUpdateAck:
        address = host_update.address
        if host_update.sender:
            sender = host_protocol.HostInfo(*host_update.sender)
            self._hosts[address] = (sender, self._clock.now())
            self._forget_silent_host()
        else:
            known = self._hosts.get(address)
            if known is not None:
                self._hosts[address] = (known[0], self._clock.now())
        for fields in host_update.updates:
            try:
                self._apply_update(host_protocol.UPDATES.decode(fields))
            except wire.ProtocolError as error:
                _LOG.warning(
                    'host update not decoded',
                    extra={'sender': address, 'cause': str(error)},
                )
        return host_protocol.HostUpdateAck(self._incarnation)

    def _forget_silent_host(self) -> None:
        if len(self._hosts) > _MAX_HOSTS:
            silent = min(self._hosts, key=lambda known: self._hosts[known][1])
            self._hosts.pop(silent)

    def _apply_update(self, update: typing.Any) -> None:
        match update:
            case host_protocol.TargetAnnounced(row):
                self.targets.merge_announced(protocol.TargetRow(*row))
            case host_protocol.TargetLeasesRenewed(incarnations):
                self.targets.apply_renewals(incarnations)
            case host_protocol.TargetsReported():
                self.feed.target_reports.apply(update)
            case host_protocol.EntryLists():
                self._apply_entry_lists(update)
            case (
                crash_messages.ConnectionLost()
                | crash_messages.RequestCleared()
            ):
                self.feed.target_reports.apply_crash(update)
            case (
                crash_messages.RequestBlocked()
                | crash_messages.RequestSuspected()
            ):
                self.feed.target_reports.apply_verdict(update)

    def _apply_entry_lists(self, lists: host_protocol.EntryLists) -> None:
        pending = None
        if lists.pending_epoch:
            pending = shares.EntryList(
                lists.pending_epoch, tuple(lists.pending)
            )
        self.entries.apply_state(
            membership.MembershipState(
                shares.EntryList(lists.committed_epoch, tuple(lists.committed)),
                pending,
                lists.peers,
            ),
        )
        self.feed.send_entry_list()

    def _lists_message(self) -> host_protocol.EntryLists:
        lists = self.entries.state
        pending = lists.pending or shares.EntryList(0, ())
        return host_protocol.EntryLists(
            lists.committed.epoch,
            list(lists.committed.members),
            pending.epoch,
            list(pending.members),
            lists.peers,
        )

    def _publish_lists(self) -> None:
        message = self._lists_message()
        if message != self._published_lists:
            self._published_lists = message
            self.publish(message)
            self.feed.send_entry_list()
