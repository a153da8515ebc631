"""Stand-ins for the review's cases: discovery's agent, cache servers, the origin, clients; node processes.

All addresses are loopback addresses with free ports. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def free_port():
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def unix_ms():
    """Return Unix time in milliseconds, as lists give it."""
    return int(time.time() * 1000)  # noqa: TID251


class Record:
    """The record of a run: lines with the time since its start, by the monotonic clock."""

    def __init__(self, folder):
        self.zero = time.monotonic()
        self.path = os.path.join(folder, 'record.txt')
        self.file = open(self.path, 'w', encoding='utf-8')  # noqa: SIM115

    def now(self):
        return time.monotonic() - self.zero

    def add(self, what, **fields):
        self.file.write(
            '%9.4f %s %s\n' % (self.now(), what, ' '.join('%s=%s' % pair for pair in fields.items()))
        )
        self.file.flush()

    def say(self, text):
        self.file.write(text + '\n')
        self.file.flush()
        print(text, flush=True)


def fields_of(head):
    """Return the first line and the header fields of a head."""
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = [line.partition(':') for line in lines if line]
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    """Return the body of a chunked message, without extensions or trailers."""
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
    return body


async def read_message(reader):
    """Return (first line, fields, body) of the next message, or None if the connection ends before."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n'))[:-4]
        first, fields = fields_of(head)
        if fields.get('transfer-encoding', '').lower() == 'chunked':
            return first, fields, await read_chunks(reader)
        return first, fields, await reader.readexactly(int(fields.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer(status, body=b'', more=''):
    return ('HTTP/1.1 %d Status\r\nContent-Length: %d\r\n%s\r\n' % (status, len(body), more)).encode() + body


def reset(writer):
    """End a connection with a reset, as a process that dies does."""
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Server:
    """A process of the platform at one port, which can be ended and started again."""

    def __init__(self, record):
        self.record, self.port, self.listening, self.writers = record, free_port(), None, set()

    @property
    def address(self):
        return '127.0.0.1:%d' % self.port

    async def start(self):
        self.listening = await asyncio.start_server(self.serve, '127.0.0.1', self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.talk(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """End the process: its connections are reset and new ones refused."""
        self.listening.close()
        for writer in list(self.writers):
            reset(writer)


class Agent(Server):
    """Discovery's agent on a node's machine. It knows the changes since its own start.

    A watch from a version that it knows gets the changes since then; one from before, the whole list.
    """

    def __init__(self, record, rows, generation=41):
        super().__init__(record)
        self.rows, self.generation, self.first = (
            {row['instanceId']: row for row in rows},
            generation,
            generation,
        )
        self.changes, self.watches = [], {}

    def change(self, row):
        """Change one server's entry; open watches are told at once, later ones by their first line."""
        self.generation += 1
        self.rows[row['instanceId']] = row
        if row['lifecycle'] == 'DELETED':
            del self.rows[row['instanceId']]
        self.changes.append((self.generation, row))
        for writer in list(self.watches):
            self.tell(writer)

    def forget_changes(self):
        """Start anew with the present list and no changes before it."""
        self.first, self.changes = self.generation, []

    def tell(self, writer, first=False):
        """Send what a watch lacks; its first line comes even if that is nothing."""
        since = self.watches[writer]
        whole = since is None or since < self.first or since > self.generation
        rows = list(self.rows.values()) if whole else [row for at, row in self.changes if at > since]
        if rows or first:
            text = {'generation': self.generation, 'reset': whole, 'instances': rows}
            self.send(writer, json.dumps(text).encode() + b'\n')
            self.record.add(
                'told',
                generation=self.generation,
                whole=whole,
                servers=','.join('%s:%s' % (row['instanceId'], row['lifecycle']) for row in rows),
            )
        self.watches[writer] = self.generation

    @staticmethod
    def send(writer, data):
        writer.write(b'%x\r\n%s\r\n' % (len(data), data))

    async def talk(self, reader, writer):
        message = await read_message(reader)
        if message is None:
            return
        query = message[0].split(' ')[1].partition('?')[2]
        given = dict(part.partition('=')[::2] for part in query.split('&') if part)
        if given.get('stream') != '1':
            text = {'generation': self.generation, 'reset': True, 'instances': list(self.rows.values())}
            writer.write(answer(200, json.dumps(text).encode()))
            return
        self.record.add('watch', index=given.get('index', '-'))
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        self.watches[writer] = int(given['index']) if 'index' in given else None
        self.tell(writer, True)
        beat = asyncio.create_task(self.beat(writer))
        try:
            await reader.read()
        finally:
            beat.cancel()
            self.watches.pop(writer, None)

    async def beat(self, writer):
        while True:
            await asyncio.sleep(2.0)
            self.send(writer, b'\n')


class CacheServer(Server):
    """A cache server, or the origin: its cores, its work, the values that it has, and what it was sent."""

    def __init__(self, record, name, origin=None, cores=5, work=(0.078, 0.140), seed=0):
        super().__init__(record)
        self.name, self.origin, self.work = name, origin, work
        self.random = random.Random('%s/%s' % (name, seed))
        self.cores = asyncio.Semaphore(cores)
        self.values, self.missed = set(), {}  # missed, at the origin: by request id, who lacked the value
        self.draining = False
        self.sent = []  # (time of the last byte, request id, method, path, Idempotency-Key)
        self.ran = []  # (time, request id, method, path)
        self.out = 0

    def row(self, state='SERVING', started=0, kind='std-5', zone='leon'):
        return {
            'instanceId': self.name,
            'hostPort': self.address,
            'zone': zone,
            'machineType': 'origin' if self.origin is None else kind,
            'cell': 0,
            'lifecycle': state,
            'weight': 1.0,
            'startedAtMs': started,
        }

    async def talk(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, fields, body = message
            method, path, _ = first.split(' ')
            job = fields.get('req-id')
            self.sent.append((self.record.now(), job, method, path, fields.get('idempotency-key')))
            self.record.add('sent', to=self.name, id=job, method=method, path=path)
            writer.write(await self.handle(job, method, path, body))
            await writer.drain()

    async def handle(self, job, method, path, body):
        """Return the answer to one request."""
        if self.draining:
            return answer(503, b'', 'Srv-Declined: 1\r\n')
        self.out += 1
        try:
            async with self.cores:
                await asyncio.sleep(self.random.uniform(*self.work))
        finally:
            self.out -= 1
        key = path.rpartition('/')[2]
        if self.origin is not None and key not in self.values:
            self.origin.missed.setdefault(job, []).append(self)
            return answer(404, b'', 'Srv-Cache: miss\r\n')
        self.ran.append((self.record.now(), job, method, path))
        self.record.add('ran', at=self.name, id=job, method=method, path=path)
        for server in self.missed.pop(job, ()):
            server.values.add(key)
        return answer(200, ('%s at %s' % (path, self.name)).encode(), 'Srv-Cache: hit\r\n')


class NodeProcess:
    """A node, started by the command `run` of the deploy file."""

    def __init__(self, record, name, page, folder, private, operator=None):
        self.record, self.name, self.page, self.operator = record, name, page, operator
        self.path = os.path.join(folder, name + '.json')
        self.log, self.private, self.process = os.path.join(folder, name + '.log'), private, None

    async def start(self):
        with open(self.path, 'w', encoding='utf-8') as file:
            json.dump(self.page, file)
        with open(os.path.join(ROOT, 'deploy', 'balancer.toml'), 'rb') as file:
            command = tomllib.load(file)['run']
        given = dict(
            os.environ,
            EDGE_NAME=self.page['name'],
            EDGE_LISTEN=self.page['listen'],
            EDGE_DISCOVERY=self.page['discovery'],
            EDGE_CONFIG=self.path,
            TMPDIR=self.private,
        )
        if self.operator:
            given['EDGE_OPERATOR'] = self.operator
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                '/bin/sh', '-c', command, cwd=ROOT, env=given, stdout=log, stderr=log, start_new_session=True
            )
        self.record.add('started', node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.add('signal', node=self.name, number=int(number))
            self.process.send_signal(number)

    async def end(self):
        """End the process, whatever it does."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def call(self, method, path):
        """Make an operator's call; return its status, or None if there is no answer within a second."""
        host, _, port = self.operator.rpartition(':')
        return await ask_once(host, int(port), method, path)

    async def until_yes(self, patience=20.0):
        """Wait until the operators' address says that the process can serve."""
        limit = time.monotonic() + patience
        while time.monotonic() < limit:
            if await self.call('GET', '/v1/readyz') == 200:
                return True
            await asyncio.sleep(0.02)
        return False


async def ask_once(host, port, method, path, patience=1.0):
    """Make one HTTP call on a connection of its own; return the status, or None without an answer."""
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                text = '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
                writer.write((text % (method, path, host)).encode())
                message = await read_message(reader)
                return int(message[0].split(' ')[1]) if message else None
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


async def until_ready(host, port, patience=20.0):
    """Wait until a node answers `GET /ready` with 200."""
    limit = time.monotonic() + patience
    while time.monotonic() < limit:
        if await ask_once(host, port, 'GET', '/ready') == 200:
            return True
        await asyncio.sleep(0.02)
    return False


class CountingReader(asyncio.StreamReader):
    """A reader that counts the bytes received since `seen` was set to nothing."""

    seen = 0

    def feed_data(self, data):
        self.seen += len(data)
        super().feed_data(data)


class Front:
    """Clients behind a front: connections are kept, and more are opened when all are busy."""

    def __init__(self, record, port, seed):
        self.record, self.port, self.random = record, port, random.Random(seed)
        self.idle, self.answers, self.count = [], {}, 0
        self.bodies = {}  # of the writes answered with 200
        self.times = {}  # by request id: (time of its last byte, how long the client waits)
        self.empty_ends = 0  # connections that ended under a request with no byte of an answer

    async def connection(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, True
            writer.close()
        reader = CountingReader(limit=1 << 20)
        protocol = asyncio.StreamReaderProtocol(reader)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(lambda: protocol, '127.0.0.1', self.port)
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop), False

    async def request(self, path, method='GET', deadline=1.5, body=b'', mark=None, patience=0.5):
        """Send one request and return its status; None: the connection ended, or nothing came in time.

        patience: seconds beyond the deadline until which the answer's last byte is waited for.
        """
        self.count += 1
        job = '%016x' % self.random.getrandbits(64)
        text = '%s %s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n%s%s\r\n' % (
            method,
            path,
            job,
            deadline,
            'Content-Length: %d\r\n' % len(body) if method == 'PUT' else '',
            'Idempotency-Key: %s\r\n' % mark if mark else '',
        )
        status, sent = None, self.record.now()
        for _ in range(2):  # a close between requests that crosses this one: once more, on a new connection
            try:
                reader, writer, kept = await self.connection()
            except OSError:
                break
            reader.seen = 0
            writer.write(text.encode() + body)
            sent = self.record.now()
            self.times[job] = sent, deadline
            try:
                async with asyncio.timeout(deadline + patience):
                    message = await read_message(reader)
            except TimeoutError:
                message = None
                writer.close()
                break
            if message is None:
                writer.close()
                self.empty_ends += reader.seen == 0
                self.record.add('ended', id=job, kept=kept, bytes=reader.seen)
                if kept and not reader.seen:
                    continue
                break
            status = int(message[0].split(' ')[1])
            if status == 200 and method == 'PUT':
                self.bodies[job] = message[2]
            if 'close' in message[1].get('connection', ''):
                writer.close()
            else:
                self.idle.append((reader, writer))
            break
        self.record.add('answered', id=job, status=status, after='%.3f' % (self.record.now() - sent))
        self.answers[job] = status
        return status

    async def load(self, rate, keys, until, profile='tile-read'):
        """Send reads at this rate until a time of the record; popular keys more often."""
        tasks = set()
        while self.record.now() < until:
            await asyncio.sleep(self.random.expovariate(rate))
            key = keys[int(len(keys) * self.random.random() ** 2)]
            task = asyncio.create_task(self.request('/%s/%s' % (profile, key)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)


def example_page():
    """Return the repository's example of a node's page: the settings of a small deployment, visor-bajio."""
    with open(os.path.join(ROOT, 'deploy', 'example-page.json'), encoding='utf-8') as file:
        return json.load(file)


def trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, folder, seconds=115):
    """Run a case, a coroutine of (record, temporary folder) that returns the exit code; return it."""
    record = Record(folder)

    async def bounded():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(seconds):
                return await case(record, temporary)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as err:  # the case itself could not be carried out
        record.say('cannot run: %r' % err)
        code = CANNOT_RUN
    record.say('exit %d' % code)
    return code
