"""A node's view of its servers: membership, latency, in-flight limits, health and warm-up.

Inputs update this state; the gate and the router read it. No routing decision is made here.
"""

from collections import deque
from math import log
from random import Random
from zlib import crc32

# Endings that say nothing about a server's load. 'rejected': the server answered that the request is invalid.
NEUTRAL_ENDINGS = ('unsent', 'cancelled', 'spoilt', 'rejected', 'lost')
MIN_SHARE = 1 / 32  # traffic kept at a server that is set aside, as a share of its normal traffic
SET_ASIDE_AFTER = 4  # consecutive unanswered hops
# Hedged lookups and lookups that the hedging policy looks back on, as in the CoDNS paper.
RACE_WINDOW, LOOKUP_WINDOW = 16, 32
MIN_IN_FLIGHT = 2  # lower bound of a new server's in-flight limit, and slack above the mean load
INITIAL_IN_FLIGHT = 32.0  # in-flight limit of a server without any history
MAX_SUSPENDED = 1_024  # remembered suspensions, ended ones included
# What the fleet says of a server: valid until, lower and upper bound of its share, expected wait.
NO_FLEET_BOUNDS = (0, 0, 1, 0)


class Histogram:
    """Histogram of times in half-octave bins, whose counts are halved regularly so that old samples fade."""

    __slots__ = ('squared_unit', 'bins', 'total', 'unit')
    BINS, DECAY_AFTER = 18, 128

    def __init__(self, unit):
        self.unit = max(1, unit)
        self.squared_unit = self.unit**2
        self.bins = [0] * self.BINS
        self.total = 0

    def add(self, value):
        self.bins[min(self.BINS - 1, (value * value // self.squared_unit).bit_length())] += 1
        self.total += 1
        if self.total >= self.DECAY_AFTER:
            self.bins = [count >> 1 for count in self.bins]
            self.total = sum(self.bins)

    def lower_edge(self, index):
        """Return the lower edge of a bin."""
        return self.unit * 2 ** ((index - 1) / 2) if index else 0

    def quantile(self, fraction):
        """Return the time that this fraction of the samples stays under, interpolated within its bin."""
        remaining = fraction * self.total
        for index, count in enumerate(self.bins):
            if count and remaining <= count:
                low, high = self.lower_edge(index), self.lower_edge(index + 1)
                return int(low + (high - low) * remaining / count)
            remaining -= count
        return int(self.lower_edge(self.BINS))

    def mean_and_deviation(self):
        """Return the mean and the standard deviation, counting each bin at its middle."""
        if not self.total:
            return 0, 0
        middles = [(self.lower_edge(i) + self.lower_edge(i + 1)) / 2 for i in range(self.BINS)]
        mean = sum(n * m for n, m in zip(self.bins, middles)) / self.total
        variance = sum(n * (m - mean) ** 2 for n, m in zip(self.bins, middles)) / self.total
        return int(mean), int(variance**0.5)


class HedgeTimer:
    """Delay before a lookup whose first hop goes to this cache is hedged with a copy: the three rules of the
    CoDNS paper."""

    __slots__ = ('latencies', 'hedge_latencies', 'hedge_wins', 'since_hedge', 'fast_stage')

    def __init__(self, unit):
        self.latencies = Histogram(unit)  # of answers from this cache as a lookup's first cache
        self.hedge_latencies = Histogram(unit)  # of copies that answered before this cache
        self.hedge_wins = deque(maxlen=RACE_WINDOW)  # for the latest hedged lookups, whether the copy won
        self.since_hedge = 0  # lookups since the last hedged one
        self.fast_stage = (
            None  # None: base delay; 0: hedge at once; 1: the copies' mean latency plus deviation
        )

    def next_delay(self, default, max_delay):
        """Return the delay before the first copy of the next lookup; default: while there is no history."""
        self.since_hedge += 1
        if self.since_hedge > LOOKUP_WINDOW:
            self.fast_stage = None
        if self.fast_stage == 0:
            self.fast_stage = 1
            return 0
        if self.fast_stage == 1:
            return min(max_delay, sum(self.hedge_latencies.mean_and_deviation()))
        if self.latencies.total < RACE_WINDOW:
            return default
        return min(max_delay, 3 * self.latencies.quantile(0.95) // 2)

    def record_race(self, won, latency):
        """Record the answer of a hedged lookup and whether the copy won."""
        self.hedge_wins.append(won)
        if won:
            self.hedge_latencies.add(latency)
        if sum(self.hedge_wins) > RACE_WINDOW // 2:
            self.fast_stage = 0
            self.hedge_wins.clear()


class Server:
    """State of a cache server or the origin, created by the host when a server list first names it."""

    __slots__ = (
        'name',
        'origin',
        'name_hash',
        'state',
        'listed_state',
        'weight',
        'started',
        'zone',
        'cell',
        'out',
        'share',
        'unanswered_hops',
        'share_updated',
        'hedge_timer',
        'cold_credit',
        'credit_updated',
        'in_flight_limit',
        'limit_cut',
        'lag',
        'latency_updated',
        'fleet_bounds',
    )

    def __init__(self, name, origin):
        self.name, self.origin, self.fleet_bounds = name, origin, NO_FLEET_BOUNDS
        self.name_hash = crc32(name.encode()) << 32
        self.state, self.weight, self.started, self.zone, self.cell = 'gone', 1, None, 0, 0
        self.listed_state = (
            'gone'  # as listed; self.state is 'banned' for a ready server that an operator suspended
        )
        self.out = 0  # this node's in-flight hops
        self.share = 1  # share of the reads of its keys that it gets; below 1 while set aside
        self.unanswered_hops = 0  # consecutive unanswered hops
        self.share_updated = 0
        self.in_flight_limit, self.limit_cut = INITIAL_IN_FLIGHT, 0  # limit_cut: time of the last decrease
        self.lag, self.latency_updated = 0, 0  # moving average of its latency
        self.cold_credit, self.credit_updated = 0, 0  # token bucket for hops while it is cold
        self.hedge_timer = None


class ServerTable:
    """All servers that a node knows, with the measurements over them."""

    def __init__(self, terms, seed):
        self.terms, self.uniform = terms, Random(seed).random
        self.goal = min(profile.goal for profile in terms.profiles)
        self.unit = max(1, self.goal // 32)
        self.caches, self.origin, self.servers_by_name = [], None, {}
        self.suspensions = {}  # suspensions by name: (start, end), end None while it lasts
        self.logs = deque()
        # Decaying counts of hops that ended well and badly; whether each cache gets a hop or more per goal.
        self.good_hops, self.bad_hops, self.gets_hops_often = 1.0, 0.0, True
        self.peak_warm_rate = 0  # peak of the warm caches' answers per window and unit of weight
        self.warm_answers, self.window_start = 0, 0  # answers in the current window
        self.total_out = 0  # in-flight hops at ready caches
        self.lag, self.latency_updated = 0, 0  # moving average over reads at all caches
        self.list_request_at, self.failures = 0 if terms.list_on_request else None, 0

    # --- membership -----------------------------------------------------------------------------------

    def list_changed(self, now, entries):
        """Apply changes to the server list."""
        self.failures, self.list_request_at = 0, None
        self.list_remembered(now, entries)

    def list_replaced(self, now, entries):
        """Replace the whole server list; servers that it does not name are gone."""
        named = {entry[0].name for entry in entries}
        for server in (s for s in self.servers_by_name.values() if s.name not in named):
            server.state = 'gone'
        self.list_changed(now, entries)

    def list_remembered(self, now, entries):
        """Apply entries kept from before a restart; they hold until discovery answers."""
        for entry in entries:
            self.list_entry(now, *entry)
        self.rebuild_ready()

    def list_failed(self, now):
        """Schedule a retry after a failed call or broken watch: jittered exponential backoff, capped so that
        requests stay more frequent than terms.list_request_within demands."""
        self.failures += 1
        wait = min(self.terms.list_request_within // 4, self.goal << min(self.failures, 8))
        self.list_request_at = now + int(wait * (0.5 + self.uniform()))
        self.set_timer(self.list_request_at, None)

    def list_entry(self, now, server, state, weight, started, zone, cell):
        since, back = self.suspensions.get(server.name, (0, 0))
        if back and (started is None or started < since):
            started = back  # the list may not know yet that the server restarted while it was suspended
        if started != server.started or server.state == 'gone':
            # A restarted server is cold, and its history is void.
            server.share, server.unanswered_hops, server.share_updated, server.limit_cut = 1, 0, now, now
            server.started = started
            server.in_flight_limit = max(MIN_IN_FLIGHT, INITIAL_IN_FLIGHT * self.capacity_factor(now, server))
            server.lag, server.hedge_timer = self.lag, HedgeTimer(self.unit)
            server.cold_credit, server.credit_updated = self.uniform(), now
        server.listed_state, server.weight, server.zone, server.cell = state, weight, zone, cell
        server.state = 'banned' if back is None and state == 'ready' else state
        self.servers_by_name[server.name] = server

    def suspend(self, now, name):
        """Suspend a cache, whatever lists say, until resume(). Return whether it is suspended now."""
        server = self.servers_by_name.get(name)
        if self.is_suspended(name) or server is None or server.origin:
            return self.is_suspended(name)
        self.suspensions.pop(name, None)
        if len(self.suspensions) >= MAX_SUSPENDED:
            self.suspensions.pop(
                next((old for old in self.suspensions if not self.is_suspended(old)), None), None
            )
        if len(self.suspensions) >= MAX_SUSPENDED:
            return False
        self.suspensions[name] = (now, None)
        self.list_remembered(now, [self.row(server)])
        return True

    def resume(self, now, name):
        """End a suspension; the cache was restarted meanwhile and is cold. Return whether it was known."""
        server = self.servers_by_name.get(name)
        if not self.is_suspended(name):
            return server is not None and not server.origin
        self.suspensions[name] = (self.suspensions[name][0], now)
        if server:
            row, server.state = self.row(server), 'gone'
            self.list_remembered(now, [row])
        return True

    def is_suspended(self, name):
        """Return whether an operator has suspended the server."""
        return self.suspensions.get(name, (0, 0))[1] is None

    def export_state(self, now):
        """Return plain values, with ages for times, that import_state() takes in the node's next process."""
        return [
            self.peak_warm_rate,
            {
                s.name: [
                    None if s.started is None else now - s.started,
                    s.cold_credit,
                    max(1, s.in_flight_limit - s.out),
                    s.lag,
                ]
                for s in self.servers_by_name.values()
            },
        ]

    def import_state(self, now, usual, servers):
        """Take over the state of this node's previous process, which stops spending its cold credit."""
        self.peak_warm_rate = usual
        for name, (age, cold_credit, in_flight_limit, lag) in servers.items():
            server = self.servers_by_name.get(name)
            if server:
                server.started = None if age is None else now - age
                server.cold_credit, server.credit_updated, server.in_flight_limit, server.lag = (
                    min(1, cold_credit),
                    now,
                    in_flight_limit,
                    lag,
                )

    @staticmethod
    def row(server):
        """Return a server's entry as in the latest list."""
        return server, server.listed_state, server.weight, server.started, server.zone, server.cell

    def rebuild_ready(self):
        # A gone server is kept while it has in-flight hops, and dropped when a later list is applied.
        self.servers_by_name = {
            name: s for name, s in self.servers_by_name.items() if s.state != 'gone' or s.out
        }
        ready = [server for server in self.servers_by_name.values() if server.state == 'ready']
        self.caches = sorted((s for s in ready if not s.origin), key=lambda s: s.name)
        self.origin = next((s for s in ready if s.origin), None)
        self.total_out = sum(s.out for s in self.caches)

    def adjust_in_flight(self, server, delta):
        """Add delta to the in-flight hops of a server."""
        server.out += delta
        if not server.origin and server.state == 'ready':
            self.total_out += delta

    def record_answer(self, now, hop, duration, ending, note):
        """Record an answer: a reduced share doubles once per round trip; feeds the hedge timer."""
        server = hop.server
        server.unanswered_hops = 0
        if ending == 'committed' and not server.origin and self.capacity_factor(now, server) == 1:
            self.warm_answers += 1
        if server.share < 1 and hop.sent >= server.share_updated and duration < hop.tx.profile.goal // 2:
            server.share, server.share_updated = min(1, 2 * self.current_share(now, server)), now
        if server.origin or hop.tx.done:
            return
        first = hop.tx.hops[0]
        if hop.index == 0 and (self.terms.cache_aside or note != 1):
            server.hedge_timer.latencies.add(duration)
        if hop.tx.hedged and (hop.copy or hop is first) and not first.server.origin:
            first.server.hedge_timer.record_race(hop.copy, duration)
            hop.tx.hedged = False

    def update_in_flight_limit(self, now, hop, ending, duration):
        """Adjust a server's in-flight limit (AIMD) and the counts behind failure_ratio().

        The limit grows by one per round trip of quick answers. It shrinks by a quarter, at most once per
        round trip, after a refusal, an error, or an answer slower than a third of the goal (the whole goal
        at the origin); where answers are frequent, their moving average must be that slow as well. Guards
        against a server that is given more than it can do: a crowded cache stays crowded."""
        server = hop.server
        threshold = hop.tx.profile.goal if server.origin else hop.tx.profile.goal // 3
        answered = ending in ('committed', 'missing')
        good = answered and duration < hop.tx.profile.goal // 2
        self.good_hops += good
        self.bad_hops += not good and ending not in NEUTRAL_ENDINGS
        if self.good_hops + self.bad_hops > Histogram.DECAY_AFTER:
            self.good_hops, self.bad_hops = self.good_hops / 2, self.bad_hops / 2
        if answered and duration < threshold:
            if server.out + 1 >= server.in_flight_limit / 2:
                server.in_flight_limit += 1 / server.in_flight_limit
        elif (
            hop.sent >= server.limit_cut
            and ending != 'unsent'
            and (
                (min(duration, server.lag) if self.gets_hops_often else duration) >= threshold
                or ending in ('refused', 'error')
            )
        ):
            if server.in_flight_limit == 1:
                # One hop from each node may suffice to keep a server overloaded: let its queue drain.
                self.halve_share(now, server)
            server.in_flight_limit = max(1.0, min(server.in_flight_limit, server.out + 1) * 0.75)
            server.limit_cut = now

    def record_latency(self, now, hop, ending, duration):
        """Update the latency averages; a refusal or failed connection counts as a whole goal."""
        server = hop.server
        if ending == 'unsent' or hop.tx.write and not server.origin:
            return
        sample = (
            hop.tx.profile.goal
            if ending in ('refused', 'unreachable')
            else min(duration, hop.tx.profile.goal)
        )
        if ending == 'cancelled' and sample < server.lag:
            return
        server.lag += (sample - server.lag) / (2 if sample < server.lag else 4)
        server.latency_updated = now
        if not server.origin and ending != 'unreachable':
            average = self.common_wait(now)
            self.lag, self.latency_updated = average + (sample - average) / 8, now

    def common_wait(self, now):
        """Return the wait to expect at any cache, which fades without new samples."""
        return self.lag * self.decay(now, self.latency_updated)

    def expected_wait(self, now, server):
        """Return the wait to expect at a server: its own average, fading into that of all caches, since one
        of many nodes gets few samples from each. Both fade, or a node that sends little because of an
        overload would learn too late that it is over."""
        common = 0 if server.origin else self.common_wait(now)
        reported = server.fleet_bounds[3] if now < server.fleet_bounds[0] else 0
        return max(reported, common + (server.lag - common) * self.decay(now, server.latency_updated))

    def decay(self, now, since):
        """Return the weight of an observation made at this time, in (0, 1].

        Without decay a node could avoid a recovered server for ever, as it gets no new samples from it."""
        return 0.5 ** min(64, (now - since) / (8 * self.goal))  # bounded, since callers divide by it

    def current_share(self, now, server):
        """Return a server's current share of its reads; a reduced one grows with time."""
        return min(1, server.share / self.decay(now, server.share_updated))

    def admitted_share(self, now, server):
        """Return the server's share within the bounds that the fleet sets, if they have not expired."""
        _, lowest, highest, _ = server.fleet_bounds if now < server.fleet_bounds[0] else NO_FLEET_BOUNDS
        return max(lowest, min(highest, self.current_share(now, server)))

    def halve_share(self, now, server):
        """Halve the share of an overloaded server until it answers quickly again."""
        server.share, server.share_updated = max(MIN_SHARE, self.current_share(now, server) / 2), now

    def failure_ratio(self):
        """Return the share of recent hops that ended late or badly. Hedging presumes that slowness is rare
        and uncorrelated; in a wide overload, copies only add to it."""
        return self.bad_hops / (self.good_hops + self.bad_hops)

    def record_silence(self, now, server):
        """Count an unanswered hop and set the server aside after SET_ASIDE_AFTER in a row. Guards against
        servers that are dead, cut off, or accept requests and answer none."""
        server.unanswered_hops += 1
        share = self.current_share(now, server)
        if share < 1 or server.unanswered_hops >= SET_ASIDE_AFTER:
            if share == 1:
                recovery_s = -log(MIN_SHARE, 2) * 8 * self.goal // 10_000
                self.logs.append(
                    'set aside: %s, %d hops unanswered; a trickle tries it, in full in %d s '
                    'unless silent again' % (server.name, server.unanswered_hops, recovery_s)
                )
            server.share, server.share_updated = MIN_SHARE, now

    def update_warm_rate(self, now):
        """Update the peak rate of the warm caches once per window."""
        if now - self.window_start >= self.terms.overload_window:
            weight = sum(s.weight for s in self.caches if self.capacity_factor(now, s) == 1)
            rate = (
                self.warm_answers / weight * self.terms.overload_window / (now - self.window_start)
                if weight
                else 0
            )
            # The peak is kept: during a fast deployment no warm cache may be left to measure.
            self.peak_warm_rate, self.warm_answers, self.window_start = max(self.peak_warm_rate, rate), 0, now

    def capacity_factor(self, now, server):
        """Return a server's capacity by its age, from terms.cold_from at its start to 1 when it is warm."""
        if server.started is None or now - server.started >= self.terms.warm_up_time:
            return 1
        cold = self.terms.cold_from
        return cold + (1 - cold) * max(0, now - server.started) / self.terms.warm_up_time
