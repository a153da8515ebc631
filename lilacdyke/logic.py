"""All decisions of a lilacdyke node: which cache a transaction goes to, when a copy follows, when to give up.

One Router an instance, from the site's terms, a seed and the node's rank. Inputs (list_changed, list_failed,
list_replaced, list_remembered, take, hop_ended, client_gone) take the present time and only update what is
known; the host then pulls `decide(now)` until it gives None. A decision is a tuple led by a verb:
    ('send', hop, patience)   start this hop, to hop.server, timed out after patience (None: at the limit)
    ('cancel', hop)           stop waiting for this hop
    ('roll_back', tx, after)  final answer: trying again is harmless, best after so long (0: no hint)
    ('abandon', tx)           final answer: nothing is promised
    ('watch',)                ask for the list's changes; ('wake', when) pull again then
    ('log', text)             a line for staff
Operators call suspend and resume. The host passes the first committed answer on by itself. Every send passes
the gate (gate.py). Times are whole tenths of a millisecond.
"""

from collections import deque
from heapq import heappop, heappush
from math import log
from zlib import crc32

from .gate import STRAIN, Gate, Hop, Tx
from .known import LOOKUPS, MARGIN, RACES, Histogram, Server
from .terms import IDEMPOTENT, JOURNALLED

NEVER_RAN = ('refused', 'unreachable', 'unsent', 'missing')  # endings that prove a hop never ran
OVER = 2  # passed over: more than OVER times the mean in-flight plus MARGIN
COPY_SHARE = 0.25  # copies, as a share of the reads taken
NEAR = 1 << 30  # how much more a cache of the node's own zone counts for a key that stays near
PAST = 256  # reads by which a key counts as known
MASK = (1 << 64) - 1


def mix(value):
    """A 64-bit finalizer, the same in every process: neighbouring inputs give unrelated outputs."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & MASK
    return value ^ (value >> 31)


class Lookups:
    """How often each key was among the latest reads."""

    __slots__ = ('marks', 'counts')

    def __init__(self, most):
        self.marks, self.counts = deque(maxlen=most), {}

    def add(self, mark):
        """Count one more; whether it was there already."""
        if len(self.marks) == self.marks.maxlen:
            old = self.marks.popleft()
            self.counts[old] -= 1
            if not self.counts[old]:
                del self.counts[old]
        self.marks.append(mark)
        self.counts[mark] = self.counts.get(mark, 0) + 1
        return self.counts[mark] > 1

    def part(self, mark):
        """A key's part of these reads, beyond the one that any key would have."""
        return max(0, self.counts.get(mark, 0) - 1) / max(RACES, len(self.marks))


class Router(Gate):
    """One node's decisions. Inputs update it; decide() is pulled until it gives None."""

    def __init__(self, terms, seed, rank):
        super().__init__(terms, seed)
        self.hint = min(terms.max_return, self.goal)  # when to come back if turned away; 0: not told
        self.ready, self.alarms, self.asked, self.turn = deque(), [], None, 0  # ready: looked at next
        self.last, self.every = 0, 0  # the last transaction; how far apart they come
        self.fetching, self.followers = {}, {}  # by key: who fetches, who waits for that
        self.queue = deque()  # reads that wait for a place to fetch
        self.fetches = Histogram(self.unit)
        self.past, self.recent = Lookups(PAST), Lookups(LOOKUPS)  # reads

    # --- transactions ---------------------------------------------------------------------------------

    def take(self, now, row, key, limit, write, since):
        """A transaction arrives, since then at the node's door; one final answer is owed from here on."""
        self.last, self.every = now, (7 * self.every + now - self.last) / 8 if self.last else 0
        self.often = 3 * self.every * len(self.caches) <= 2 * self.goal
        mark = crc32(key.encode()) if key is not None else int(self.chance() * (1 << 32))
        tx = Tx(self.terms.profiles[row], key, mark, since, limit, write)
        tx.refused = self.shares and self.shares.admits(now, tx.profile)
        tx.twice = self.terms.may_copy and tx.read  # only idempotent reads are ever out twice
        if tx.read and key is not None:
            tx.known = self.past.add(mark)
            self.recent.add(mark)
        if not write and not self.late(4 * (now - since)):  # copies cost a node that is behind most
            self.copies_left = min(RACES, self.copies_left + COPY_SHARE * max(0, 1 - 2 * self.strain()))
        self.ready.append(tx)
        if limit is not None:
            self.alarm(limit, tx)
        return tx

    def body_came(self, now, tx, limit):
        """The last byte of a large request has come: its time runs, and its hop weighs from here on."""
        tx.taken, tx.limit = now, limit
        for hop in tx.hops:
            if hop.out:
                hop.sent, hop.weight = now, 1
                self.count_out(hop.server, 1)
        self.alarm(limit, tx)

    def hop_ended(self, now, hop, how, lasted, final, note):
        """A hop's one ending. final: the transaction has ended too."""
        tx, server = hop.tx, hop.server
        hop.out, tx.out = False, tx.out - 1
        self.count_out(server, -hop.weight)
        hop.ran, hop.failed, hop.how = how not in NEVER_RAN, how == 'error', how
        if how in ('committed', 'missing') or how == 'error' and server.origin:
            self.answered(now, hop, lasted, how, note)
        elif how == 'error':
            # The quickest answers may come from the worst caches; a second error in a row sets one aside.
            (self.unanswered if server.doubt else self.halve)(now, server)
            server.doubt = max(1, server.doubt)
        elif how in ('spoilt', 'rejected'):
            server.doubt = 0  # it answers, whatever came of that on the way
        elif (
            how in ('unreachable', 'lost')
            or how == 'expired'
            and self.over(now, tx)
            or how == 'cancelled'
            and hop.dropped
            and lasted > 2 * server.lag
        ):
            self.unanswered(now, server)
        elif how == 'refused':
            # A full server is crowded, not dead: it gets less until it answers again.
            self.halve(now, server)
        self.time(now, hop, how, lasted)
        self.weigh(now, hop, how, lasted)
        if server.origin:
            self.fetch_ended(now, hop, how, lasted)
        if how == 'missing' and not server.origin:
            tx.missed = tx.missed or server
        if final:
            self.finish(now, tx)
        else:
            self.ready.append(tx)

    def finish(self, now, tx):
        """The transaction has its final answer: whoever waited for its fetch must not wait in vain."""
        tx.done = True
        self.release(tx)
        self.ready.append(tx)

    client_gone = finish  # nothing more is owed

    # --- the origin's fetches -------------------------------------------------------------------------

    def fetch_ended(self, now, hop, how, lasted):
        """The place at the origin is free for the next that waits."""
        tx = hop.tx
        if how == 'committed':
            self.fetches.add(lasted)
        self.release(tx)
        while self.queue and self.origin and self.origin.out < self.origin.bear:
            waiting = self.queue.popleft()
            if waiting.queued and not waiting.done:
                waiting.queued = waiting.held = False
                self.ready.append(waiting)
                break

    def release(self, leader):
        """A fetch is over, if this one led it: those who waited ask their cache again."""
        if self.fetching.get(leader.key) is leader:
            del self.fetching[leader.key]
            for tx in self.followers.pop(leader.key, ()):
                if not tx.done:
                    tx.held, tx.again = False, tx.missed
                    self.ready.append(tx)

    # --- deciding -------------------------------------------------------------------------------------

    def alarm(self, when, tx):
        """Look at it (None: at the list) at that time."""
        self.turn += 1
        heappush(self.alarms, (when, self.turn, tx))

    def decide(self, now):
        """The next decision, or None when there is none left."""
        if self.logs:
            return 'log', self.logs.popleft()
        if self.asked is not None and now >= self.asked:
            self.asked = None
        while self.alarms:
            when, _, tx = self.alarms[0]
            over = tx is not None and tx.done and not tx.out  # no wake-up is asked for that
            if when > now and not over:
                break
            heappop(self.alarms)
            if tx is not None and not over:
                self.ready.append(tx)
        if self.watch_at is not None and now >= self.watch_at:
            # Ask again should no answer come at all, before this counts as not asked.
            self.watch_at = now + self.terms.ask_within // 2
            self.alarm(self.watch_at, None)
            return ('watch',)
        while self.ready:
            decision = self.step(now, self.ready[0])
            if decision:
                return decision
            self.ready.popleft()
        if self.alarms and (self.asked is None or self.alarms[0][0] < self.asked):
            self.asked = self.alarms[0][0]
            return 'wake', self.asked
        return None

    def step(self, now, tx):
        """What this transaction needs now, if anything."""
        if tx.done:
            return self.cancel(tx)
        if self.over(now, tx):
            return self.give_up(now, tx, 'time is up') if not tx.out else None
        if tx.held:
            return self.give_up(now, tx, 'waited for a fetch') if now >= self.patience(tx) else None
        self.survey(now)
        if not tx.hops and (tx.refused or self.late(now - tx.taken)):
            return self.give_up(now, tx, 'limit of the fleet' if tx.refused else 'node is behind')
        if tx.out:
            return self.step_waiting(now, tx)
        if tx.read and tx.hops and now >= self.patience(tx) and tx.hops[-1].ran:
            return self.give_up(now, tx, 'late for another attempt')
        once = tx.write or tx.limit is None or not tx.read and tx.hops and tx.hops[-1].ran
        if tx.missed and not (tx.again or once):
            return self.step_fetch(now, tx)  # of whatever effect: a miss had none
        return self.step_read(now, tx, False) if tx.read else self.step_once(now, tx)

    def cancel(self, tx):
        """The loser of a race, or a hop whose client has gone, is not waited for."""
        for hop in tx.hops if self.terms.may_cancel else ():
            if hop.out and not hop.dropped:
                hop.dropped = True
                return 'cancel', hop
        return None

    def step_waiting(self, now, tx):
        """A hop is out: send a copy once the delay has passed, or fetch if another cache missed already."""
        if tx.next is None or now < tx.next or not tx.twice:
            return None
        if tx.missed:
            return self.step_fetch(now, tx)
        decision = self.step_read(now, tx, True) if self.copies_left >= 1 else None
        if decision:
            self.copies_left, tx.copied = self.copies_left - 1, True
        return decision

    def step_read(self, now, tx, copy):
        """Send to the best-ranked cache not yet tried; a copy's absence is no reason to give up."""
        if not (copy or tx.again or self.afford(now, tx)):
            return self.give_up(now, tx, 'no budget for another attempt')
        server = tx.again or self.pick(now, tx)
        tx.again = decision = None
        spare = 1 if self.terms.aside else 0  # a miss needs one more hop, to the origin
        if server and len(tx.hops) < self.terms.max_hops - spare:
            decision = self.send(now, tx, server, copy)
        if not decision:
            tx.next = None
            return None if copy else self.give_up(now, tx, 'no server may be asked')
        if copy:
            tx.delay *= 2
            tx.hops[0].server.pace.alone = 0
        else:
            tx.delay = server.pace.delay(tx.profile.goal // 4, tx.profile.goal // 2)
        tx.next = now + max(tx.delay, copy)  # the first may follow at once
        if tx.twice:
            self.alarm(tx.next, tx)
        return decision

    def step_once(self, now, tx):
        """Writes and what must not run twice go once, and again only after proof that they did not run."""
        server = tx.again or (self.origin if self.terms.aside and tx.write else self.pick(now, tx))
        tx.again = None
        decision = server and self.afford(now, tx) and self.send(now, tx, server, False)
        return decision or self.give_up(now, tx, 'no server may be asked')

    def step_fetch(self, now, tx):
        """Ask the origin for what a cache lacked: one fetch a key, and no more out than the origin bears."""
        tx.next = None
        leader = self.fetching.get(tx.key)
        if leader is not None and leader is not tx and len(tx.hops) < self.terms.max_hops - 1:
            self.followers.setdefault(tx.key, []).append(tx)
            return self.hold(tx)
        if not self.origin or not self.welcome(now, tx, self.origin, self.chance()):
            return self.give_up(now, tx, 'origin is slow')
        if self.origin.out >= self.origin.bear:
            mean = self.fetches.spread()[0] or self.goal // 4
            if now + mean * (1 + (len(self.queue) + 1) / self.origin.bear) > self.patience(tx):
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
        """Wait, with nothing sent, for another's fetch or a place at the origin."""
        tx.held = True
        self.alarm(self.patience(tx), tx)

    def pick(self, now, tx):
        """The best-ranked cache not yet tried, passing over those far busier than the mean or set aside.

        A read passed over is likely a miss where it lands, and the origin bears few: like a copy it takes
        from the budget; without budget it stays with its home or is turned away."""
        if not self.caches:
            return None
        tried = [hop.server for hop in tx.hops]
        # Writes go where reads do not, until hops fail all over: then retried writes keep an origin down.
        urgent = tx.write and self.strain() < 0.5
        busy = OVER * self.total_out / len(self.caches) + MARGIN
        home, spare, aside, drawn = None, None, 0, self.chance()
        for server in self.ranked(now, tx):
            if server in tried or server.state != 'ready' or not self.cold_room(now, server):
                continue
            room = urgent or server.out < server.bear and self.welcome(now, tx, server, drawn)
            turns = self.let(now, server)
            if turns < 1:
                # Only the foremost, and by chance: a hop of each node at each would keep all jammed.
                aside += 1
                if aside > self.terms.max_hops or self.chance() >= turns:
                    spare = spare or (server if urgent else None)
                    continue
            if room and server.out <= busy:
                if home and not tx.hops:
                    self.copies_left -= 1
                return server
            if not home:
                home = server
                if not tx.hops and self.copies_left < 1:
                    return server if room else None
            if room and (spare is None or self.load(now, server) < self.load(now, spare)):
                spare = server
        return spare

    def load(self, now, server):
        """How loaded a server is by this node, for its size and age; the set-aside come last."""
        size = server.weight * self.presence(now, server) + 1e-9
        return self.let(now, server) < 1, (server.out + 1) / size

    def ranked(self, now, tx):
        """Weighted rendezvous: size, age, zone set how many keys a cache wins; others' keys do not move."""
        if tx.rank is None:
            scored, near = [], self.near(now, tx)
            for s in self.caches:
                drawn = (mix(s.mark ^ tx.mark) + 1) / (MASK + 2)
                size = self.presence(now, s) * s.weight * (NEAR if near and s.zone == self.terms.zone else 1)
                scored.append((size / -log(drawn), s.name, s))
            scored.sort(reverse=True)
            tx.rank = [row[2] for row in scored]
            if tx.read:
                self.spread(tx, near)
        return tx.rank

    def near(self, now, tx):
        """Whether a key's home is in the node's own zone, where crossing costs more than work wasted. Guards
        against misses that the origin cannot take, and a zone that bears less: as waits grow, keys go to one
        home for all, those not read lately first. No chance: a key that goes both ways misses twice."""
        if self.terms.cross_price <= self.terms.waste_price:
            return False
        room = 2 - 6 * self.typical(now) / self.goal
        if self.origin:
            room = min(room, 2 - (4 if tx.known else 6) * self.expected(now, self.origin) / self.goal)
        return mix(tx.mark) & 0xFFFF < room * 0x10000

    def spread(self, tx, near):
        """Guards against a key that asks for more than its home bears: with over half of a cache's fair part
        of this node's reads it goes by chance to as many first caches as that takes."""
        part = max(2 * self.recent.part(tx.mark), self.past.part(tx.mark))
        if not part:
            return
        reach = sum(s.zone == self.terms.zone for s in self.caches) if near else len(self.caches)
        wide = min(reach, int(reach * part) + 1)
        turn = int(self.chance() * wide) if wide > 1 else 0
        tx.rank[:wide] = tx.rank[turn:wide] + tx.rank[:turn]

    def give_up(self, now, tx, why=None):
        """The one place that gives a final answer: a roll-back where trying again is harmless. why: for the
        host's log."""
        tx.why = why
        effect = tx.profile.effect
        ran = [hop for hop in tx.hops if hop.ran]
        self.finish(now, tx)
        if not ran or effect == IDEMPOTENT or effect == JOURNALLED and tx.profile.group == 'all':
            return 'roll_back', tx, self.hint
        return 'abandon', tx
