"""Simulated clients: an open-loop load generator with retries, early leavers and misbehaving clients.

The arrival rate does not depend on the answers. Except for the misbehaving clients, only requests that a
conforming client may send are sent.
"""

from bisect import bisect
from itertools import accumulate

from twisted.internet.protocol import ClientFactory

from .wire import LARGE_BODY, HttpConnection, digest, request

# A reused connection that closes within this time of a request was closed by the node between requests.
CROSSING_US = 100_000


class SingleConnectionFactory(ClientFactory):
    """Opens one connection for an existing protocol instance."""

    noisy = False

    def __init__(self, protocol):
        self.protocol = protocol

    def buildProtocol(self, addr):
        return self.protocol

    def clientConnectionFailed(self, connector, reason):
        self.protocol.on_connect_failed()


class Transaction:
    """Client transaction over all its attempts."""

    __slots__ = (
        'number',
        'profile',
        'tenant',
        'key',
        'idempotency_key',
        'since',
        'tries',
        'work',
        'open',
        'first',
    )

    def __init__(self, number, profile, tenant, key, idempotency_key, since, work):
        self.number, self.profile, self.tenant, self.key, self.idempotency_key = (
            number,
            profile,
            tenant,
            key,
            idempotency_key,
        )
        self.since, self.work, self.tries, self.first = since, work, 0, None


class Attempt:
    """One request of a transaction to a node."""

    __slots__ = ('tx', 'id', 'node', 'sent_at', 'body', 'timer', 'leave_timer', 'crossed_close', 'connection')

    def __init__(self, tx, id_, node):
        self.tx, self.id, self.node = tx, id_, node
        self.sent_at, self.body, self.timer, self.leave_timer, self.crossed_close, self.connection = (
            None,
            b'',
            None,
            None,
            False,
            None,
        )


class NodeConnection(HttpConnection):
    """Client connection to a node."""

    def __init__(self, load_generator, node, attempt):
        super().__init__()
        self.load_generator, self.node, self.pending, self.attempt = load_generator, node, attempt, None
        self.used, self.ending, self.fresh = 0, False, False

    def clock(self):
        return self.load_generator.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        pending, self.pending = self.pending, None
        if pending is None or pending.connection is not self:
            self.load_generator.mark_idle(self)
        else:
            self.send(pending)

    def on_connect_failed(self):
        """Report the attempt that waited for the connection as unreachable."""
        pending, self.pending = self.pending, None
        if pending is not None and pending.connection is self:
            self.load_generator.on_unreachable(pending)

    def send(self, attempt):
        """Send a request."""
        self.attempt, attempt.connection = attempt, self
        self.used += 1
        self.load_generator.write_request(self, attempt)

    def on_message(self, begun, start_line, fields, body):
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            self.load_generator.stage.record_event('stray', self.node.name, 'an answer to nothing')
            self.transport.abortConnection()
            return
        self.ending = fields.get('connection', '').lower() == 'close'
        if len(body) > LARGE_BODY:
            self.load_generator.stage.record_event('begun', attempt.id, begun)
        self.load_generator.on_answer(self, attempt, start_line, fields, body)

    def on_malformed(self, err):
        self.load_generator.stage.record_event('stray', self.node.name, 'not HTTP')
        self.transport.abortConnection()

    def on_close(self):
        self.load_generator.connection_closed(self)


class LoadGenerator:
    """All clients of a run."""

    def __init__(self, stage):
        self.stage, scenario = stage, stage.scenario
        self.behaviour, self.load = scenario.clients, scenario.load
        self.rng = stage.random_source('clients')
        self.draw = self.rng.random
        self.last_number, self.open = 0, 0
        self.factor, self.hot = 1.0, None  # rate multiplier; (number of hot keys, their share)
        self.profiles = scenario.profiles
        self.profile_weights = list(accumulate(profile.share for profile in scenario.profiles))
        self.keys = list(accumulate(1 / (rank + 1) ** self.load.zipf for rank in range(self.load.keys)))
        self.tenants = list(accumulate(t.share * t.asks for t in scenario.tenants))
        self.idle = {}  # node -> idle connections, the latest used last
        self.replay = iter(self.load.replay_s)
        self.stopped, self.id_prefix = False, stage.random_source('names').getrandbits(32)
        self.until = int(scenario.length_s * 1e6)

    # --- arrivals ---------------------------------------------------------------------------------------

    def begin(self):
        """Start the arrivals."""
        self.origin = self.stage.clock()
        if self.load.arrivals == 'replay':
            self.schedule_replay()
        else:
            self.stage.later(self.next_gap(), self.on_arrival)
        if self.behaviour.rude:
            self.stage.later(int(self.rng.expovariate(self.behaviour.rude) * 1e6), self.connect_misbehaving)

    def next_gap(self):
        """Return the microseconds to the next arrival."""
        rate = self.load.rate * self.factor
        return int(1e6 * (self.rng.expovariate(rate) if self.load.arrivals == 'poisson' else 1 / rate)) + 1

    def schedule_replay(self):
        at = next(self.replay, None)
        if at is not None:
            self.stage.later(max(1, self.origin + int(at * 1e6) - self.stage.clock()), self.replay_next)

    def replay_next(self):
        if not self.stopped:
            self.start_transaction()
            self.schedule_replay()

    def on_arrival(self):
        """Start a transaction and schedule the next arrival."""
        if self.stopped:
            return
        self.stage.later(self.next_gap(), self.on_arrival)
        self.start_transaction()

    def pick_weighted(self, cumulative):
        return bisect(cumulative, self.draw() * cumulative[-1], 0, len(cumulative) - 1)

    def start_transaction(self):
        """Start a transaction with a random profile, key and tenant."""
        self.last_number += 1
        profile = self.profiles[self.pick_weighted(self.profile_weights)]
        rank = self.pick_weighted(self.keys)
        if self.hot and self.draw() < self.hot[1]:
            rank = int(self.draw() * self.hot[0])
        tenant = self.stage.scenario.tenants[self.pick_weighted(self.tenants)].name if self.tenants else ''
        idempotency_key = (
            'm%08x%x' % (self.id_prefix, self.last_number) if profile.effect == 'guarded' else ''
        )
        tx = Transaction(
            self.last_number,
            profile,
            tenant,
            'k%d' % rank,
            idempotency_key,
            self.stage.clock(),
            self.work(profile),
        )
        self.open += 1
        self.start_attempt(tx)

    def work(self, profile):
        """Return the work in microseconds of a reference core, lognormal around the profile's mean."""
        if not profile.cv:
            return profile.work_ms * 1_000
        sigma2 = self.stage.log1p(profile.cv**2)
        return profile.work_ms * 1_000 * self.rng.lognormvariate(-sigma2 / 2, sigma2**0.5)

    # --- attempts ---------------------------------------------------------------------------------------

    def start_attempt(self, tx):
        """Start an attempt at a random open node."""
        node = self.stage.pick_node(self.draw)
        if node is None:
            self.finish(tx, 'unreached')
            return
        tx.tries += 1
        self.dispatch(Attempt(tx, '%08x%06x%x' % (self.id_prefix, tx.number, tx.tries), node))

    def dispatch(self, attempt):
        """Send an attempt on an idle connection or a new one."""
        idle = self.idle.setdefault(attempt.node, [])
        fresh = self.draw() < self.behaviour.fresh
        while idle and not fresh:
            connection = idle.pop()
            if connection.up and not connection.ending:
                connection.send(attempt)
                return
        connection = NodeConnection(self, attempt.node, attempt)
        connection.fresh, attempt.connection = fresh, connection
        attempt.timer = self.stage.later(self.timeout(attempt), self.on_timeout, attempt)
        self.stage.connect(
            attempt.node.address, SingleConnectionFactory(connection), self.stage.client_address(attempt.node)
        )

    def timeout(self, attempt):
        """Return the timeout of an attempt in microseconds."""
        return int(attempt.tx.profile.limit_s * self.behaviour.try_share * 1e6)

    def write_request(self, connection, attempt):
        """Write a request on an open connection and start its timers."""
        stage, tx = self.stage, attempt.tx
        if attempt.timer is not None:
            stage.drop(attempt.timer)
        timeout, profile = self.timeout(attempt), tx.profile
        fields = [
            ('Host', 'lab.internal'),
            ('Req-Id', attempt.id),
            ('Req-Deadline', '%.4f' % (timeout / 1e6)),
        ]
        if tx.idempotency_key:
            fields.append(('Idempotency-Key', tx.idempotency_key))
        if tx.tenant:
            fields.append(('Req-Owner', tx.tenant))
        if profile.write:
            attempt.body = (b'%s ' % attempt.id.encode()).ljust(self.load.write_bytes, b'w')
            stage.body_digests[attempt.id] = digest(attempt.body)
        stage.work_of[attempt.id] = tx.work
        now = attempt.sent_at = stage.clock()
        if attempt.crossed_close:
            stage.record_event('again', attempt.id)
        else:
            tx.first = now if tx.first is None else tx.first
            stage.record_event(
                'ask',
                attempt.id,
                tx.number,
                attempt.node.name,
                profile.name,
                tx.tenant,
                tx.key,
                tx.idempotency_key,
                now,
                timeout,
                tx.tries,
                int(connection.used == 1),
            )
        connection.put(
            request(
                'PUT' if profile.write else 'GET', '/%s/%s' % (profile.name, tx.key), fields, attempt.body
            )
        )
        attempt.timer = stage.later(timeout + 300_000, self.on_timeout, attempt)
        if self.behaviour.leave and self.draw() < self.behaviour.leave:
            attempt.leave_timer = stage.later(int(timeout * self.draw() * 0.3), self.leave_early, attempt)
        if self.behaviour.slow_read and self.draw() < self.behaviour.slow_read:
            connection.transport.pauseProducing()
            stage.later(int(timeout * 0.1), self.resume_reading, connection)

    @staticmethod
    def resume_reading(connection):
        if connection.up:
            connection.transport.resumeProducing()

    def cancel_timers(self, attempt):
        """Cancel the timers of an attempt."""
        for timer in (attempt.timer, attempt.leave_timer):
            if timer is not None:
                self.stage.drop(timer)
        attempt.timer = attempt.leave_timer = None

    def on_answer(self, connection, attempt, start_line, fields, body):
        """Handle a complete answer."""
        stage, tx, status = self.stage, attempt.tx, int(start_line[1]) if start_line[1].isdigit() else 0
        self.cancel_timers(attempt)
        retry_after = fields.get('retry-after', '')
        stage.record_event('answer', attempt.id, status, digest(body), retry_after)
        if connection.ending or connection.fresh:
            connection.transport.loseConnection()
        else:
            self.mark_idle(connection)
        if status == 200:
            self.finish(tx, 'served')
        elif status in (429, 503):
            self.retry(tx, 'refused', retry_after)
        elif 400 <= status < 500 and status != 409:
            self.finish(tx, 'rejected')
        else:
            self.retry(tx, 'failed', '')

    def mark_idle(self, connection):
        connection.attempt = None
        if connection.up and not connection.ending:
            self.idle.setdefault(connection.node, []).append(connection)

    def retry(self, tx, outcome, retry_after):
        """Retry a transaction if a repeat is safe, or finish it."""
        behaviour, now = self.behaviour, self.stage.clock()
        may = tx.tries <= behaviour.retries and not self.stopped
        if outcome != 'refused':
            may = may and tx.profile.effect != 'single_shot'
        if tx.profile.effect == 'guarded' and tx.first is not None:
            # A later repeat could arrive outside the deduplication window.
            may = may and now - tx.first < tx.profile.window_s * 1e6 / 4
        if not may:
            self.finish(tx, outcome)
            return
        backoff = behaviour.wait_ms * 1_000 * 2 ** (tx.tries - 1) * (0.5 + self.draw())
        if retry_after and self.draw() < behaviour.honour:
            backoff = max(backoff, float(retry_after) * 1e6)
        self.stage.later(int(backoff) + 1, self.start_attempt, tx)

    def on_unreachable(self, attempt):
        """Handle a failed connect.

        Nothing was sent, unless an earlier connection closed on this request: then it may have run.
        """
        self.cancel_timers(attempt)
        if attempt.sent_at is not None:
            self.stage.record_event('cut', attempt.id)
        attempt.connection = None
        self.retry(attempt.tx, 'refused' if attempt.sent_at is None else 'failed', '')

    def on_timeout(self, attempt):
        """Give up an attempt without an answer; a large answer that has begun is read to its end."""
        if attempt.connection is not None and attempt.connection.parser.begun_large:
            attempt.timer = self.stage.later(300_000, self.on_timeout, attempt)
            return
        connection, attempt.connection = attempt.connection, None
        self.cancel_timers(attempt)
        if connection is not None:
            connection.attempt = connection.pending = None
            if connection.up:
                connection.transport.abortConnection()
        self.retry(attempt.tx, 'failed', '')

    def leave_early(self, attempt):
        """Close the connection before the answer."""
        connection, attempt.connection = attempt.connection, None
        if connection is None or connection.attempt is not attempt:
            return
        self.cancel_timers(attempt)
        self.stage.record_event('left', attempt.id)
        connection.attempt = None
        connection.transport.loseConnection()
        self.finish(attempt.tx, 'left')

    def connection_closed(self, connection):
        """Handle the end of a connection."""
        idle = self.idle.get(connection.node)
        if idle and connection in idle:
            idle.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            return
        self.cancel_timers(attempt)
        crossed_close = (
            connection.used > 1
            and self.stage.clock() - attempt.sent_at <= CROSSING_US
            and not connection.parser.buffer
        )
        if crossed_close and not attempt.crossed_close:
            attempt.crossed_close = True  # closed between requests: send again on a new connection
            self.dispatch(attempt)
            return
        self.stage.record_event('cut', attempt.id)
        self.retry(attempt.tx, 'failed', '')

    def finish(self, tx, outcome):
        """Record the outcome of a transaction."""
        self.open -= 1
        self.stage.record_event('over', tx.number, outcome, self.stage.clock() - tx.since)

    # --- misbehaving clients ----------------------------------------------------------------------------

    def connect_misbehaving(self):
        """Open a connection that sends malformed data or nothing."""
        if self.stopped:
            return
        self.stage.later(int(self.rng.expovariate(self.behaviour.rude) * 1e6), self.connect_misbehaving)
        node = self.stage.pick_node(self.draw)
        if node is not None:
            names = sorted(MISBEHAVIOURS)
            kind = names[int(self.draw() * len(names))]
            client = MisbehavingClient(self, node, kind)
            self.stage.connect(node.address, SingleConnectionFactory(client), self.stage.client_address(node))


HEAD = b'GET /read/k HTTP/1.1\r\nHost: x\r\n'
MISBEHAVIOURS = {
    'silent': b'',
    'noise': b'\x16\x03\x01\x00\xff\x00\r\n\r\n',
    'endless': b'GET /read/k HTTP/1.1\r\n' + b'X-Pad: aaaaaaaaaaaaaaaaaaaaaaaa\r\n' * 700,
    'negative': HEAD + b'Req-Id: rude1\r\nContent-Length: -5\r\n\r\n',
    'huge': HEAD + b'Req-Id: rude2\r\nContent-Length: 60000000\r\n\r\n' + b'x' * 5_000,
    'two_framings': HEAD
    + b'Req-Id: rude3\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: rude4\r\n\r\n',
    'no_id': HEAD + b'\r\n',
    'no_profile': b'GET /nothing-such/k HTTP/1.1\r\nHost: x\r\nReq-Id: rude5\r\n\r\n',
    'no_number': HEAD + b'Req-Id: rude6\r\nReq-Deadline: soon\r\n\r\n',
    'half': b'GET /read/k HTTP/1.1\r\nHos',
}


class MisbehavingClient(HttpConnection):
    """Connection of a misbehaving client; the node must answer with an error or close it."""

    def __init__(self, load_generator, node, kind):
        super().__init__()
        self.load_generator, self.node, self.kind, self.since, self.reported = (
            load_generator,
            node,
            kind,
            load_generator.stage.clock(),
            False,
        )

    def clock(self):
        return self.load_generator.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        self.put(MISBEHAVIOURS[self.kind])
        self.load_generator.stage.later(3_500_000, self.give_up)

    def on_connect_failed(self):
        self.report('unreached')

    def report(self, outcome):
        if not self.reported:
            self.reported = True
            self.load_generator.stage.record_event(
                'rude', self.kind, self.node.name, outcome, self.clock() - self.since
            )

    def on_message(self, begun, start_line, fields, body):
        self.report('served' if start_line[1] == '200' else 'error')
        self.transport.loseConnection()

    def on_close(self):
        self.report('closed')

    def give_up(self):
        if not self.reported:
            self.report('nothing')
            self.transport.abortConnection()
