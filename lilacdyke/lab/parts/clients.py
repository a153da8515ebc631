"""Clients: they ask at their own pace, whether they are answered or not.

Owns arrivals, connections to nodes, retries, and what each client got. Must never slow down because a node
does, nor send a request that a client of the platform would not send.
"""

from bisect import bisect
from itertools import accumulate

from twisted.internet.protocol import ClientFactory

from .wire import LARGE, Talker, digest, request

CROSSED = (
    100_000  # a connection that ends so soon after a request was written on it, kept until then, crossed it
)


class Dialled(ClientFactory):
    """Opens one connection for a protocol that is there already."""

    noisy = False

    def __init__(self, made):
        self.made = made

    def buildProtocol(self, addr):
        return self.made

    def clientConnectionFailed(self, connector, reason):
        self.made.failed()


class Tx:
    """What a client wants, over all its tries."""

    __slots__ = ('number', 'profile', 'tenant', 'key', 'mark', 'since', 'tries', 'work', 'open', 'first')

    def __init__(self, number, profile, tenant, key, mark, since, work):
        self.number, self.profile, self.tenant, self.key, self.mark = number, profile, tenant, key, mark
        self.since, self.work, self.tries, self.first = since, work, 0, None


class Try:
    """One request of a transaction to a node."""

    __slots__ = ('tx', 'id', 'node', 'asked', 'body', 'timer', 'leaver', 'crossed', 'seat')

    def __init__(self, tx, id_, node):
        self.tx, self.id, self.node = tx, id_, node
        self.asked, self.body, self.timer, self.leaver, self.crossed, self.seat = (
            None,
            b'',
            None,
            None,
            False,
            None,
        )


class Caller(Talker):
    """One connection to a node."""

    def __init__(self, crowd, node, first):
        super().__init__()
        self.crowd, self.node, self.wanted, self.try_ = crowd, node, first, None
        self.used, self.ending, self.fresh = 0, False, False

    def clock(self):
        return self.crowd.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        wanted, self.wanted = self.wanted, None
        if wanted is None or wanted.seat is not self:
            self.crowd.rest(self)
        else:
            self.ask(wanted)

    def failed(self):
        """No connection: the try goes elsewhere or fails."""
        wanted, self.wanted = self.wanted, None
        if wanted is not None and wanted.seat is self:
            self.crowd.unreached(wanted)

    def ask(self, try_):
        """Write the request."""
        self.try_, try_.seat = try_, self
        self.used += 1
        self.crowd.asked(self, try_)

    def message(self, begun, words, fields, body):
        try_, self.try_ = self.try_, None
        if try_ is None:
            self.crowd.stage.see('stray', self.node.name, 'an answer to nothing')
            self.transport.abortConnection()
            return
        self.ending = fields.get('connection', '').lower() == 'close'
        if len(body) > LARGE:
            self.crowd.stage.see('begun', try_.id, begun)
        self.crowd.answered(self, try_, words, fields, body)

    def bad(self, err):
        self.crowd.stage.see('stray', self.node.name, 'not HTTP')
        self.transport.abortConnection()

    def ended(self):
        self.crowd.ended(self)


class Crowd:
    """All clients of a run."""

    def __init__(self, stage):
        self.stage, scenario = stage, stage.scenario
        self.given, self.load = scenario.clients, scenario.load
        self.chance = stage.chance('clients')
        self.draw = self.chance.random
        self.numbers, self.open = 0, 0
        self.factor, self.hot = 1.0, None  # bursts; (keys, share) that are hot
        self.profiles = scenario.profiles
        self.shares = list(accumulate(profile.share for profile in scenario.profiles))
        self.keys = list(accumulate(1 / (rank + 1) ** self.load.zipf for rank in range(self.load.keys)))
        self.tenants = list(accumulate(t.share * t.asks for t in scenario.tenants))
        self.idle = {}  # node -> connections that rest, the latest used last
        self.replay = iter(self.load.replay_s)
        self.stopped, self.shift = False, stage.chance('names').getrandbits(32)
        self.until = int(scenario.length_s * 1e6)

    # --- arrivals ---------------------------------------------------------------------------------------

    def begin(self):
        """Start asking."""
        self.origin = self.stage.clock()
        if self.load.arrivals == 'replay':
            self.next_replayed()
        else:
            self.stage.later(self.gap(), self.arrive)
        if self.given.rude:
            self.stage.later(int(self.chance.expovariate(self.given.rude) * 1e6), self.rude)

    def gap(self):
        """Microseconds to the next arrival."""
        rate = self.load.rate * self.factor
        return int(1e6 * (self.chance.expovariate(rate) if self.load.arrivals == 'poisson' else 1 / rate)) + 1

    def next_replayed(self):
        at = next(self.replay, None)
        if at is not None:
            self.stage.later(max(1, self.origin + int(at * 1e6) - self.stage.clock()), self.replayed)

    def replayed(self):
        if not self.stopped:
            self.start()
            self.next_replayed()

    def arrive(self):
        """One more, whatever became of those before."""
        if self.stopped:
            return
        self.stage.later(self.gap(), self.arrive)
        self.start()

    def pick(self, sums):
        return bisect(sums, self.draw() * sums[-1], 0, len(sums) - 1)

    def start(self):
        """A client wants something."""
        self.numbers += 1
        profile = self.profiles[self.pick(self.shares)]
        rank = self.pick(self.keys)
        if self.hot and self.draw() < self.hot[1]:
            rank = int(self.draw() * self.hot[0])
        tenant = self.stage.scenario.tenants[self.pick(self.tenants)].name if self.tenants else ''
        mark = 'm%08x%x' % (self.shift, self.numbers) if profile.effect == 'guarded' else ''
        tx = Tx(self.numbers, profile, tenant, 'k%d' % rank, mark, self.stage.clock(), self.work(profile))
        self.open += 1
        self.attempt(tx)

    def work(self, profile):
        """Microseconds of a yardstick core, lognormal about the profile's mean."""
        if not profile.cv:
            return profile.work_ms * 1_000
        sigma2 = self.stage.log1p(profile.cv**2)
        return profile.work_ms * 1_000 * self.chance.lognormvariate(-sigma2 / 2, sigma2**0.5)

    # --- tries ------------------------------------------------------------------------------------------

    def attempt(self, tx):
        """One more try, at a node that the front believes in."""
        node = self.stage.front(self.draw)
        if node is None:
            self.over(tx, 'unreached')
            return
        tx.tries += 1
        self.go(Try(tx, '%08x%06x%x' % (self.shift, tx.number, tx.tries), node))

    def go(self, try_):
        """Send it on a connection that rests, or a new one."""
        idle = self.idle.setdefault(try_.node, [])
        fresh = self.draw() < self.given.fresh
        while idle and not fresh:
            seat = idle.pop()
            if seat.up and not seat.ending:
                seat.ask(try_)
                return
        seat = Caller(self, try_.node, try_)
        seat.fresh, try_.seat = fresh, seat
        try_.timer = self.stage.later(self.wait(try_), self.gave_up, try_)
        self.stage.connect(try_.node.address, Dialled(seat), self.stage.client_address(try_.node))

    def wait(self, try_):
        """How long a try is waited for, microseconds."""
        return int(try_.tx.profile.limit_s * self.given.try_share * 1e6)

    def asked(self, seat, try_):
        """The connection is up: write."""
        stage, tx = self.stage, try_.tx
        if try_.timer is not None:
            stage.drop(try_.timer)
        wait, profile = self.wait(try_), tx.profile
        fields = [('Host', 'lab.internal'), ('Req-Id', try_.id), ('Req-Deadline', '%.4f' % (wait / 1e6))]
        if tx.mark:
            fields.append(('Idempotency-Key', tx.mark))
        if tx.tenant:
            fields.append(('Req-Owner', tx.tenant))
        if profile.write:
            try_.body = (b'%s ' % try_.id.encode()).ljust(self.load.write_bytes, b'w')
            stage.bodies[try_.id] = digest(try_.body)
        stage.asked[try_.id] = tx.work
        now = try_.asked = stage.clock()
        if try_.crossed:
            stage.see('again', try_.id)
        else:
            tx.first = now if tx.first is None else tx.first
            stage.see(
                'ask',
                try_.id,
                tx.number,
                try_.node.name,
                profile.name,
                tx.tenant,
                tx.key,
                tx.mark,
                now,
                wait,
                tx.tries,
                int(seat.used == 1),
            )
        seat.put(
            request('PUT' if profile.write else 'GET', '/%s/%s' % (profile.name, tx.key), fields, try_.body)
        )
        try_.timer = stage.later(wait + 300_000, self.gave_up, try_)
        if self.given.leave and self.draw() < self.given.leave:
            try_.leaver = stage.later(int(wait * self.draw() * 0.3), self.leave, try_)
        if self.given.slow_read and self.draw() < self.given.slow_read:
            seat.transport.pauseProducing()
            stage.later(int(wait * 0.1), self.read_on, seat)

    @staticmethod
    def read_on(seat):
        if seat.up:
            seat.transport.resumeProducing()

    def quiet(self, try_):
        """Its timers are not needed any more."""
        for timer in (try_.timer, try_.leaver):
            if timer is not None:
                self.stage.drop(timer)
        try_.timer = try_.leaver = None

    def answered(self, seat, try_, words, fields, body):
        """A whole answer."""
        stage, tx, status = self.stage, try_.tx, int(words[1]) if words[1].isdigit() else 0
        self.quiet(try_)
        after = fields.get('retry-after', '')
        stage.see('answer', try_.id, status, digest(body), after)
        if seat.ending or seat.fresh:
            seat.transport.loseConnection()
        else:
            self.rest(seat)
        if status == 200:
            self.over(tx, 'served')
        elif status in (429, 503):
            self.again(tx, 'refused', after)
        elif 400 <= status < 500 and status != 409:
            self.over(tx, 'rejected')
        else:
            self.again(tx, 'failed', '')

    def rest(self, seat):
        seat.try_ = None
        if seat.up and not seat.ending:
            self.idle.setdefault(seat.node, []).append(seat)

    def again(self, tx, outcome, after):
        """Try once more, where that does no harm by what the client was told and knows."""
        given, now = self.given, self.stage.clock()
        may = tx.tries <= given.retries and not self.stopped
        if outcome != 'refused':
            may = may and tx.profile.effect != 'single_shot'
        if tx.profile.effect == 'guarded' and tx.first is not None:
            # Past that a repeat of the client's own could come outside of the window.
            may = may and now - tx.first < tx.profile.window_s * 1e6 / 4
        if not may:
            self.over(tx, outcome)
            return
        wait = given.wait_ms * 1_000 * 2 ** (tx.tries - 1) * (0.5 + self.draw())
        if after and self.draw() < given.honour:
            wait = max(wait, float(after) * 1e6)
        self.stage.later(int(wait) + 1, self.attempt, tx)

    def unreached(self, try_):
        """The node took no connection: nothing was sent, unless this was the second try of one that crossed
        with a close. That one may have run: the node is gone, and nobody knows."""
        self.quiet(try_)
        if try_.asked is not None:
            self.stage.see('cut', try_.id)
        try_.seat = None
        self.again(try_.tx, 'refused' if try_.asked is None else 'failed', '')

    def gave_up(self, try_):
        """No answer in time; one that has begun is read to its end."""
        if try_.seat is not None and try_.seat.parser.begun_large:
            try_.timer = self.stage.later(300_000, self.gave_up, try_)
            return
        seat, try_.seat = try_.seat, None
        self.quiet(try_)
        if seat is not None:
            seat.try_ = seat.wanted = None
            if seat.up:
                seat.transport.abortConnection()
        self.again(try_.tx, 'failed', '')

    def leave(self, try_):
        """The client goes before its answer."""
        seat, try_.seat = try_.seat, None
        if seat is None or seat.try_ is not try_:
            return
        self.quiet(try_)
        self.stage.see('left', try_.id)
        seat.try_ = None
        seat.transport.loseConnection()
        self.over(try_.tx, 'left')

    def ended(self, seat):
        """A connection is over."""
        idle = self.idle.get(seat.node)
        if idle and seat in idle:
            idle.remove(seat)
        try_, seat.try_ = seat.try_, None
        if try_ is None:
            return
        self.quiet(try_)
        crossed = seat.used > 1 and self.stage.clock() - try_.asked <= CROSSED and not seat.parser.buffer
        if crossed and not try_.crossed:
            try_.crossed = True  # the node had closed between requests: once more, on a new one
            self.go(try_)
            return
        self.stage.see('cut', try_.id)
        self.again(try_.tx, 'failed', '')

    def over(self, tx, outcome):
        """What became of it."""
        self.open -= 1
        self.stage.see('over', tx.number, outcome, self.stage.clock() - tx.since)

    # --- bad clients ------------------------------------------------------------------------------------

    def rude(self):
        """Somebody who sends what cannot be read, or nothing."""
        if self.stopped:
            return
        self.stage.later(int(self.chance.expovariate(self.given.rude) * 1e6), self.rude)
        node = self.stage.front(self.draw)
        if node is not None:
            kinds = sorted(RUDE)
            kind = kinds[int(self.draw() * len(kinds))]
            made = Rude(self, node, kind)
            self.stage.connect(node.address, Dialled(made), self.stage.client_address(node))


HEAD = b'GET /read/k HTTP/1.1\r\nHost: x\r\n'
RUDE = {
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


class Rude(Talker):
    """A bad client's connection: it is owed an error or a close."""

    def __init__(self, crowd, node, kind):
        super().__init__()
        self.crowd, self.node, self.kind, self.since, self.told = (
            crowd,
            node,
            kind,
            crowd.stage.clock(),
            False,
        )

    def clock(self):
        return self.crowd.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        self.put(RUDE[self.kind])
        self.crowd.stage.later(3_500_000, self.late)

    def failed(self):
        self.say('unreached')

    def say(self, outcome):
        if not self.told:
            self.told = True
            self.crowd.stage.see('rude', self.kind, self.node.name, outcome, self.clock() - self.since)

    def message(self, begun, words, fields, body):
        self.say('served' if words[1] == '200' else 'error')
        self.transport.loseConnection()

    def ended(self):
        self.say('closed')

    def late(self):
        if not self.told:
            self.say('nothing')
            self.transport.abortConnection()
