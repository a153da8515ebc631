"""Routing decisions of a node: which cache a transaction goes to, when to hedge or retry, when to give up.

Each instance has one Router, built from the site's terms, a seed and the node's rank. Inputs (list_changed,
list_failed, list_replaced, list_remembered, take, hop_ended, client_gone) take the current time and, like
await_first_list and end_first_list_wait, only update state; the host then calls `decide(now)` until it
returns None. A decision is a tuple led by a verb:
    ('send', hop, timeout)    start this hop to hop.server; timeout None: it may last until the limit
    ('cancel', hop)           stop waiting for this hop
    ('roll_back', tx, after)  final answer: the client may safely retry, after this delay (0: no hint)
    ('abandon', tx)           final answer: the transaction may have run
    ('watch',)                request changes to the server list
    ('wake', when)            call decide() again at this time
    ('log', text)             a log line for operators
Operators call suspend and resume. The host forwards the first committed answer to the client by itself. Every
send passes the gate (gate.py). Times are integers in units of 0.1 ms.
"""

from collections import deque
from heapq import heapify, heappop, heappush
from math import log
from zlib import crc32

from .gate import OVERLOAD_RATIO, Gate, Hop, Tx
from .known import LOOKUP_WINDOW, MIN_IN_FLIGHT, RACE_WINDOW, Histogram, Server
from .terms import IDEMPOTENT, JOURNALLED

NEVER_RAN = ('refused', 'unreachable', 'unsent', 'missing')  # endings that prove that a hop did not run
BUSY_FACTOR = 2  # a cache above this multiple of the mean in-flight hops, plus MIN_IN_FLIGHT, is skipped
BUDGET_RATIO = 0.25  # retries and hedges, as a share of the reads taken
ZONE_FACTOR = 1 << 30  # weight of caches in the node's own zone, for keys that stay in it
MIN_TIMERS = 256
HISTORY_READS = 256  # reads within which a key counts as seen
MASK_64 = (1 << 64) - 1


def mix64(value):
    """Return the splitmix64 hash of an integer; the result is the same in every process."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & MASK_64
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & MASK_64
    return value ^ (value >> 31)


class KeyFrequency:
    """Counts how often each key occurs among the latest reads."""

    __slots__ = ('latest', 'counts')

    def __init__(self, size):
        self.latest, self.counts = deque(maxlen=size), {}

    def add(self, key_hash):
        """Add a read; return whether the key was among the latest reads already."""
        if len(self.latest) == self.latest.maxlen:
            old = self.latest.popleft()
            self.counts[old] -= 1
            if not self.counts[old]:
                del self.counts[old]
        self.latest.append(key_hash)
        self.counts[key_hash] = self.counts.get(key_hash, 0) + 1
        return self.counts[key_hash] > 1

    def share(self, key_hash):
        """Return a key's share of the latest reads, not counting its first."""
        return max(0, self.counts.get(key_hash, 0) - 1) / max(RACE_WINDOW, len(self.latest))


class Router(Gate):
    """Routing state machine of one node: inputs update it, decide() returns the decisions."""

    def __init__(self, terms, seed, rank):
        super().__init__(terms, seed)
        self.retry_delay = min(terms.max_retry_after, self.goal)  # for rejected clients; 0: none
        # ready: transactions to examine; timers: a heap; next_wake: the latest requested wake-up.
        self.ready, self.timers, self.next_wake, self.timer_count = deque(), [], None, 0
        self.most_timers = MIN_TIMERS  # beyond it, those of finished transactions are dropped
        self.arrived, self.interval = 0, 0  # time of the latest transaction, mean time between two
        self.fetching, self.followers = {}, {}  # by key: the transaction that fetches, those that wait for it
        self.queue = deque()  # transactions that wait for capacity at the origin
        self.awaiting = []  # transactions that wait for discovery's first list
        self.fetch_times = Histogram(self.unit)
        self.key_history, self.recent_keys = KeyFrequency(HISTORY_READS), KeyFrequency(LOOKUP_WINDOW)

    # --- the first list -------------------------------------------------------------------------------

    def await_first_list(self):
        """Send nothing until end_first_list_wait(): the remembered list may be out of date."""
        self.awaiting_first_list = True

    def end_first_list_wait(self):
        """Decide on transactions from now on, those that have waited first."""
        self.awaiting_first_list = False
        self.ready.extend(self.awaiting)
        self.awaiting.clear()

    def step_first_list(self, now, tx):
        """Hold a transaction until discovery's first list, or refuse it while its client can still retry."""
        due = self.first_list_due(tx)
        if now >= due:
            return self.give_up(now, tx, 'no list yet')
        self.awaiting.append(tx)
        self.set_timer(due, tx)
        return None

    # --- transactions ---------------------------------------------------------------------------------

    def take(self, now, row, key, limit, write, since):
        """Accept a transaction that reached the node at `since`; it gets exactly one final answer."""
        self.arrived, self.interval = now, (7 * self.interval + now - self.arrived) / 8 if self.arrived else 0
        self.gets_hops_often = 3 * self.interval * len(self.caches) <= 2 * self.goal
        key_hash = crc32(key.encode()) if key is not None else int(self.uniform() * (1 << 32))
        tx = Tx(self.terms.profiles[row], key, key_hash, since, limit, write)
        tx.refused = self.fleet_limits and self.fleet_limits.admit(now, tx.profile)
        tx.hedgeable = self.terms.may_hedge and tx.read  # only idempotent reads are hedged
        if tx.read and key is not None:
            tx.key_seen = self.key_history.add(key_hash)
            self.recent_keys.add(key_hash)
        if not write and not self.late(4 * (now - since)):  # a node that lags behind cannot afford hedges
            self.retry_budget = min(
                RACE_WINDOW, self.retry_budget + BUDGET_RATIO * max(0, 1 - 2 * self.failure_ratio())
            )
        self.ready.append(tx)
        if limit is not None:
            self.set_timer(limit, tx)
        return tx

    def body_received(self, now, tx, limit):
        """Start the clock of a large request whose body is complete; its hop counts as in flight from now."""
        tx.taken, tx.limit = now, limit
        for hop in tx.hops:
            if hop.out:
                hop.sent, hop.weight = now, 1
                self.adjust_in_flight(hop.server, 1)
        self.set_timer(limit, tx)

    def hop_ended(self, now, hop, ending, duration, final, note):
        """Record the end of a hop; each hop ends once. final: the transaction has ended too."""
        tx, server = hop.tx, hop.server
        hop.out, tx.out = False, tx.out - 1
        self.adjust_in_flight(server, -hop.weight)
        hop.ran, hop.failed, hop.how = ending not in NEVER_RAN, ending == 'error', ending
        if ending in ('committed', 'missing') or ending == 'error' and server.origin:
            self.record_answer(now, hop, duration, ending, note)
        elif ending == 'error':
            # A failing cache may be the fastest to answer; a second error in a row counts as silence.
            (self.record_silence if server.unanswered_hops else self.halve_share)(now, server)
            server.unanswered_hops = max(1, server.unanswered_hops)
        elif ending in ('spoilt', 'rejected'):
            server.unanswered_hops = 0  # the server did answer
        elif (
            ending in ('unreachable', 'lost')
            or ending == 'expired'
            and self.over(now, tx)
            or ending == 'cancelled'
            and hop.dropped
            and duration > 2 * server.lag
        ):
            self.record_silence(now, server)
        elif ending == 'refused':
            # A full server is alive, and gets less traffic until it answers again.
            self.halve_share(now, server)
        self.record_latency(now, hop, ending, duration)
        self.update_in_flight_limit(now, hop, ending, duration)
        if server.origin:
            self.fetch_ended(now, hop, ending, duration)
        if ending == 'missing' and not server.origin:
            tx.missed = tx.missed or server
        if final:
            self.finish(now, tx)
        else:
            self.ready.append(tx)

    def finish(self, now, tx):
        """Mark a transaction as finished and release those that wait for its fetch."""
        tx.done = True
        self.release_followers(tx)
        self.ready.append(tx)

    client_gone = finish  # a client that has left needs no answer

    # --- fetches from the origin ----------------------------------------------------------------------

    def fetch_ended(self, now, hop, ending, duration):
        """Release the followers of a fetch, and start the next queued one."""
        tx = hop.tx
        if ending == 'committed':
            self.fetch_times.add(duration)
        self.release_followers(tx)
        while self.queue and self.origin and self.origin.out < self.origin.in_flight_limit:
            waiting = self.queue.popleft()
            if waiting.queued and not waiting.done:
                waiting.queued = waiting.held = False
                self.ready.append(waiting)
                break

    def release_followers(self, leader):
        """Let the followers of this transaction's fetch, if it led one, retry their cache."""
        if self.fetching.get(leader.key) is leader:
            del self.fetching[leader.key]
            for tx in self.followers.pop(leader.key, ()):
                if not tx.done:
                    tx.held, tx.retry_cache = False, tx.missed
                    self.ready.append(tx)

    # --- deciding -------------------------------------------------------------------------------------

    def set_timer(self, when, tx):
        """Set a timer for a transaction, or for the server list if tx is None."""
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, tx))
        if len(self.timers) > self.most_timers:
            self.prune_timers()

    def prune_timers(self):
        """Drop the timers of finished transactions, which hold these in memory until their limits."""
        self.timers = [row for row in self.timers if row[2] is None or not row[2].done or row[2].out]
        heapify(self.timers)
        self.most_timers = max(MIN_TIMERS, 2 * len(self.timers))

    def decide(self, now):
        """Return the next decision, or None if there is none left."""
        if self.logs:
            return 'log', self.logs.popleft()
        if self.next_wake is not None and now >= self.next_wake:
            self.next_wake = None
        while self.timers:
            when, _, tx = self.timers[0]
            stale = tx is not None and tx.done and not tx.out
            if when > now and not stale:
                break
            heappop(self.timers)
            if tx is not None and not stale:
                self.ready.append(tx)
        if self.list_request_at is not None and now >= self.list_request_at:
            # Request the list again if no answer arrives, in time for terms.list_request_within.
            self.list_request_at = now + self.terms.list_request_within // 2
            self.set_timer(self.list_request_at, None)
            return ('watch',)
        while self.ready:
            decision = self.next_decision(now, self.ready[0])
            if decision:
                return decision
            self.ready.popleft()
        if self.timers and (self.next_wake is None or self.timers[0][0] < self.next_wake):
            self.next_wake = self.timers[0][0]
            return 'wake', self.next_wake
        return None

    def next_decision(self, now, tx):
        """Return the decision that a transaction needs now, or None."""
        if tx.done:
            return self.cancel(tx)
        if self.over(now, tx):
            return self.give_up(now, tx, 'time is up') if not tx.out else None
        if tx.held:
            return self.give_up(now, tx, 'waited for a fetch') if now >= self.hold_until(tx) else None
        self.update_warm_rate(now)
        if not tx.hops and (tx.refused or self.late(now - tx.taken)):
            return self.give_up(now, tx, 'limit of the fleet' if tx.refused else 'node is behind')
        if self.awaiting_first_list:
            return self.step_first_list(now, tx)
        if tx.out:
            return self.step_in_flight(now, tx)
        if tx.read and tx.hops and now >= self.hold_until(tx) and tx.hops[-1].ran:
            return self.give_up(now, tx, 'late for another attempt')
        once = tx.write or tx.limit is None or not tx.read and tx.hops and tx.hops[-1].ran
        if tx.missed and not (tx.retry_cache or once):
            return self.step_fetch(now, tx)  # safe for every effect, since a miss has none
        return self.step_read(now, tx, False) if tx.read else self.step_single(now, tx)

    def cancel(self, tx):
        """Cancel one in-flight hop of a finished transaction, if cancelling is allowed."""
        for hop in tx.hops if self.terms.may_cancel else ():
            if hop.out and not hop.dropped:
                hop.dropped = True
                return 'cancel', hop
        return None

    def step_in_flight(self, now, tx):
        """Handle a transaction with a hop in flight: hedge after the delay, or fetch after a miss."""
        if tx.next_send_at is None or now < tx.next_send_at or not tx.hedgeable:
            return None
        if tx.missed:
            return self.step_fetch(now, tx)
        decision = self.step_read(now, tx, True) if self.retry_budget >= 1 else None
        if decision:
            self.retry_budget, tx.hedged = self.retry_budget - 1, True
        return decision

    def step_read(self, now, tx, copy):
        """Send a read to the best untried cache; without one, give up unless this is only a copy."""
        if not (copy or tx.retry_cache or self.pay_for_retry(now, tx)):
            return self.give_up(now, tx, 'no budget for another attempt')
        server = tx.retry_cache or self.choose_cache(now, tx)
        tx.retry_cache = decision = None
        spare = 1 if self.terms.cache_aside else 0  # a miss needs a hop to the origin
        if server and len(tx.hops) < self.terms.max_hops - spare:
            decision = self.send(now, tx, server, copy)
        if not decision:
            tx.next_send_at = None
            return None if copy else self.give_up(now, tx, 'no server may be asked')
        if copy:
            tx.hedge_delay *= 2
            tx.hops[0].server.hedge_timer.since_hedge = 0
        else:
            tx.hedge_delay = server.hedge_timer.next_delay(tx.profile.goal // 4, tx.profile.goal // 2)
        tx.next_send_at = now + max(tx.hedge_delay, copy)  # only the first copy may follow at once
        if tx.hedgeable:
            self.set_timer(tx.next_send_at, tx)
        return decision

    def step_single(self, now, tx):
        """Send a write or a non-repeatable request, which is retried only if it did not run or may repeat."""
        server = tx.retry_cache or (
            self.origin if self.terms.cache_aside and tx.write else self.choose_cache(now, tx)
        )
        tx.retry_cache = None
        decision = server and self.pay_for_retry(now, tx) and self.send(now, tx, server, False)
        return decision or self.give_up(now, tx, 'no server may be asked')

    def step_fetch(self, now, tx):
        """Fetch a missing key from the origin: one fetch per key, within the origin's in-flight limit."""
        tx.next_send_at = None
        leader = self.fetching.get(tx.key)
        if leader is not None and leader is not tx and len(tx.hops) < self.terms.max_hops - 1:
            self.followers.setdefault(tx.key, []).append(tx)
            return self.hold(tx)
        if not self.origin or not self.accepts_read(now, tx, self.origin, self.uniform()):
            return self.give_up(now, tx, 'origin is slow')
        if self.origin.out >= self.origin.in_flight_limit:
            mean = self.fetch_times.mean_and_deviation()[0] or self.goal // 4
            if now + mean * (1 + (len(self.queue) + 1) / self.origin.in_flight_limit) > self.hold_until(tx):
                return self.give_up(now, tx, 'origin is full')
            self.queue.append(tx)
            tx.queued = True
            return self.hold(tx)
        decision = self.send(now, tx, self.origin, False)
        if not decision:
            return self.give_up(now, tx, 'origin may not be asked')
        if tx.key is not None and leader is None:
            self.fetching[tx.key] = tx
        return decision

    def hold(self, tx):
        """Hold a transaction until another one's fetch ends or the origin has capacity."""
        tx.held = True
        self.set_timer(self.hold_until(tx), tx)

    def choose_cache(self, now, tx):
        """Return the best-ranked untried cache that is neither overloaded nor set aside, or None.

        A read that leaves its home cache probably misses and loads the origin, so it takes from the retry
        budget; without budget it stays with its home cache or is rejected."""
        if not self.caches:
            return None
        tried = [hop.server for hop in tx.hops]
        # Writes ignore load limits, except in a wide overload, in which retried writes keep an origin down.
        urgent = tx.write and self.failure_ratio() < 0.5
        busy = BUSY_FACTOR * self.total_out / len(self.caches) + MIN_IN_FLIGHT
        home, spare, aside, drawn = None, None, 0, self.uniform()
        for server in self.ranked(now, tx):
            if server in tried or server.state != 'ready' or not self.cold_budget_allows(now, server):
                continue
            room = urgent or server.out < server.in_flight_limit and self.accepts_read(now, tx, server, drawn)
            share = self.admitted_share(now, server)
            if share < 1:
                # Few candidates, and by chance: one hop from each node would keep them all overloaded.
                aside += 1
                if aside > self.terms.max_hops or self.uniform() >= share:
                    spare = spare or (server if urgent else None)
                    continue
            if room and server.out <= busy:
                if home and not tx.hops:
                    self.retry_budget -= 1
                return server
            if not home:
                home = server
                if not tx.hops and self.retry_budget < 1:
                    return server if room else None
            if room and (spare is None or self.load(now, server) < self.load(now, spare)):
                spare = server
        return spare

    def load(self, now, server):
        """Return a sort key: this node's load relative to the server's capacity, set-aside servers last."""
        size = server.weight * self.capacity_factor(now, server) + 1e-9
        return self.admitted_share(now, server) < 1, (server.out + 1) / size

    def ranked(self, now, tx):
        """Return the caches in weighted rendezvous order, weighted by size, age and zone, for this key.

        A cache that joins, leaves or changes weight moves its own keys only."""
        if tx.rank is None:
            scored, local = [], self.prefers_local(now, tx)
            for s in self.caches:
                drawn = (mix64(s.name_hash ^ tx.key_hash) + 1) / (MASK_64 + 2)
                size = (
                    self.capacity_factor(now, s)
                    * s.weight
                    * (ZONE_FACTOR if local and s.zone == self.terms.zone else 1)
                )
                scored.append((size / -log(drawn), s.name, s))
            scored.sort(reverse=True)
            tx.rank = [row[2] for row in scored]
            if tx.read:
                self.spread_hot_key(tx, local)
        return tx.rank

    def prefers_local(self, now, tx):
        """Return whether a key's home is in the node's own zone, if crossing zones costs more than a miss.

        As waits at the caches or the origin grow, more keys share one home across zones, keys that were not
        read lately first. Guards against misses that the origin cannot take, and against a zone whose caches
        bear less. This depends on the key alone: one with two homes would miss in both."""
        if self.terms.cross_zone_fee <= self.terms.waste_fee:
            return False
        bound = 2 - 6 * self.common_wait(now) / self.goal
        if self.origin:
            bound = min(
                bound, 2 - (4 if tx.key_seen else 6) * self.expected_wait(now, self.origin) / self.goal
            )
        return mix64(tx.key_hash) & 0xFFFF < bound * 0x10000

    def spread_hot_key(self, tx, local):
        """Spread a hot key over as many of its first caches as its share of the reads needs, so that it does
        not overload its home. A key is hot with over half of a cache's fair share of the latest reads."""
        share = max(2 * self.recent_keys.share(tx.key_hash), self.key_history.share(tx.key_hash))
        if not share:
            return
        eligible = sum(s.zone == self.terms.zone for s in self.caches) if local else len(self.caches)
        spread = min(eligible, int(eligible * share) + 1)
        first = int(self.uniform() * spread) if spread > 1 else 0
        tx.rank[:spread] = tx.rank[first:spread] + tx.rank[:first]

    def give_up(self, now, tx, why=None):
        """Return the final answer, a roll-back if a retry by the client is harmless. why: for the host's log.

        All final answers are given here."""
        tx.why = why
        effect = tx.profile.effect
        ran = [hop for hop in tx.hops if hop.ran]
        self.finish(now, tx)
        if not ran or effect == IDEMPOTENT or effect == JOURNALLED and tx.profile.group == 'all':
            return 'roll_back', tx, self.retry_delay
        return 'abandon', tx
