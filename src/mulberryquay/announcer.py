"""Announces a target to the control hosts and keeps its lease."""

from __future__ import annotations

import json
import logging
import typing

import gevent
import urllib3

from mulberryquay.coordination import clock, errors

#: Renewals per lease, so that two may be lost.
_RENEWALS_PER_LEASE: typing.Final = 3
_RETRY_MS: typing.Final = 500.0
_TIMEOUT_S: typing.Final = 2.0
_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404

_LOG: typing.Final = logging.getLogger(__name__)

Announcement = dict[str, typing.Any]


@typing.final
class AnnounceError(errors.MulberryquayError):
    """No control host took the message."""

    code = 'announce-failed'


@typing.final
class Announcer:
    """Announces one target; tries each control host in turn.

    The background task cooperates only if gevent has patched the standard
    library, as `launch.patch` does.
    """

    def __init__(
        self,
        announcement: Announcement,
        api_addresses: typing.Sequence[str],
        *,
        time_source: clock.Clock | None = None,
    ) -> None:
        """``api_addresses`` are ``host:port`` of resource APIs."""
        self._announcement = announcement
        self._addresses = list(api_addresses)
        self._clock = time_source or clock.Clock()
        self._pool = urllib3.PoolManager(timeout=_TIMEOUT_S, retries=False)
        self._task: gevent.Greenlet | None = None
        self._lease = 0.0

    def start(self) -> None:
        """Announces in the background and renews until `leave`."""
        self._task = gevent.spawn(self._run)

    def announce(self) -> None:
        """Announces once; raises AnnounceError."""
        status, answer = self._send(
            'POST',
            '/v1/announcements',
            self._announcement,
        )
        if status != _OK:
            raise AnnounceError(f'the announcement was refused: {answer}')
        self._lease = answer['lease_ms']

    def leave(self) -> None:
        """Says that the target takes no new work; raises AnnounceError."""
        self.stop()
        name = self._announcement['name']
        incarnation = self._announcement['incarnation']
        self._send(
            'DELETE',
            f'/v1/announcements/{name}?incarnation={incarnation}',
            None,
        )

    def stop(self) -> None:
        """Stops to renew without a word, as after a crash."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _run(self) -> None:
        is_announced = False
        while True:
            try:
                if is_announced:
                    is_announced = self._renew()
                if not is_announced:
                    self.announce()
                    is_announced = True
                wait = self._lease / _RENEWALS_PER_LEASE
            except AnnounceError as error:
                _LOG.debug('announcement failed', extra={'cause': str(error)})
                wait = _RETRY_MS
            self._clock.sleep(wait)

    def _renew(self) -> bool:
        """Renews the lease; False if the target has to announce again."""
        name = self._announcement['name']
        status, answer = self._send(
            'PUT',
            f'/v1/announcements/{name}',
            {'incarnation': self._announcement['incarnation']},
        )
        if status == _NOT_FOUND:
            return False
        if status != _OK:
            raise AnnounceError(f'the renewal was refused: {answer}')
        return True

    def _send(
        self,
        method: str,
        path: str,
        body: Announcement | None,
    ) -> tuple[int, typing.Any]:
        for _attempt in self._addresses:
            address = self._addresses[0]
            try:
                response = self._pool.request(
                    method,
                    f'http://{address}{path}',
                    body=json.dumps(body) if body else None,
                )
            except urllib3.exceptions.HTTPError:
                self._addresses.append(self._addresses.pop(0))
                continue
            return response.status, json.loads(response.data)
        raise AnnounceError('no control host could be reached')
