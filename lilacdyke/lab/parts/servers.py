"""HTTP side of the simulated cache servers and origin: connections, answers, probes and injected faults.

The processing of a hop is in model.py. A hop is answered at most once, and not after a cancel.
"""

from zlib import crc32

from twisted.internet.protocol import Factory

from .model import Job
from .wire import LARGE_BODY, HttpConnection, answer, chunked_answer, close_delimited_answer, digest

FILL = b'lilacdyke-lab-' * 30_000
PIECES = 8  # number of pieces of a large answer that is sent over time
CHUNK = 16_000  # bytes of one chunk


class ServerConnection(HttpConnection):
    """Connection at a server."""

    def __init__(self, server):
        super().__init__()
        self.server, self.job, self.used = server, None, False
        self.large_job = None  # job of the last large answer on this connection

    def clock(self):
        return self.server.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        server = self.server
        server.connections[self] = None
        self.node = server.stage.environment.node_of(self.transport)
        server.stage.record_event('link', server.name, self.node)
        if server.stage.limit_values:
            server.stage.record_event('seats', server.name, len(server.connections))
        self.touch()

    def touch(self):
        """Restart the idle timeout."""
        self.last = self.clock()

    def on_message(self, begun, start_line, fields, body):
        self.last, self.large_job = self.clock(), None
        if start_line[1] in ('/health', '/status/load'):
            self.put(answer(200, b'{}'))
        elif self.job is not None:
            self.server.stage.record_event('error', self.node, 'a second request on a busy connection')
            self.transport.abortConnection()
        elif 'req-id' not in fields:
            self.put(answer(404))
        else:
            self.server.receive_hop(self, begun, start_line, fields, body)

    def put_piece(self, data):
        """Write a piece of an answer and restart the idle timeout."""
        self.last = self.clock()
        self.put(data)

    def end(self):
        """Close the connection after all data is written."""
        if self.up:
            self.transport.loseConnection()

    def on_close(self):
        self.server.connections.pop(self, None)
        job, self.job = self.job, None
        if job is not None:
            self.server.model.cancel(job)


class CacheServer(Factory):
    """One server: its model, its port and the faults in its answers."""

    noisy = False

    def __init__(self, stage, model, address, number):
        self.stage, self.model, self.name, self.address, self.number = (
            stage,
            model,
            model.name,
            address,
            number,
        )
        self.connections, self.port, self.max_connections = {}, None, 1 << 30
        self.idle_us = int(stage.scenario.caches.idle_s * 1e6)
        self.garbled = self.halved = self.extra = 0.0  # share of answers with each fault
        self.refusing = False
        self.handshake = int(stage.scenario.caches.handshake_ms * 1_000)
        self.rng = stage.random_source('server ' + self.name)
        model.on_fall = self.fall

    def buildProtocol(self, addr):
        if len(self.connections) >= self.max_connections:
            return None
        return ServerConnection(self)

    # --- hops -------------------------------------------------------------------------------------------

    def receive_hop(self, connection, begun, start_line, fields, body):
        """Validate and record a complete hop and pass it to the model."""
        stage, model = self.stage, self.model
        parts = start_line[1].split('?')[0].split('/')
        profile = stage.profiles.get(parts[1]) if len(parts) > 2 else None
        id_, number = fields['req-id'], stage.number()
        if profile is not None and stage.serve_unknown:
            stage.work_of.setdefault(id_, profile.work_ms * 1_000)
        if profile is None or id_ not in stage.work_of:
            stage.record_event('error', connection.node, 'a hop that no client asked for: %s' % id_[:40])
            connection.put(answer(400))
            return
        idempotency_key = fields.get('idempotency-key', '') if profile.effect == 'guarded' else ''
        work = stage.work_of[id_] * (stage.scenario.origin.work if model.origin else 1.0)
        try:
            until = self.clock() + int(float(fields.get('req-deadline', '10')) * 1e6)
        except ValueError:
            connection.put(answer(400))
            return
        if (start_line[0] == 'PUT') != profile.write:
            stage.record_event('error', connection.node, 'a method changed on the way: %s' % start_line[0])
        if profile.write and digest(body) != stage.body_digests.get(
            id_, digest(body) if stage.serve_unknown else None
        ):
            stage.record_event('error', connection.node, 'a body changed on the way')
        key = parts[-1]
        stage.record_event(
            'hop', number, self.name, id_, idempotency_key, connection.node, begun, int(work), key
        )
        if not connection.used and self.handshake:
            connection.used, work = True, work + self.handshake
        job = Job(number, id_, idempotency_key, key, profile, work, until, None)
        job.done = lambda job: self.reply(connection, job)
        connection.job = job
        if not model.offer(job):
            job.outcome = 'declined'
            self.reply(connection, job)

    def clock(self):
        return self.stage.clock()

    def reply(self, connection, job):
        """Answer a hop if its connection still waits for it."""
        if job.outcome == 'declined':
            self.stage.record_event('refused', job.hop)
        if connection.job is not job:
            return
        connection.job = None
        connection.last = self.clock()
        if job.outcome == 'declined':
            connection.put(answer(503, b'full\n', 'Srv-Declined: 1\r\n'))
            return
        headers, until_close, large = '', False, None
        caches = self.model.caches
        if caches.tells and not self.model.origin:
            cache_status = (
                'hit' if not job.miss else 'pending' if self.model.fetch_running(job.key) else 'miss'
            )
            headers = 'Srv-Cache: %s\r\n' % cache_status
        if caches.reports:
            headers += 'Srv-Load: {"queue":%d}\r\n' % len(self.model.waiting)
        if job.outcome == 'miss':
            data = answer(404, b'', headers)
        elif job.outcome == 'error':
            data = answer(500, b'error\n')
        else:
            body = b'%s %s %d %d ' % (
                job.id.encode(),
                self.name.encode(),
                job.hop,
                self.stage.fleet.versions.get(job.key, 0),
            )
            body += FILL[: max(0, self.size(job.key) - len(body))]
            self.stage.record_event('made', job.hop, job.id, digest(body))
            data, until_close = self.frame_answer(body, headers)
            large = job if len(body) > LARGE_BODY else None
        self.send_answer(connection, data, until_close, large)

    def begin_large_answer(self, connection, job, length_known):
        """Record the start of a large answer.

        Without a known length it counts as large only from its second piece on: before, a node cannot tell it
        from the answer of a hung server.
        """
        connection.large_job = job
        wait = 0 if length_known else self.piece_interval()
        if wait:
            self.stage.later(wait, self.record_large_answer, connection, job)
        else:
            self.record_large_answer(connection, job)

    def record_large_answer(self, connection, job):
        if connection.large_job is job and connection.up:
            self.stage.record_event('giving', job.hop, job.id)

    def piece_interval(self):
        """Return the microseconds between two pieces of a large answer; 0: it is sent at once."""
        return int(self.model.caches.give_ms * 1_000) // PIECES

    def size(self, key):
        """Return the size of a key's value in bytes."""
        load = self.stage.scenario.load
        return (
            load.large_bytes if crc32(key.encode()) % 1_000 < load.large_share * 1_000 else load.value_bytes
        )

    def frame_answer(self, body, headers):
        """Return a 200 answer in a random framing, and whether its body ends with the connection."""
        untold = self.model.caches.untold
        if not untold or self.rng.random() >= untold:
            return answer(200, body, headers), False
        if self.rng.random() < 0.5:
            return chunked_answer(body, headers, CHUNK), False
        return close_delimited_answer(body, headers), True

    def send_answer(self, connection, data, until_close=False, large=None):
        """Send an answer, possibly with an injected fault.

        until_close: the connection closes after it. large: the job, if the answer is large.
        """
        draw = self.rng.random() if self.garbled or self.halved or self.extra else 1.0
        if draw < self.garbled:
            connection.put(
                (
                    b'\x00\xff\r\nnoise',
                    b'HTTP/1.1 200 X\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcde',
                    b'HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc',
                    b'HTTP/1.1 2x0 X\r\n\r\n',
                )[self.rng.randrange(4)]
            )
            return
        if large is not None:
            self.begin_large_answer(connection, large, b'Content-Length' in data[: data.index(b'\r\n\r\n')])
        if draw < self.garbled + self.halved:
            connection.put(data[: self.rng.randrange(1, len(data))])
            self.record_break(connection)
            # After an orderly close, half of a close-delimited answer would be valid.
            (connection.transport.abortConnection if until_close else connection.transport.loseConnection)()
        elif draw < self.garbled + self.halved + self.extra and not until_close:
            connection.put(data + (data, b'noise')[self.rng.randrange(2)])
        else:
            if self.rng.random() < self.model.caches.ahead:
                data = b'HTTP/1.1 103 Early\r\nX: 1\r\n\r\n' + data
            self.write_answer(connection, data, until_close)

    def record_break(self, connection):
        """Record that the server itself ends a connection during or after a large answer."""
        if connection.large_job is not None:
            self.stage.record_event('broke', connection.large_job.hop, connection.large_job.id)

    def write_answer(self, connection, data, until_close):
        """Send an answer: at once, or in pieces if it is large and give_ms is set."""
        interval = self.piece_interval()
        if not interval or len(data) <= LARGE_BODY:
            connection.put(data)
            if until_close:
                connection.end()
            return
        size = -(-len(data) // PIECES)
        for number in range(PIECES):
            self.stage.later(
                1 + interval * number, connection.put_piece, data[size * number : size * (number + 1)]
            )
        if until_close:
            self.stage.later(2 + interval * (PIECES - 1), connection.end)

    # --- start and stop ---------------------------------------------------------------------------------

    def open(self):
        """Start listening."""
        self.port = self.stage.listen(self, self.address)
        self.model.fallen = False
        self.record_state('up')

    def record_state(self, what):
        model = self.model
        self.stage.record_event(
            'server',
            self.name,
            what,
            model.kind,
            model.zone,
            model.cores,
            model.speed,
            model.started,
            int(model.origin),
        )

    def close(self, what='down'):
        """End the process, with its port and connections."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            self.record_break(connection)
            connection.job = None
            connection.up = False
            connection.transport.abortConnection()
        self.connections.clear()
        self.model.clear_all()
        self.record_state(what)

    def fall(self):
        """Fail from overload, and restart cold after the downtime."""
        self.stage.later(0, self.close, 'overturned')
        self.stage.later(self.model.down_us, self.restart)

    def pause(self):
        """Stall the server at random intervals."""
        caches = self.model.caches
        if self.port is not None:
            self.model.stall(self.clock() + int(caches.pause_ms * 1_000))
        self.stage.later(int(caches.pause_every_s * 1e6 * self.rng.uniform(0.7, 1.3)), self.pause)

    def restart(self):
        """Restart with an empty cache."""
        if self.port is None and not self.stage.closing and self.stage.is_member(self.name):
            self.model.started = 0 if self.model.origin else self.clock()
            self.open()
            self.stage.roster.restarted(self.name, self.model.started)

    def close_idle(self):
        """Close connections past the idle timeout."""
        now = self.clock()
        for connection in [
            connection
            for connection in self.connections
            if connection.job is None and now - connection.last > self.idle_us
        ]:
            self.connections.pop(connection, None)
            connection.transport.loseConnection()
