"""What forwarders saw of servers, put together by a planner: evidence in, verdicts out. Pure.

Owns the newest evidence of each seat (Sight) and what follows from all of it. Must never do I/O, read a
clock, trust one forwarder alone, or make a verdict out of what everybody sees everywhere: that is load.

Times are whole ticks of the caller's own clock; rates of clocks differ as in ledger.py. How a verdict's age
holds without a common clock: a planner takes evidence for as old as it can be (the digest left no earlier
than the plan that it echoes, and the time that that was held); a forwarder takes a plan for made when its own
digest left, which it answers. Either errs to the early side, so a verdict ends no later than `span` after the
newest thing that anybody saw of it.
"""

from .belief import BINS, FAILING, FIELDS, FULL, SERVERS, SILENT, SLOW, UNIT, VERDICTS, WELL, Row
from .ledger import longer

LEAST = 4  # hops in sum that a verdict stands on
MOST = 8  # hops of one forwarder that count: the busiest, or one that makes them up, weighs no more
BOTH = 2  # forwarders, and sites where there are two, that a verdict on a server needs
BAD = 0.5  # share of hops unanswered, failed or refused that condemns; and of forwarders that must agree
SLOWER = 2.0  # times the middle server's middle answer time
TURNS = 3  # changes of mind within four spans from which a verdict weighs half
WITNESSES = 4_096  # seats
LOOKS = 24  # looks at all evidence, in a span


class Witness:
    """The newest evidence of one seat: by server, (life, number of the report, row)."""

    __slots__ = ('site', 'rows', 'life')

    def __init__(self):
        self.site, self.life, self.rows = None, None, {}


class Verdict:
    """What is held of a server: kind, how much slower, what its middle answer takes (ticks), by how many
    forwarders of how many sites, when the newest evidence was seen, for which site alone it holds (None: for
    all), and how much it weighs."""

    __slots__ = ('server', 'kind', 'factor', 'took', 'witnesses', 'sites', 'newest', 'site', 'weight')

    def __init__(self, server, kind, factor, agreeing, site):
        self.server, self.kind, self.factor, self.site, self.weight = server, kind, factor, site, 1.0
        self.witnesses, self.sites = (
            len({seat for seat, _, _ in agreeing}),
            len({where for _, where, _ in agreeing}),
        )
        whole = together(agreeing)
        # Of a bad one the newest that was bad: own eyes that have seen better since decide. None: a slow one
        # that is soon enough for all.
        self.newest = whole.fine if kind == WELL else whole.foul
        self.took = UNIT << whole.middle if whole.middle is not None else 0

    def plain(self, now):
        """As a plan tells it, with its age."""
        return [
            *self.server,
            self.kind,
            self.factor,
            self.took,
            self.witnesses,
            self.sites,
            now - self.newest,
            self.weight,
            self.site is not None,
        ]


class Sight:
    """A planner's: the newest evidence of each seat, and what follows. span: S."""

    __slots__ = ('span', 'witnesses', 'turns', 'last', 'looked', 'held')

    def __init__(self, span):
        self.span, self.witnesses = span, {}
        self.last, self.turns = {}, {}  # by server: what was held; when that changed lately
        self.looked, self.held = None, {}  # when all was last looked at, and what followed

    # --- inputs -----------------------------------------------------------------------------------------

    def told(self, left, seat, site, life, seq, report):
        """What a seat saw, or what of it has changed; it left at `left` at the earliest, by this clock. The
        newest of a seat on a server is all that counts of it: told often, by two ways or under a second life
        it counts once."""
        rows = {}
        for server, (*counts, times, fine, foul, heard, run) in list(report.items())[:SERVERS]:
            row = rows[server] = Row()
            for name, count in zip(FIELDS, counts):
                setattr(row, name, count)
            row.times = [*times, *[0] * BINS][:BINS]
            row.fine, row.foul, row.heard = (
                None if age is None else left - longer(age) for age in (fine, foul, heard)
            )
            row.run = min(run, MOST)
            if row.newest is None:
                del rows[server]  # says nothing
                continue
            self.even(row)
        had = self.witnesses.get(seat)
        if had is None:
            if len(self.witnesses) >= WITNESSES:
                return
            had = self.witnesses[seat] = Witness()
        for server, row in rows.items():
            known = had.rows.get(server)
            # Of one life the later report counts; of two, the newer evidence: a word of a life that has ended
            # may come late.
            if known is None or (seq > known[1] if life == known[0] else row.newest >= known[2].newest):
                had.site, had.life, had.rows[server] = site, life, (life, seq, row)

    @staticmethod
    def even(row):
        """Guards against a forwarder whose hops would outnumber all others': MOST of them count, in their
        shares."""
        if row.sent > MOST:
            for name in FIELDS:
                setattr(row, name, getattr(row, name) * MOST / row.sent if name != 'sent' else row.sent)
            row.sent = MOST
        total = sum(row.times)
        if total > MOST:
            row.times = [count * MOST / total for count in row.times]

    # --- what follows -----------------------------------------------------------------------------------

    def now_held(self, now):
        """All verdicts, by (server, site for which alone it holds or None); looked at anew a few times in a
        span."""
        if self.looked is None or not self.looked <= now < self.looked + self.span // LOOKS:
            self.looked, self.held = now, self.verdicts(now)
        return self.held

    def rows_for(self, now, site, doubts):
        """What a forwarder of a site is told: all that is bad, and that a server is well where it doubts
        that."""
        rows = [
            verdict
            for verdict in self.now_held(now).values()
            if verdict.site in (None, site) and (verdict.kind != WELL or verdict.server in doubts)
        ]
        rows.sort(
            key=lambda verdict: (verdict.kind == WELL, -verdict.sites, -verdict.witnesses, verdict.server)
        )
        return [verdict.plain(now) for verdict in rows[:VERDICTS]]

    def fresh(self, now):
        """By server, the rows that are young enough, with who says so: [(seat, site, row)]. Forgets what is
        not."""
        found = {}
        for seat, witness in list(self.witnesses.items()):
            witness.rows = {
                server: kept for server, kept in witness.rows.items() if now < kept[2].newest + self.span
            }
            for server, (_, _, row) in witness.rows.items():
                found.setdefault(server, []).append((seat, witness.site, row))
        return {server: self.spoken_since(rows) for server, rows in found.items()}

    @staticmethod
    def spoken_since(rows):
        """A silence counts no more once the server has answered two forwarders since, one of them from
        there."""
        silent = [row for row in rows if row[2].silent]
        if not silent:
            return rows
        answers = sorted(
            ((row.heard, seat, site) for seat, site, row in rows if row.heard is not None),
            key=lambda answer: -answer[0],
        )
        kept = []
        for seat, site, row in rows:
            here = next((answer for answer in answers if answer[2] == site and answer[1] != seat), None)
            other = here and next((answer for answer in answers if answer[1] not in (seat, here[1])), None)
            if not (row.silent and other and row.newest < min(here[0], other[0])):
                kept.append((seat, site, row))
        return kept

    @staticmethod
    def lately(rows):
        """Only what was bad, where nobody has had an answer since: what was well before that says nothing any
        more. Else all rows."""
        newest = max((row.heard for _, _, row in rows if row.heard is not None), default=None)
        ended = [
            (seat, site, row)
            for seat, site, row in rows
            if row.run and row.foul is not None and (newest is None or row.foul > newest)
        ]
        if len({seat for seat, _, _ in ended}) < BOTH or sum(row.run for _, _, row in ended) < LEAST:
            return rows
        found = []
        for seat, site, row in ended:
            made = Row()
            made.sent, made.foul = row.run, row.foul
            made.silent, made.failed = (0, row.run) if row.failed > row.silent else (row.run, 0)
            found.append((seat, site, made))
        return found

    def blind(self, fresh, wholes):
        """Seats whose own view is at odds with what others see of the same servers: one that finds most bad
        of what others find well, or that is slow to all of what others get quick answers from. They count for
        nothing."""
        odd, common = {}, {}
        for server, rows in fresh.items():
            whole = wholes[server]
            for seat, _, row in rows:
                sent, bad = whole.sent - row.sent, whole.silent + whole.failed - row.silent - row.failed
                if sent < LEAST or not row.sent or bad >= BAD * sent:
                    continue
                common[seat] = common.get(seat, 0) + 1
                late = False
                if any(row.times):
                    others = Row()
                    others.times = [mine - less for mine, less in zip(whole.times, row.times)]
                    late = sum(others.times) >= 1 and others.middle is not None and row.middle > others.middle
                odd[seat] = odd.get(seat, 0) + (worst(row) or late)
        return {seat for seat, count in odd.items() if common[seat] > 1 and 2 * count > common[seat]}

    def verdicts(self, now):
        """All verdicts now, by (server, site for which alone it holds or None)."""
        fresh = self.fresh(now)
        blind = self.blind(fresh, {server: together(rows) for server, rows in fresh.items()})
        seen = {
            server: kept
            for server, rows in fresh.items()
            if (kept := [row for row in rows if row[0] not in blind])
        }
        wholes = {server: together(rows) for server, rows in seen.items()}
        usual = Usual(wholes.values())
        all_sites = {site for rows in seen.values() for _, site, _ in rows}
        found = [
            verdict
            for server, rows in seen.items()
            for verdict in self.judged(server, rows, wholes[server], usual, len(all_sites))
        ]
        self.remember(now, found)
        return {(verdict.server, verdict.site): verdict for verdict in found if verdict.newest is not None}

    @staticmethod
    def judged(server, rows, whole, usual, all_sites):
        """The verdicts on one server: on itself if enough agree, else on the way of a site to it."""
        sites = {site for _, site, _ in rows}
        every, rows = rows, Sight.lately(rows)
        whole = whole if rows is every else together(rows)
        kind, factor = usual.held_of(whole)
        agreeing = [row for row in rows if usual.agrees(row[2], kind, whole)]
        seats, where = {seat for seat, _, _ in agreeing}, {site for _, site, _ in agreeing}
        most = 2 * len(agreeing) >= len(rows)
        if kind == WELL:
            made = [Verdict(server, WELL, 1.0, agreeing, None)] if len(seats) >= BOTH and most else []
        elif (
            kind is not None
            and most
            and len(seats) >= BOTH
            and len(where) >= min(BOTH, all_sites)
            and not {site for _, site, _ in rows} - where
        ):
            return [Verdict(server, kind, factor, agreeing, None)]
        else:
            made = []
        for site in sites:
            here = Sight.lately([row for row in every if row[1] == site])
            whole = together(here)
            kind, factor = usual.held_of(whole)
            agreeing = [row for row in here if usual.agrees(row[2], kind, whole)]
            if kind not in (None, WELL) and len(agreeing) >= BOTH and 2 * len(agreeing) >= len(here):
                made.append(Verdict(server, kind, factor, agreeing, site))
        return made

    def remember(self, now, found):
        """Servers that fail and recover by turns: what would always be one turn late weighs half."""
        kinds = {verdict.server: verdict.kind for verdict in found if verdict.site is None}
        for server, kind in kinds.items():
            if self.last.get(server, kind) != kind:
                self.turns.setdefault(server, []).append(now)
            self.last[server] = kind
        for server in list(self.turns):
            self.turns[server] = [when for when in self.turns[server] if now < when + 4 * self.span]
            if not self.turns[server]:
                del self.turns[server]
        if len(self.last) > 2 * SERVERS:
            self.last = kinds
        for verdict in found:
            if len(self.turns.get(verdict.server, ())) >= TURNS:
                verdict.weight = 0.5


class Usual:
    """How the middle server does: what is bad is bad beside that. Guards against condemning servers for a
    load that all of them bear."""

    __slots__ = ('middle', 'bad')

    def __init__(self, wholes):
        middles = sorted(middle for whole in wholes if (middle := whole.middle) is not None)
        self.middle = middles[len(middles) // 2] if middles else None
        shares = {
            kind: sorted(count(whole) / whole.sent for whole in wholes if whole.sent)
            for kind, count in COUNTS
        }
        self.bad = {kind: share[len(share) // 2] if share else 0.0 for kind, share in shares.items()}

    def held_of(self, row, least=LEAST):
        """(kind, how many times slower) of what was seen, or (None, 1.0) if that is too little."""
        if row.sent < least:
            return None, 1.0
        for kind, count in COUNTS:
            if count(row) >= BAD * row.sent:
                return (kind, 1.0) if 2 * self.bad[kind] < BAD else (None, 1.0)
        if row.middle is not None and self.middle is not None and 2.0 ** (row.middle - self.middle) >= SLOWER:
            return SLOW, 2.0 ** (row.middle - self.middle)
        return WELL, 1.0

    def agrees(self, row, kind, whole):
        """Whether one forwarder saw the same; a slow server, about as slow."""
        return (
            self.held_of(row, 1)[0] == kind
            and (kind == WELL or row.foul is not None)
            and (kind != SLOW or row.middle >= whole.middle - 1)
        )


COUNTS = (
    (SILENT, lambda row: row.silent),
    (FAILING, lambda row: row.failed),
    (FULL, lambda row: row.refused),
)


def together(rows):
    """All rows as one."""
    whole = Row()
    for _, _, row in rows:
        whole.add(row)
    return whole


def worst(row):
    """Whether most hops went unanswered or failed."""
    return row.sent > 0 and (row.silent + row.failed) >= BAD * row.sent
