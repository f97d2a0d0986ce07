"""A running control host that serves the platform's calls."""

from __future__ import annotations

import contextlib
import json
import os
import typing
from unittest import mock

import urllib3

from mulberryquay import settings
from mulberryquay.control import daemon as control_daemon
from mulberryquay.kernel import plugins
from mulberryquay_platform import calls
from testing import fixtures
from testing.platform_adapter import samples


class PlatformClient:
    """Calls a control host as the platform's operators and targets do."""

    def __init__(self, daemon: control_daemon.ControlDaemon) -> None:
        self.daemon = daemon
        self._pool = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> tuple[int, bytes]:
        """Returns the status and the body of the answer."""
        answer = self._pool.request(
            method,
            f'http://127.0.0.1:{self.daemon.api_port}{path}',
            body=body,
        )
        return answer.status, answer.data

    def put(self, document: typing.Any) -> int:
        """Puts a configuration; returns the status."""
        body = samples.encoded(document)
        return self.call('POST', '/configuration/put', body)[0]

    def read_configuration(self) -> typing.Any:
        """Returns the configuration that the control host holds."""
        return json.loads(self.call('GET', '/configuration/get')[1])

    def send_heartbeat(self, name: str, **changes: typing.Any) -> int:
        """Sends a heartbeat; returns the status."""
        body = samples.encoded(samples.heartbeat(**changes))
        return self.call('POST', f'/instances/{name}/heartbeat', body)[0]


@contextlib.contextmanager
def running() -> typing.Iterator[PlatformClient]:
    """Yields a client of a control host that serves the platform's calls."""
    with fixtures.folder() as folder:
        path = folder / 'settings.toml'
        path.write_text(samples.SETTINGS)
        kernel = plugins.load_kernel()
        calls.mulberryquay_register(kernel)
        values = settings.with_defaults(
            control_daemon.SETTINGS,
            {
                'data_folder': str(folder / 'data'),
                'api_listen': '127.0.0.1:0',
                'feed_listen': '127.0.0.1:0',
                'host_listen': '127.0.0.1:0',
            },
        )
        daemon = control_daemon.ControlDaemon(values, kernel)
        with mock.patch.dict(
            os.environ,
            {'MULBERRYQUAY_NODE_FILE': str(path)},
        ):
            daemon.start()
        try:
            yield PlatformClient(daemon)
        finally:
            daemon.stop()
