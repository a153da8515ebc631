"""A forwarder's side of verdicts: what it has seen of servers lately, and which of the fleet's verdicts act
here. Pure.

Owns one forwarder's evidence (Seen) and what it was told (Belief). Must never let a verdict act beyond its
span, against newer evidence of this forwarder's own, or on more servers than stated; nor name a server for a
request: what follows of a verdict is a word that the module reads (known.NO_WORD), within its own rules.

Times are whole ticks of the caller's own clock. A server is told apart by (name, start), the start as lists
have it, so that what was seen of one that has been restarted or replaced says nothing of its successor.
"""

from .ledger import longer, shorter

BINS, UNIT = 12, 10  # of answer times: an octave each, the first up to a millisecond
SERVERS = 1_024  # in one report
VERDICTS = 128  # in one plan
WELL, SLOW, FAILING, SILENT, FULL = 'well', 'slow', 'failing', 'silent', 'full'
KINDS = (WELL, SLOW, FAILING, SILENT, FULL)
FIELDS = ('sent', 'well', 'failed', 'silent', 'refused')
HARM_SITE, HARM = 0.25, 0.2  # parts of a site's servers, and of all, that verdicts may hold down at once
LEFT = {
    SILENT: 1 / 32,
    FAILING: 1 / 32,
    FULL: 0.5,
}  # of its turns that a server keeps, at full weight; a slow one as it is slower
BACK = 0.5  # of its turns that one has at least that is well again


class Row:
    """What was seen of one server in a spell: counts, answer times, when it last answered well and soon
    (fine), when it last did not (foul), when it last answered well at all (heard); and how many hops on end
    were silent or failed (run), up to the newest."""

    __slots__ = (*FIELDS, 'times', 'fine', 'foul', 'heard', 'run')

    def __init__(self):
        self.sent = self.well = self.failed = self.silent = self.refused = 0
        self.times, self.fine, self.foul, self.heard, self.run = [0] * BINS, None, None, None, 0

    def add(self, other):
        """Both together."""
        for name in FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.times = [mine + more for mine, more in zip(self.times, other.times)]
        self.fine, self.foul, self.heard = (
            later(self.fine, other.fine),
            later(self.foul, other.foul),
            later(self.heard, other.heard),
        )
        return self

    @property
    def newest(self):
        return later(self.fine, self.foul)

    @property
    def middle(self):
        """The bin of the middle answer time, or None."""
        left = (sum(self.times) + 1) // 2
        for index, count in enumerate(self.times):
            left -= count
            if count and left <= 0:
                return index
        return None


def later(one, other):
    """The later of two times, either of which may be None."""
    return other if one is None else one if other is None else max(one, other)


class Seen:
    """One forwarder's own evidence, of two spells: the present one and the one before. late: from when on an
    answer is slow."""

    __slots__ = ('span', 'late', 'rows', 'before', 'since', 'runs')

    def __init__(self, now, span, late=1 << 40):
        self.span, self.late = span // 4, late  # span: of a spell
        self.rows, self.before, self.since = {}, {}, now
        self.runs = {}  # by server: how many hops on end have been bad

    def turn(self, now):
        """Old spells end."""
        if now >= self.since + 2 * self.span:
            self.rows, self.before, self.since = {}, {}, now
        elif now >= self.since + self.span:
            self.rows, self.before, self.since = {}, self.rows, now

    def ended(self, now, server, how, lasted):
        """A hop to a server has ended: well, failed, silent or refused, after so long."""
        self.turn(now)
        row = self.rows.get(server)
        if row is None:
            if len(self.rows) >= SERVERS:
                return
            row = self.rows[server] = Row()
        row.sent += 1
        setattr(row, how, getattr(row, how) + 1)
        if how != 'well' or lasted >= self.late:
            row.foul = now
        else:
            row.fine = now
        self.runs[server] = self.runs.get(server, 0) + 1 if how in ('silent', 'failed') else 0
        if how == 'well':
            row.heard = now
            row.times[min(BINS - 1, (lasted // UNIT).bit_length())] += 1
            # Who answers is not silent any more: that is news as soon as its silence was.
            for rows in (self.rows, self.before):
                if server in rows:
                    rows[server].sent, rows[server].silent = rows[server].sent - rows[server].silent, 0

    def report(self, now):
        """All that was seen in both spells, by server, as plain values: counts, times, the ages of the last
        answer that was good, of the last hop that was not, and of the last answer (None: none), and how many
        hops on end were bad. Told whole: a report that is lost, doubled or late changes nothing of what the
        next one says."""
        self.turn(now)
        told = {}
        for server in list(dict.fromkeys([*self.rows, *self.before]))[:SERVERS]:
            row = Row()
            for rows in (self.rows, self.before):
                if server in rows:
                    row.add(rows[server])
            told[server] = [
                *(getattr(row, name) for name in FIELDS),
                list(row.times),
                *(None if when is None else now - when for when in (row.fine, row.foul, row.heard)),
                self.runs.get(server, 0),
            ]
        self.runs = {server: count for server, count in self.runs.items() if server in told}
        return told


class Held:
    """One verdict as it was told here: newest, when its newest evidence was seen, at the earliest."""

    __slots__ = ('newest', 'kind', 'factor', 'took', 'witnesses', 'sites', 'weight', 'way')

    def __init__(self, newest, kind, factor, took, witnesses, sites, weight, way):
        self.newest, self.kind, self.factor, self.took = newest, kind, factor, took
        self.witnesses, self.sites, self.weight, self.way = witnesses, sites, weight, way

    @property
    def harsh(self):
        return self.kind != WELL

    def sure(self):
        """The surest first: on the server before on a way to it, more sites, more forwarders, more weight."""
        return self.way, -self.sites, -self.witnesses, -self.weight

    def word(self, until, weight):
        """What the module reads: until when, the least and the most of the server's turns, the wait to
        expect."""
        if self.kind == WELL:
            return until, BACK * weight, 1, 0
        left = 1 / max(1.0, self.factor) if self.kind == SLOW else LEFT[self.kind]
        return until, 0, left**weight, int(self.took * weight) if self.kind == SLOW else 0


class Belief:
    """Which verdicts a forwarder may act on, and how much. Where it has fresh evidence of its own, that
    decides."""

    __slots__ = ('span', 'held', 'good', 'bad', 'late')

    def __init__(self, span, chance, late=0):
        # Not all go back to their own view at once: guards against a fleet that turns as one when its
        # planners are gone.
        self.span = int(shorter(span) * (0.75 + 0.25 * chance()))
        self.late = late  # what answers must take for a slow server to be any trouble
        self.held, self.good, self.bad = (
            {},
            {},
            {},
        )  # by server: what was told; when it last did well here, and badly

    def saw(self, now, server, well):
        """This forwarder's own: a server did well, or badly."""
        seen = self.good if well else self.bad
        seen.pop(server, None)
        seen[server] = now
        if len(seen) > SERVERS:
            del seen[next(iter(seen))]

    def planned(self, asked, rows):
        """Verdicts of a plan that answers the digest sent at `asked`. Of two on one server the one with the
        newer evidence counts."""
        for name, started, kind, factor, took, witnesses, sites, age, weight, way in rows[:VERDICTS]:
            newest, server = asked - longer(age), (name, started)
            had = self.held.get(server)
            if had is None or newest > had.newest:
                self.held[server] = Held(newest, kind, factor, took, witnesses, sites, weight, way)
        while len(self.held) > SERVERS:
            del self.held[next(iter(self.held))]

    def acts(self, now, server):
        """The verdict that may act on a server now, or None: none, one that is too old, or own evidence as
        new that says otherwise."""
        had = self.held.get(server)
        if had is None:
            return None
        if now >= had.newest + self.span:
            del self.held[server]
            return None
        own = (self.good if had.harsh else self.bad).get(server)
        return (
            None
            if own is not None and own >= had.newest or had.kind == SLOW and had.took < self.late
            else had
        )

    def words(self, now, servers):
        """{server: (verdict, word)} of those that act. servers: {server: site}, all of this forwarder's list:
        no more of them are held down than stated, of each site and in all, whoever said what; the least
        certain give way."""
        acting = [
            (server, had)
            for server in list(self.held)
            if server in servers and (had := self.acts(now, server)) is not None
        ]
        sizes, down, found = {}, {}, {}
        for site in servers.values():
            sizes[site] = sizes.get(site, 0) + 1
        for server, had in sorted(acting, key=lambda pair: (pair[1].sure(), pair[0])):
            site = servers[server]
            if had.harsh:
                if sum(down.values()) + 1 > HARM * len(servers) or down.get(site, 0) + 1 > max(
                    1, HARM_SITE * sizes[site]
                ):
                    continue
                down[site] = down.get(site, 0) + 1
            until = had.newest + self.span
            found[server] = had, had.word(until, had.weight * min(1.0, 2 * (until - now) / self.span))
        return found
