"""An answer whose backend pauses for more than 30 s is broken off."""

import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'common'))

import deployment as parts  # noqa: E402

PART = b'x' * 1000
REQUESTS = 6

#: The route's and the clients' time limits; the pages allow ten minutes.
TIMEOUT_S = 90


class Sheet:
    """Answers in two parts, with a pause between them."""

    def __init__(self, record, pause_s: float) -> None:
        self._record = record
        self._pause_s = pause_s
        self.finished = 0

    def __call__(self, handler, request_id: str, headers) -> bool:
        lines = ['HTTP/1.1 200 Answer', 'Transfer-Encoding: chunked']
        lines += [f'{key}: {headers[key]}' for key in headers]
        handler.wfile.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        chunk = b'%x\r\n%b\r\n' % (len(PART), PART)
        handler.wfile.write(chunk)
        time.sleep(self._pause_s)
        handler.wfile.write(chunk + b'0\r\n\r\n')
        self.finished += 1
        self._record.add(f'backend sent the whole answer to {request_id}')
        return True


class Caller(threading.Thread):
    """Sends two requests on one kept connection."""

    def __init__(self, record, entry) -> None:
        super().__init__(daemon=True)
        self._record = record
        self._entry = entry
        self.answers: list[str] = []

    def run(self) -> None:
        with socket.create_connection(self._entry.front, timeout=1) as kept:
            kept.settimeout(TIMEOUT_S)
            stream = kept.makefile('rb')
            for path, host in (('/p/a', 'stock'), ('/p/b', 'pricing')):
                request_id = f'{random.getrandbits(64):016x}'
                began = time.monotonic()
                kept.sendall(
                    f'GET {path} HTTP/1.1\r\nHost: {host}.example\r\n'
                    f'X-Deadline-Milliseconds: {(TIMEOUT_S - 10) * 1000}\r\n'
                    f'X-Request-Id: {request_id}\r\n\r\n'.encode()
                )
                try:
                    answer = read_answer(stream)
                except (OSError, ValueError) as error:
                    answer = f'no whole answer: {error!r}'
                self.answers.append(answer)
                took = time.monotonic() - began
                self._record.add(
                    f'client of {request_id} ({host}) after {took:.1f} s: '
                    f'{answer}'
                )


def read_answer(stream) -> str:
    """Returns the status of a whole answer; raises OSError, ValueError."""
    status = stream.readline().split(b' ')[1].decode()
    fields = {}
    while (line := stream.readline()) not in (b'\r\n', b''):
        key, _, text = line.decode('latin-1').partition(':')
        fields[key.lower()] = text.strip()
    size = 0
    if 'content-length' in fields:
        size = len(stream.read(int(fields['content-length'])))
        return f'{status}, {size} bytes'
    while True:
        length = int(stream.readline(), 16)
        size += len(stream.read(length))
        stream.readline()
        if not length:
            return f'{status}, {size} bytes'


def run(record: parts.Record, with_trouble: bool) -> int:
    system = parts.Deployment(record, controls=3, entries=2)
    runs: list[parts.Run] = []
    sheet = Sheet(record, 40 if with_trouble else 4)
    try:
        system.start()
        time.sleep(4)
        routes = {'stock': {}, 'pricing': {'timeout_s': TIMEOUT_S}}
        parts.order(
            record,
            system.controls,
            'POST',
            '/configuration/put',
            parts.configuration(1, routes),
        )
        for number, service in enumerate(('stock', 'pricing')):
            backend = parts.Backend(
                system, f'i-{service}', service, 'north-a', number, runs
            )
            if service == 'pricing':
                backend.answer = sheet
            backend.start()
            backend.keep_checking_in()
        system.wait_until_ready()
        # From here on nothing disturbs machines, links or the core.
        time.sleep(4)
        callers = [
            Caller(record, system.entries[number % 2])
            for number in range(REQUESTS)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(60)
        time.sleep(2)
        system.check_running()
        firsts = [caller.answers[:1] for caller in callers]
        if not all(first and first[0].startswith('200') for first in firsts):
            raise parts.CannotRunError('the first requests failed')
        whole = [
            caller
            for caller in callers
            if caller.answers[1:] == [f'200, {2 * len(PART)} bytes']
        ]
        lost = len(callers) - len(whole)
        record.add(f'{lost} of {len(callers)} requests have no whole answer')
        return parts.BROKEN if lost > 3 else parts.HOLDS
    finally:
        system.stop()


parts.main(run)
