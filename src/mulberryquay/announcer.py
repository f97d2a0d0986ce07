"""Announces a target to the control hosts and renews its lease."""

from __future__ import annotations

import json
import logging
import typing

import gevent
import urllib3

from mulberryquay import http_pool
from mulberryquay.coordination import clock, errors

#: Renewals per lease, so that two of them may be lost.
_RENEWALS_PER_LEASE: typing.Final = 3

#: Pause after a failed announcement or renewal.
_RETRY_DELAY_MS: typing.Final = 500.0
_REQUEST_TIMEOUT_S: typing.Final = 2.0
_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404

_LOG: typing.Final = logging.getLogger(__name__)

Announcement = dict[str, typing.Any]


@typing.final
class AnnounceError(errors.MulberryquayError):
    """No control host accepted the announcement or renewal."""

    code = 'announce-failed'


@typing.final
class Announcer:
    """Announces one target; tries the control hosts one after the other.

    The background task yields to other greenlets only if gevent has patched
    the standard library, as `launch.patch` does.
    """

    def __init__(
        self,
        announcement: Announcement,
        api_addresses: typing.Sequence[str],
        *,
        time_source: clock.Clock | None = None,
    ) -> None:
        """``api_addresses`` are the ``host:port`` of the resource APIs."""
        self._announcement = announcement
        self._addresses = list(api_addresses)
        self._clock = time_source or clock.Clock()
        self._pool = http_pool.new_manager(_REQUEST_TIMEOUT_S)
        self._task: gevent.Greenlet | None = None
        self._lease_ms = 0.0

    def start(self) -> None:
        """Announces in the background, then renews the lease until `leave`."""
        self._task = gevent.spawn(self._run)

    def announce(self) -> None:
        """Announces once; raises AnnounceError."""
        status, answer = self._send(
            'POST',
            '/v1/announcements',
            self._announcement,
        )
        if status != _OK:
            raise AnnounceError(
                f'the control host refused the announcement: {answer}'
            )
        self._lease_ms = answer['lease_ms']

    def leave(self) -> None:
        """Withdraws the target, so that it gets no new requests.

        Raises AnnounceError.
        """
        self.stop()
        name = self._announcement['name']
        incarnation = self._announcement['incarnation']
        self._send(
            'DELETE',
            f'/v1/announcements/{name}?incarnation={incarnation}',
            None,
        )

    def stop(self) -> None:
        """Stops renewing without notifying a control host, as in a crash."""
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
                wait_ms = self._lease_ms / _RENEWALS_PER_LEASE
            except AnnounceError as error:
                _LOG.debug(
                    'announcement or renewal failed',
                    extra={'cause': str(error)},
                )
                wait_ms = _RETRY_DELAY_MS
            self._clock.sleep(wait_ms)

    def _renew(self) -> bool:
        """Renews the lease; returns False if it must be announced again."""
        name = self._announcement['name']
        status, answer = self._send(
            'PUT',
            f'/v1/announcements/{name}',
            {'incarnation': self._announcement['incarnation']},
        )
        if status == _NOT_FOUND:
            return False
        if status != _OK:
            raise AnnounceError(
                f'the control host refused the renewal: {answer}'
            )
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
            return response.status, _decode(response.data)
        raise AnnounceError('no control host could be reached')


def _decode(answer: bytes) -> typing.Any:
    try:
        return json.loads(answer)
    except ValueError as error:
        raise AnnounceError(
            f'got an answer that is not JSON: {error}'
        ) from error
