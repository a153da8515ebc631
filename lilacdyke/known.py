"""What a node knows of servers: the list, how answers come, what that says of the next one. Owns each Server
and the measures. Must never decide: it is updated by inputs and read by the gate and the decisions."""

from collections import deque
from math import log
from random import Random
from zlib import crc32

# Endings that tell nothing of how busy a server is; rejected: the request is bad, and that was its answer.
BLAMELESS = ('unsent', 'cancelled', 'spoilt', 'rejected', 'lost')
FLOOR = 1 / 32  # a set-aside server's trickle, as a share of what would be its own
DOUBT = 4  # unanswered hops in a row that set a server aside
RACES, LOOKUPS = 16, 32  # the paper's windows
MARGIN = 2  # hops that a server bears, and may have beyond its part, at the least
START = 32.0  # hops out at one server before anything is known of it
BANS = 1_024  # servers that are, or lately were, out by hand
NO_WORD = (0, 0, 1, 0)  # of a fleet on a server: until when, the least and the most of its turns, its wait


class Histogram:
    """Times in a few coarse bins, half an octave each, halved once in a while so that the old fades."""

    __slots__ = ('square', 'bins', 'total', 'unit')
    BINS, KEPT = 18, 128

    def __init__(self, unit):
        self.unit = max(1, unit)
        self.square = self.unit**2
        self.bins = [0] * self.BINS
        self.total = 0

    def add(self, value):
        self.bins[min(self.BINS - 1, (value * value // self.square).bit_length())] += 1
        self.total += 1
        if self.total >= self.KEPT:
            self.bins = [count >> 1 for count in self.bins]
            self.total = sum(self.bins)

    def edge(self, index):
        """The lower edge of a bin."""
        return self.unit * 2 ** ((index - 1) / 2) if index else 0

    def quantile(self, part):
        """The value that a part of the times stay under, read between the bin's edges."""
        left = part * self.total
        for index, count in enumerate(self.bins):
            if count and left <= count:
                low, high = self.edge(index), self.edge(index + 1)
                return int(low + (high - low) * left / count)
            left -= count
        return int(self.edge(self.BINS))

    def spread(self):
        """Mean and standard deviation, each bin counted at its middle."""
        if not self.total:
            return 0, 0
        middles = [(self.edge(i) + self.edge(i + 1)) / 2 for i in range(self.BINS)]
        mean = sum(n * m for n, m in zip(self.bins, middles)) / self.total
        square = sum(n * (m - mean) ** 2 for n, m in zip(self.bins, middles)) / self.total
        return int(mean), int(square**0.5)


class Pace:
    """When a copy follows a first hop to one cache: the paper's three rules."""

    __slots__ = ('answers', 'copies', 'races', 'alone', 'swift')

    def __init__(self, unit):
        self.answers = Histogram(unit)  # latency of this cache's answers as a first cache
        self.copies = Histogram(unit)  # latency of copies that won against it
        self.races = deque(maxlen=RACES)  # whether the copy won, for the latest lookups with a copy
        self.alone = 0  # lookups since the last copy
        self.swift = None  # None: base; 0: at once; 1: mean copy latency and a deviation

    def delay(self, start, most):
        """The wait before the first copy of the next lookup."""
        self.alone += 1
        if self.alone > LOOKUPS:
            self.swift = None
        if self.swift == 0:
            self.swift = 1
            return 0
        if self.swift == 1:
            return min(most, sum(self.copies.spread()))
        if self.answers.total < RACES:
            return start
        return min(most, 3 * self.answers.quantile(0.95) // 2)

    def raced(self, won, latency):
        """A lookup with a copy was answered; won: by the copy."""
        self.races.append(won)
        if won:
            self.copies.add(latency)
        if sum(self.races) > RACES // 2:
            self.swift = 0
            self.races.clear()


class Server:
    """A cache server or the origin, as this node knows it. The host makes it when a list first names it."""

    __slots__ = (
        'name',
        'origin',
        'mark',
        'state',
        'told',
        'weight',
        'started',
        'zone',
        'cell',
        'out',
        'share',
        'doubt',
        'raised',
        'pace',
        'credit',
        'dated',
        'bear',
        'eased',
        'lag',
        'heard',
        'word',
    )

    def __init__(self, name, origin):
        self.name, self.origin, self.word = name, origin, NO_WORD
        self.mark = crc32(name.encode()) << 32
        self.state, self.weight, self.started, self.zone, self.cell = 'gone', 1, None, 0, 0
        self.told = 'gone'  # its state by the list; its own is 'banned' if it is out by hand besides
        self.out = 0  # hops of this node that wait there
        self.share = 1  # part of its own keys' reads that it gets; under 1 while set aside
        self.doubt = 0  # hops unanswered in a row
        self.raised = 0  # when its share was last raised
        self.bear, self.eased = START, 0  # hops out that it is seen to bear; when that was last cut
        self.lag, self.heard = 0, 0  # how long its answers take lately; when that was last seen
        self.credit, self.dated = 0, 0  # hops it may get while cold; when that was last filled
        self.pace = None


class Known:
    """Servers as one node knows them."""

    def __init__(self, terms, seed):
        self.terms, self.chance = terms, Random(seed).random
        self.goal = min(profile.goal for profile in terms.profiles)
        self.unit = max(1, self.goal // 32)
        self.caches, self.origin, self.known = [], None, {}
        self.hand = {}  # by name, servers out by hand: since when, and until when, None: still
        self.logs = deque()
        self.smooth, self.poor, self.often = 1.0, 0.0, True  # hops that ended well, badly; whether often
        self.usual = 0  # the most that warm caches served in a window, a weight
        self.served, self.window = 0, 0  # what they served in the present window; its start
        self.total_out = 0  # hops that wait at caches
        self.lag, self.heard = 0, 0  # how long reads at caches take lately; when one was last seen
        self.watch_at, self.failures = 0 if terms.watched else None, 0

    # --- the list -------------------------------------------------------------------------------------

    def list_changed(self, now, entries):
        """Changes to the list."""
        self.failures, self.watch_at = 0, None
        self.list_remembered(now, entries)

    def list_replaced(self, now, entries):
        """The whole list: what it lacks is gone."""
        named = {entry[0].name for entry in entries}
        for server in (s for s in self.known.values() if s.name not in named):
            server.state = 'gone'
        self.list_changed(now, entries)

    def list_remembered(self, now, entries):
        """What a node held before it was restarted: to be used until it is told better."""
        for entry in entries:
            self.list_entry(now, *entry)
        self.relist()

    def list_failed(self, now):
        """A call failed or the watch broke. Ask again, ever later, but soon enough to count as asking."""
        self.failures += 1
        wait = min(self.terms.ask_within // 4, self.goal << min(self.failures, 8))
        self.watch_at = now + int(wait * (0.5 + self.chance()))
        self.alarm(self.watch_at, None)

    def list_entry(self, now, server, state, weight, started, zone, cell):
        since, back = self.hand.get(server.name, (0, 0))
        if back and (started is None or started < since):
            started = back  # guards against a list that has not heard that it was restarted while out
        if started != server.started or server.state == 'gone':
            # A restart under the same id is a fresh, cold server: what was known of the old one is void.
            server.share, server.doubt, server.raised, server.eased = 1, 0, now, now
            server.started = started
            server.bear = max(MARGIN, START * self.presence(now, server))
            server.lag, server.pace = self.lag, Pace(self.unit)
            server.credit, server.dated = self.chance(), now
        server.told, server.weight, server.zone, server.cell = state, weight, zone, cell
        server.state = 'banned' if back is None and state == 'ready' else state
        self.known[server.name] = server

    def suspend(self, now, name):
        """Somebody takes a cache out, whatever lists say until it is resumed. Whether it is out now."""
        server = self.known.get(name)
        if self.banned(name) or server is None or server.origin:
            return self.banned(name)
        self.hand.pop(name, None)
        if len(self.hand) >= BANS:
            self.hand.pop(next((old for old in self.hand if not self.banned(old)), None), None)
        if len(self.hand) >= BANS:
            return False
        self.hand[name] = (now, None)
        self.list_remembered(now, [self.row(server)])
        return True

    def resume(self, now, name):
        """It is back: it was restarted meanwhile, so it is fresh and cold. Whether it was known."""
        server = self.known.get(name)
        if not self.banned(name):
            return server is not None and not server.origin
        self.hand[name] = (self.hand[name][0], now)
        if server:
            row, server.state = self.row(server), 'gone'
            self.list_remembered(now, [row])
        return True

    def banned(self, name):
        """Whether a server is out by hand."""
        return self.hand.get(name, (0, 0))[1] is None

    def legacy(self, now):
        """What another process of this node must go on with, as plain values, with ages: for inherit()."""
        return [
            self.usual,
            {
                s.name: [
                    None if s.started is None else now - s.started,
                    s.credit,
                    max(1, s.bear - s.out),
                    s.lag,
                ]
                for s in self.known.values()
            },
        ]

    def inherit(self, now, usual, servers):
        """Go on with that. Its cold credit is spent here and nowhere else."""
        self.usual = usual
        for name, (age, credit, bear, lag) in servers.items():
            server = self.known.get(name)
            if server:
                server.started = None if age is None else now - age
                server.credit, server.dated, server.bear, server.lag = min(1, credit), now, bear, lag

    @staticmethod
    def row(server):
        """A server's entry as the list last told it."""
        return server, server.told, server.weight, server.started, server.zone, server.cell

    def relist(self):
        # Gone for good: a hop that is out, or was, still holds its server; the next list looks again.
        self.known = {name: s for name, s in self.known.items() if s.state != 'gone' or s.out}
        ready = [server for server in self.known.values() if server.state == 'ready']
        self.caches = sorted((s for s in ready if not s.origin), key=lambda s: s.name)
        self.origin = next((s for s in ready if s.origin), None)
        self.total_out = sum(s.out for s in self.caches)

    def count_out(self, server, more):
        """So many more hops of this node wait there."""
        server.out += more
        if not server.origin and server.state == 'ready':
            self.total_out += more

    def answered(self, now, hop, lasted, how, note):
        """The server lives: its trickle doubles once a round trip, and its answer times the copies."""
        server = hop.server
        server.doubt = 0
        if how == 'committed' and not server.origin and self.presence(now, server) == 1:
            self.served += 1
        if server.share < 1 and hop.sent >= server.raised and lasted < hop.tx.profile.goal // 2:
            server.share, server.raised = min(1, 2 * self.turns(now, server)), now
        if server.origin or hop.tx.done:
            return
        first = hop.tx.hops[0]
        if hop.index == 0 and (self.terms.aside or note != 1):
            server.pace.answers.add(lasted)
        if hop.tx.copied and (hop.copy or hop is first) and not first.server.origin:
            first.server.pace.raced(hop.copy, lasted)
            hop.tx.copied = False

    def weigh(self, now, hop, how, lasted):
        """Guards against a server given more than it can do: what it bears grows by one a round of quick
        answers and shrinks by a quarter, once a round, when they take over a third of the goal (an origin's
        the goal), this one and, where a node hears often, those lately: crowded caches stay crowded."""
        server = hop.server
        most = hop.tx.profile.goal if server.origin else hop.tx.profile.goal // 3
        answered = how in ('committed', 'missing')
        well = answered and lasted < hop.tx.profile.goal // 2
        self.smooth += well
        self.poor += not well and how not in BLAMELESS
        if self.smooth + self.poor > Histogram.KEPT:
            self.smooth, self.poor = self.smooth / 2, self.poor / 2
        if answered and lasted < most:
            if server.out + 1 >= server.bear / 2:
                server.bear += 1 / server.bear
        elif (
            hop.sent >= server.eased
            and how != 'unsent'
            and ((min(lasted, server.lag) if self.often else lasted) >= most or how in ('refused', 'error'))
        ):
            if server.bear == 1:
                # One hop from each node keeps a jammed server jammed: let it drain, then trickle back.
                self.halve(now, server)
            server.bear = max(1.0, min(server.bear, server.out + 1) * 0.75)
            server.eased = now

    def time(self, now, hop, how, lasted):
        """What an answer took tells what the next will wait; no connection or place is a goal's wait."""
        server = hop.server
        if how == 'unsent' or hop.tx.write and not server.origin:
            return
        seen = hop.tx.profile.goal if how in ('refused', 'unreachable') else min(lasted, hop.tx.profile.goal)
        if how == 'cancelled' and seen < server.lag:
            return
        server.lag += (seen - server.lag) / (2 if seen < server.lag else 4)
        server.heard = now
        if not server.origin and how != 'unreachable':
            before = self.typical(now)
            self.lag, self.heard = before + (seen - before) / 8, now

    def typical(self, now):
        """The wait that all caches show."""
        return self.lag * self.fade(now, self.heard)

    def expected(self, now, server):
        """The wait to expect there: what was seen of it, fading into what all caches show, as a node of many
        hears from each too seldom. That fades too: a trickle would not tell in time that a jam is over."""
        usual = 0 if server.origin else self.typical(now)
        told = server.word[3] if now < server.word[0] else 0
        return max(told, usual + (server.lag - usual) * self.fade(now, server.heard))

    def fade(self, now, since):
        """How much of what was seen then still counts. Guards against a lock-out: a node among hundreds may
        not get to a server often enough to learn that it is well again."""
        return 0.5 ** min(64, (now - since) / (8 * self.goal))  # never 0, however long ago

    def turns(self, now, server):
        """The part of its own keys' reads that a set-aside server gets; with no news that grows by time."""
        return min(1, server.share / self.fade(now, server.raised))

    def let(self, now, server):
        """The part that it gets: within the fleet's word, of which nothing is left once its time is up."""
        _, least, most, _ = server.word if now < server.word[0] else NO_WORD
        return max(least, min(most, self.turns(now, server)))

    def halve(self, now, server):
        """A server that is crowded, not dead, gets half of its turns until it answers well again."""
        server.share, server.raised = max(FLOOR, self.turns(now, server) / 2), now

    def strain(self):
        """The share of hops that end late or badly. The paper's copies presume that slowness is rare and
        uncorrelated: with half of the hops in trouble, more hops only add to it."""
        return self.poor / (self.smooth + self.poor)

    def unanswered(self, now, server):
        """Guards against servers that are dead, cut off, or take work and answer nothing."""
        server.doubt += 1
        turns = self.turns(now, server)
        if turns < 1 or server.doubt >= DOUBT:
            if turns == 1:
                full = -log(FLOOR, 2) * 8 * self.goal // 10_000
                self.logs.append(
                    'set aside: %s, %d hops unanswered; a trickle tries it, in full in %d s '
                    'unless silent again' % (server.name, server.doubt, full)
                )
            server.share, server.raised = FLOOR, now

    def survey(self, now):
        """The most that warm caches serve in a window, worked out anew once a window."""
        if now - self.window >= self.terms.fall_window:
            weight = sum(s.weight for s in self.caches if self.presence(now, s) == 1)
            mean = self.served / weight * self.terms.fall_window / (now - self.window) if weight else 0
            # The best is kept: in a fast deploy no warm cache is left to measure by; all would starve.
            self.usual, self.served, self.window = max(self.usual, mean), 0, now

    def presence(self, now, server):
        """How much a server counts by its age: what a cold one is sure to be able to do, and no more."""
        if server.started is None or now - server.started >= self.terms.warm_up:
            return 1
        cold = self.terms.cold_from
        return cold + (1 - cold) * max(0, now - server.started) / self.terms.warm_up
