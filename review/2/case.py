"""An answer without a length is cut short by the end of an entry."""

import pathlib
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'common'))

import deployment as parts  # noqa: E402

#: The largest answer of the site, in parts: a slow backend.
PART = 3000
PARTS = 10
GAP_S = 0.1


def whole_body(request_id: str) -> bytes:
    return (request_id.encode() + b'.') * (PART * PARTS // (len(request_id) + 1))


def answer_unframed(handler, request_id: str, headers) -> bool:
    """Sends an answer that has no length and ends with its connection."""
    lines = ['HTTP/1.1 200 Answer', 'Connection: close']
    lines += [f'{key}: {headers[key]}' for key in headers]
    handler.wfile.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
    body = whole_body(request_id)
    for start in range(0, len(body), PART):
        handler.wfile.write(body[start : start + PART])
        time.sleep(GAP_S)
    return False


def ask(address, request_id: str) -> tuple[str, bytes, bool]:
    """Returns the head, the body and whether the connection ended in order."""
    received = b''
    with socket.create_connection(address, timeout=1) as connection:
        connection.settimeout(5)
        connection.sendall(
            b'GET /p/sheet HTTP/1.1\r\nHost: pricing.example\r\n'
            b'X-Deadline-Milliseconds: 3000\r\n'
            + f'X-Request-Id: {request_id}\r\n\r\n'.encode()
        )
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except OSError:
            return '', received, False
    head, _, body = received.partition(b'\r\n\r\n')
    return head.decode('latin-1'), body, True


class Asker:
    """Sends requests to one entry and judges each answer."""

    def __init__(self, record, entry) -> None:
        self._record = record
        self._entry = entry
        self.is_stopped = False
        self.counts = {'whole': 0, 'broken off': 0, 'looks complete': 0}
        self.threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(4)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self) -> None:
        while not self.is_stopped:
            request_id = f'{random.getrandbits(64):016x}'
            self._record.add(f'client sends {request_id} to {self._entry.name}')
            try:
                head, body, in_order = ask(self._entry.front, request_id)
            except OSError as error:
                self._record.add(f'client of {request_id}: {error!r}')
                time.sleep(0.2)
                continue
            verdict = judge(head, body, in_order, request_id)
            self.counts[verdict] += 1
            status = head.partition('\r\n')[0] or 'no answer'
            self._record.add(
                f'client of {request_id} got {status}, {len(body)} bytes of '
                f'{len(whole_body(request_id))}, '
                f'{"end" if in_order else "reset"}: {verdict}'
            )
            if verdict == 'looks complete':
                self._record.add(f'head of {request_id}: {head!r}')
            time.sleep(0.05)


def judge(head: str, body: bytes, in_order: bool, request_id: str) -> str:
    """Says whether an answer is whole as its head frames it."""
    fields = {}
    for line in head.lower().split('\r\n')[1:]:
        key, _, text = line.partition(':')
        fields[key] = text.strip()
    if not in_order or not head.startswith('HTTP/1.1 2'):
        return 'broken off'
    if fields.get('transfer-encoding') == 'chunked':
        decoded, is_ended = decode_chunks(body)
        if not is_ended:
            return 'broken off'
        body = decoded
    elif 'content-length' in fields:
        if len(body) < int(fields['content-length']):
            return 'broken off'
    if 'x-server-signature' not in fields:
        return 'looks complete'
    return 'whole' if body == whole_body(request_id) else 'looks complete'


def decode_chunks(encoded: bytes) -> tuple[bytes, bool]:
    """Returns the decoded body and whether its last chunk is there."""
    decoded = b''
    while True:
        size_line, separator, rest = encoded.partition(b'\r\n')
        if not separator:
            return decoded, False
        size = int(size_line.partition(b';')[0], 16)
        if len(rest) < size + 2:
            return decoded, False
        if not size:
            return decoded, True
        decoded += rest[:size]
        encoded = rest[size + 2 :]


def run(record: parts.Record, with_trouble: bool) -> int:
    system = parts.Deployment(record, controls=3, entries=3)
    runs: list[parts.Run] = []
    askers = []
    try:
        system.start()
        time.sleep(4)
        routes = {'pricing': {'timeout_s': 3}}
        parts.order(
            record,
            system.controls,
            'POST',
            '/configuration/put',
            parts.configuration(1, routes),
        )
        for number, zone in enumerate(parts.ZONES):
            backend = parts.Backend(
                system, f'i-{zone}', 'pricing', zone, number, runs
            )
            backend.answer = answer_unframed
            backend.start()
            backend.keep_checking_in()
        system.wait_until_ready()
        time.sleep(1)
        askers = [Asker(record, entry) for entry in system.entries]
        time.sleep(4)
        system.check_running()
        if not all(asker.counts['whole'] for asker in askers):
            raise parts.CannotRunError('nothing was served before')
        if with_trouble:
            killed = system.entries[0]
            killed.kill()
            time.sleep(1)
            killed.start(first_start=False)
        time.sleep(6)
        for asker in askers:
            asker.is_stopped = True
        for thread in [thread for asker in askers for thread in asker.threads]:
            thread.join(6)
        system.check_running()
        for entry, asker in zip(system.entries, askers):
            record.add(f'answers of {entry.name}: {asker.counts}')
        wrong = sum(asker.counts['looks complete'] for asker in askers)
        record.add(f'{wrong} answers ended early and look complete')
        return parts.BROKEN if wrong else parts.HOLDS
    finally:
        system.stop()


parts.main(run)
