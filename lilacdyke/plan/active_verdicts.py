"""A forwarder's side of the fleet's verdicts on servers: its own evidence, and the verdicts in effect here.
Free of I/O.

A verdict has no effect beyond its span, against newer evidence of this forwarder's own, or on more servers
than the limits below allow. It never selects a server for a request; it only sets bounds on the server's
share of requests (known.NO_FLEET_BOUNDS has none), which the routing module applies within its own rules.

Times are integer ticks of the caller's own clock. A server is identified by (name, start time in discovery's
list), so that evidence on a server that was restarted or replaced does not count for its successor.
"""

from .ledger import max_elapsed, min_elapsed

BINS, BIN_UNIT = 12, 10  # bins of answer times: the first ends at BIN_UNIT ticks, each further one doubles
SERVERS = 1_024  # per report
MAX_VERDICTS = 128  # per plan
WELL, SLOW, FAILING, SILENT, FULL = 'well', 'slow', 'failing', 'silent', 'full'
KINDS = (WELL, SLOW, FAILING, SILENT, FULL)
FIELDS = ('sent', 'well', 'failed', 'silent', 'refused')
MAX_RESTRAINED_SITE_SHARE, MAX_RESTRAINED_SHARE = 0.25, 0.2  # of a site's servers, and of all
# Share of its usual requests that a server keeps under a verdict of full weight; a slow one keeps 1 / factor.
REMAINING_SHARE = {SILENT: 1 / 32, FAILING: 1 / 32, FULL: 0.5}
RECOVERED_SHARE = 0.5  # least share of its usual requests for a recovered server


class Row:
    """Evidence on one server within a time window.

    Counts of hops by result; a histogram of answer times; the times of the last good and quick answer
    (last_good), of the last hop without one (last_bad) and of the last good answer of any duration
    (last_answer); and the number of consecutive silent or failed hops up to the newest (bad_run).
    """

    __slots__ = (*FIELDS, 'times', 'last_good', 'last_bad', 'last_answer', 'bad_run')

    def __init__(self):
        self.sent = self.well = self.failed = self.silent = self.refused = 0
        self.times, self.last_good, self.last_bad, self.last_answer, self.bad_run = (
            [0] * BINS,
            None,
            None,
            None,
            0,
        )

    def add(self, other):
        """Add another row to this one and return self."""
        for name in FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.times = [mine + more for mine, more in zip(self.times, other.times)]
        self.last_good, self.last_bad, self.last_answer = (
            later(self.last_good, other.last_good),
            later(self.last_bad, other.last_bad),
            later(self.last_answer, other.last_answer),
        )
        return self

    @property
    def newest(self):
        return later(self.last_good, self.last_bad)

    @property
    def median(self):
        """The bin of the median answer time, or None."""
        left = (sum(self.times) + 1) // 2
        for index, count in enumerate(self.times):
            left -= count
            if count and left <= 0:
                return index
        return None


def later(one, other):
    """Return the later of two times, either of which may be None."""
    return other if one is None else one if other is None else max(one, other)


class Seen:
    """One forwarder's own evidence over two time windows, the current and the previous one. late: the
    duration from which an answer counts as slow."""

    __slots__ = ('window', 'late', 'rows', 'previous', 'since', 'bad_runs')

    def __init__(self, now, span, late=1 << 40):
        self.window, self.late = span // 4, late
        self.rows, self.previous, self.since = {}, {}, now
        self.bad_runs = {}  # by server: consecutive silent or failed hops

    def rotate(self, now):
        """Drop windows that have ended."""
        if now >= self.since + 2 * self.window:
            self.rows, self.previous, self.since = {}, {}, now
        elif now >= self.since + self.window:
            self.rows, self.previous, self.since = {}, self.rows, now

    def ended(self, now, server, how, duration):
        """Record the end of a hop to a server. how: 'well', 'failed', 'silent' or 'refused'."""
        self.rotate(now)
        row = self.rows.get(server)
        if row is None:
            if len(self.rows) >= SERVERS:
                return
            row = self.rows[server] = Row()
        row.sent += 1
        setattr(row, how, getattr(row, how) + 1)
        if how != 'well' or duration >= self.late:
            row.last_bad = now
        else:
            row.last_good = now
        self.bad_runs[server] = self.bad_runs.get(server, 0) + 1 if how in ('silent', 'failed') else 0
        if how == 'well':
            row.last_answer = now
            row.times[min(BINS - 1, (duration // BIN_UNIT).bit_length())] += 1
            # An answer cancels earlier silence at once, so that recovery is noticed as fast as an outage.
            for rows in (self.rows, self.previous):
                if server in rows:
                    rows[server].sent, rows[server].silent = rows[server].sent - rows[server].silent, 0

    def report(self, now):
        """Return the evidence of both windows by server as plain values: counts, answer times, the ages of
        the last good answer, the last bad hop and the last answer (None: there was none), and the number of
        consecutive bad hops. Each report is complete, so that a lost, duplicated or late one has no effect
        on the next."""
        self.rotate(now)
        result = {}
        for server in list(dict.fromkeys([*self.rows, *self.previous]))[:SERVERS]:
            row = Row()
            for rows in (self.rows, self.previous):
                if server in rows:
                    row.add(rows[server])
            result[server] = [
                *(getattr(row, name) for name in FIELDS),
                list(row.times),
                *(
                    None if when is None else now - when
                    for when in (row.last_good, row.last_bad, row.last_answer)
                ),
                self.bad_runs.get(server, 0),
            ]
        self.bad_runs = {server: count for server, count in self.bad_runs.items() if server in result}
        return result


class ReceivedVerdict:
    """A verdict received from a planner. newest: the earliest time at which its newest evidence may have been
    seen. way: whether it concerns only the path from this site."""

    __slots__ = ('newest', 'kind', 'factor', 'answer_time', 'witnesses', 'sites', 'weight', 'way')

    def __init__(self, newest, kind, factor, answer_time, witnesses, sites, weight, way):
        self.newest, self.kind, self.factor, self.answer_time = newest, kind, factor, answer_time
        self.witnesses, self.sites, self.weight, self.way = witnesses, sites, weight, way

    @property
    def negative(self):
        """Whether the verdict restrains the server."""
        return self.kind != WELL

    def certainty_key(self):
        """Return a sort key, the most certain verdict first: on the server itself rather than on the path to
        it, then by more sites, more forwarders, more weight."""
        return self.way, -self.sites, -self.witnesses, -self.weight

    def word(self, until, weight):
        """Return what the routing module reads: (expiry, least and greatest share of the server's usual
        requests, expected wait)."""
        if self.kind == WELL:
            return until, RECOVERED_SHARE * weight, 1, 0
        left = 1 / max(1.0, self.factor) if self.kind == SLOW else REMAINING_SHARE[self.kind]
        return until, 0, left**weight, int(self.answer_time * weight) if self.kind == SLOW else 0


class ActiveVerdicts:
    """The verdicts that a forwarder may act on. Its own newer evidence takes precedence."""

    __slots__ = ('span', 'received', 'good_at', 'bad_at', 'late')

    def __init__(self, span, uniform, late=0):
        # Randomized, so that not all forwarders return to their own view at once when the planners are gone.
        self.span = int(min_elapsed(span) * (0.75 + 0.25 * uniform()))
        self.late = late  # slow servers that answer sooner than this are left alone
        # By server: the verdict received; when a hop from here last went well, and badly.
        self.received, self.good_at, self.bad_at = {}, {}, {}

    def observe(self, now, server, well):
        """Record this forwarder's own evidence: a hop to a server went well, or badly."""
        seen = self.good_at if well else self.bad_at
        seen.pop(server, None)
        seen[server] = now
        if len(seen) > SERVERS:
            del seen[next(iter(seen))]

    def apply_plan(self, asked, rows):
        """Store the verdicts of a plan that answers the digest sent at `asked`. Of two on one server the one
        with the newer evidence counts."""
        for name, started, kind, factor, answer_time, witnesses, sites, age, weight, way in rows[
            :MAX_VERDICTS
        ]:
            newest, server = asked - max_elapsed(age), (name, started)
            verdict = self.received.get(server)
            if verdict is None or newest > verdict.newest:
                self.received[server] = ReceivedVerdict(
                    newest, kind, factor, answer_time, witnesses, sites, weight, way
                )
        while len(self.received) > SERVERS:
            del self.received[next(iter(self.received))]

    def in_effect(self, now, server):
        """Return the verdict in effect on a server, or None if there is none, it is too old, or own evidence
        that is as new contradicts it."""
        verdict = self.received.get(server)
        if verdict is None:
            return None
        if now >= verdict.newest + self.span:
            del self.received[server]
            return None
        own = (self.good_at if verdict.negative else self.bad_at).get(server)
        return (
            None
            if own is not None
            and own >= verdict.newest
            or verdict.kind == SLOW
            and verdict.answer_time < self.late
            else verdict
        )

    def bounds_by_server(self, now, servers):
        """Return {server: (verdict, word)} of the verdicts in effect. servers: {server: site} of this
        forwarder's whole list. Where the limits MAX_RESTRAINED_SITE_SHARE and MAX_RESTRAINED_SHARE are
        reached, the most certain verdicts take precedence."""
        active = [
            (server, verdict)
            for server in list(self.received)
            if server in servers and (verdict := self.in_effect(now, server)) is not None
        ]
        sizes, restrained, found = {}, {}, {}
        for site in servers.values():
            sizes[site] = sizes.get(site, 0) + 1
        for server, verdict in sorted(active, key=lambda pair: (pair[1].certainty_key(), pair[0])):
            site = servers[server]
            if verdict.negative:
                if sum(restrained.values()) + 1 > MAX_RESTRAINED_SHARE * len(servers) or restrained.get(
                    site, 0
                ) + 1 > max(1, MAX_RESTRAINED_SITE_SHARE * sizes[site]):
                    continue
                restrained[site] = restrained.get(site, 0) + 1
            until = verdict.newest + self.span
            found[server] = (
                verdict,
                verdict.word(until, verdict.weight * min(1.0, 2 * (until - now) / self.span)),
            )
        return found
