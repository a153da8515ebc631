"""A planner's verdicts on servers, derived from the evidence that forwarders report. Free of I/O and clocks.

No verdict rests on a single forwarder, and none is derived from what forwarders see of most servers at once,
since that indicates load.

Times are integer ticks of the caller's own clock; clock rates may differ as stated in ledger.py. The age of
a verdict is bounded without a common clock: a planner assumes that evidence is as old as it can be (a digest
was sent no earlier than the plan that it echoes, plus the time for which that plan was held), and a forwarder
assumes that a plan was made when the digest that it answers was sent. Both errors make evidence look older,
so a verdict ends no later than `span` after its newest evidence was seen.
"""

from .active_verdicts import (
    BIN_UNIT,
    BINS,
    FAILING,
    FIELDS,
    FULL,
    MAX_VERDICTS,
    SERVERS,
    SILENT,
    SLOW,
    WELL,
    Row,
)
from .ledger import max_elapsed

MIN_HOPS = 4  # least number of hops for a verdict
MAX_HOPS = 8  # hops of one forwarder that count, so that a busy or lying one cannot outweigh others
MIN_WITNESSES = 2  # least number of forwarders, and of sites if there are several, for a verdict
BAD_SHARE = 0.5  # share of hops that are silent, failed or refused from which a server is bad
SLOW_FACTOR = 2.0  # a server is slow from this multiple of the median server's answer time
FLAP_CHANGES = 3  # changes within four spans from which a verdict has half the weight
MAX_SEATS = 4_096
EVALUATIONS_PER_SPAN = 24


class Witness:
    """The newest evidence of one seat, by server: (life, number of the report, row)."""

    __slots__ = ('site', 'rows', 'life')

    def __init__(self):
        self.site, self.life, self.rows = None, None, {}


class Verdict:
    """A verdict on a server.

    factor: how many times slower than usual. answer_time: the median, in ticks. witnesses, sites: how many
    forwarders agree, of how many sites. newest: when the newest evidence was seen. site: the only site that
    the verdict concerns, or None. weight: from 0 to 1.
    """

    __slots__ = ('server', 'kind', 'factor', 'answer_time', 'witnesses', 'sites', 'newest', 'site', 'weight')

    def __init__(self, server, kind, factor, agreeing, site):
        self.server, self.kind, self.factor, self.site, self.weight = server, kind, factor, site, 1.0
        self.witnesses, self.sites = (
            len({seat for seat, _, _ in agreeing}),
            len({where for _, where, _ in agreeing}),
        )
        total = merged(agreeing)
        # For a negative verdict the newest bad hop, since a forwarder's own later good hops take precedence.
        # None: a slow server that is still quick enough for all forwarders.
        self.newest = total.last_good if kind == WELL else total.last_bad
        self.answer_time = BIN_UNIT << total.median if total.median is not None else 0

    def plain(self, now):
        """Return the verdict as a row of a plan, with its age instead of a time."""
        return [
            *self.server,
            self.kind,
            self.factor,
            self.answer_time,
            self.witnesses,
            self.sites,
            now - self.newest,
            self.weight,
            self.site is not None,
        ]


class VerdictTracker:
    """The newest evidence of each seat and the verdicts that follow. span: how long evidence counts."""

    __slots__ = ('span', 'witnesses', 'changes', 'last_kind', 'evaluated_at', 'current')

    def __init__(self, span):
        self.span, self.witnesses = span, {}
        self.last_kind, self.changes = {}, {}  # by server: the last verdict's kind; when it changed recently
        self.evaluated_at, self.current = None, {}  # the last evaluation and its verdicts

    # --- inputs -----------------------------------------------------------------------------------------

    def add_report(self, left, seat, site, life, seq, report):
        """Store a seat's report, complete or with only its changed rows. left: the earliest time, by this
        clock, at which it may have been sent. Only a seat's newest row on a server counts, however often, by
        whatever path or under whichever life it is reported."""
        rows = {}
        for server, (*counts, times, last_good, last_bad, last_answer, bad_run) in list(report.items())[
            :SERVERS
        ]:
            row = rows[server] = Row()
            for name, count in zip(FIELDS, counts):
                setattr(row, name, count)
            row.times = [*times, *[0] * BINS][:BINS]
            row.last_good, row.last_bad, row.last_answer = (
                None if age is None else left - max_elapsed(age) for age in (last_good, last_bad, last_answer)
            )
            row.bad_run = min(bad_run, MAX_HOPS)
            if row.newest is None:
                del rows[server]  # no evidence
                continue
            self.cap_hops(row)
        witness = self.witnesses.get(seat)
        if witness is None:
            if len(self.witnesses) >= MAX_SEATS:
                return
            witness = self.witnesses[seat] = Witness()
        for server, row in rows.items():
            known = witness.rows.get(server)
            # Within one life the later report counts; between two lives the newer evidence, since a report of
            # an ended life may arrive late.
            if known is None or (seq > known[1] if life == known[0] else row.newest >= known[2].newest):
                witness.site, witness.life, witness.rows[server] = site, life, (life, seq, row)

    @staticmethod
    def cap_hops(row):
        """Scale a row down to at most MAX_HOPS hops, so that one forwarder cannot outweigh all others."""
        if row.sent > MAX_HOPS:
            for name in FIELDS:
                setattr(row, name, getattr(row, name) * MAX_HOPS / row.sent if name != 'sent' else row.sent)
            row.sent = MAX_HOPS
        total = sum(row.times)
        if total > MAX_HOPS:
            row.times = [count * MAX_HOPS / total for count in row.times]

    # --- verdicts ---------------------------------------------------------------------------------------

    def current_verdicts(self, now):
        """Return all verdicts by (server, the only site concerned or None); evaluated anew a few times per
        span."""
        if (
            self.evaluated_at is None
            or not self.evaluated_at <= now < self.evaluated_at + self.span // EVALUATIONS_PER_SPAN
        ):
            self.evaluated_at, self.current = now, self.verdicts(now)
        return self.current

    def verdict_rows_for(self, now, site, doubts):
        """Return the verdicts for a forwarder of a site: all negative ones, and that a server is well where
        the forwarder doubts it."""
        rows = [
            verdict
            for verdict in self.current_verdicts(now).values()
            if verdict.site in (None, site) and (verdict.kind != WELL or verdict.server in doubts)
        ]
        rows.sort(
            key=lambda verdict: (verdict.kind == WELL, -verdict.sites, -verdict.witnesses, verdict.server)
        )
        return [verdict.plain(now) for verdict in rows[:MAX_VERDICTS]]

    def fresh(self, now):
        """Return the rows that are recent enough by server as [(seat, site, row)], and drop all others."""
        found = {}
        for seat, witness in list(self.witnesses.items()):
            witness.rows = {
                server: kept for server, kept in witness.rows.items() if now < kept[2].newest + self.span
            }
            for server, (_, _, row) in witness.rows.items():
                found.setdefault(server, []).append((seat, witness.site, row))
        return {server: self.drop_outdated_silence(rows) for server, rows in found.items()}

    @staticmethod
    def drop_outdated_silence(rows):
        """Drop rows with silence if the server has answered two other forwarders since, one of them at the
        same site."""
        silent = [row for row in rows if row[2].silent]
        if not silent:
            return rows
        answers = sorted(
            ((row.last_answer, seat, site) for seat, site, row in rows if row.last_answer is not None),
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
    def recent_failures(rows):
        """Return only the bad hops if they are enough for a verdict and no forwarder has had an answer since,
        as earlier successes no longer count then; otherwise all rows."""
        newest = max((row.last_answer for _, _, row in rows if row.last_answer is not None), default=None)
        failing = [
            (seat, site, row)
            for seat, site, row in rows
            if row.bad_run and row.last_bad is not None and (newest is None or row.last_bad > newest)
        ]
        if (
            len({seat for seat, _, _ in failing}) < MIN_WITNESSES
            or sum(row.bad_run for _, _, row in failing) < MIN_HOPS
        ):
            return rows
        result = []
        for seat, site, row in failing:
            failures = Row()
            failures.sent, failures.last_bad = row.bad_run, row.last_bad
            failures.silent, failures.failed = (
                (0, row.bad_run) if row.failed > row.silent else (row.bad_run, 0)
            )
            result.append((seat, site, failures))
        return result

    def outliers(self, fresh, totals):
        """Return the seats that contradict what others see of the same servers: most of the servers that are
        well for others are bad or slow for them. Their evidence is ignored."""
        contradicted, shared = {}, {}
        for server, rows in fresh.items():
            total = totals[server]
            for seat, _, row in rows:
                sent, bad = total.sent - row.sent, total.silent + total.failed - row.silent - row.failed
                if sent < MIN_HOPS or not row.sent or bad >= BAD_SHARE * sent:
                    continue
                shared[seat] = shared.get(seat, 0) + 1
                late = False
                if any(row.times):
                    others = Row()
                    others.times = [mine - less for mine, less in zip(total.times, row.times)]
                    late = sum(others.times) >= 1 and others.median is not None and row.median > others.median
                contradicted[seat] = contradicted.get(seat, 0) + (mostly_failing(row) or late)
        return {seat for seat, count in contradicted.items() if shared[seat] > 1 and 2 * count > shared[seat]}

    def verdicts(self, now):
        """Evaluate all evidence. Return the verdicts by (server, the only site concerned or None)."""
        fresh = self.fresh(now)
        outliers = self.outliers(fresh, {server: merged(rows) for server, rows in fresh.items()})
        seen = {
            server: kept
            for server, rows in fresh.items()
            if (kept := [row for row in rows if row[0] not in outliers])
        }
        totals = {server: merged(rows) for server, rows in seen.items()}
        baseline = Baseline(totals.values())
        all_sites = {site for rows in seen.values() for _, site, _ in rows}
        found = [
            verdict
            for server, rows in seen.items()
            for verdict in self.judge_server(server, rows, totals[server], baseline, len(all_sites))
        ]
        self.record_changes(now, found)
        return {(verdict.server, verdict.site): verdict for verdict in found if verdict.newest is not None}

    @staticmethod
    def judge_server(server, rows, total, baseline, all_sites):
        """Return the verdicts on one server: on itself if enough agree, else on single sites' paths to it."""
        sites = {site for _, site, _ in rows}
        all_rows, rows = rows, VerdictTracker.recent_failures(rows)
        total = total if rows is all_rows else merged(rows)
        kind, factor = baseline.classify(total)
        agreeing = [row for row in rows if baseline.agrees(row[2], kind, total)]
        seats, agreeing_sites = {seat for seat, _, _ in agreeing}, {site for _, site, _ in agreeing}
        agreed = 2 * len(agreeing) >= len(rows)
        if kind == WELL:
            found = (
                [Verdict(server, WELL, 1.0, agreeing, None)] if len(seats) >= MIN_WITNESSES and agreed else []
            )
        elif (
            kind is not None
            and agreed
            and len(seats) >= MIN_WITNESSES
            and len(agreeing_sites) >= min(MIN_WITNESSES, all_sites)
            and not {site for _, site, _ in rows} - agreeing_sites
        ):
            return [Verdict(server, kind, factor, agreeing, None)]
        else:
            found = []
        for site in sites:
            site_rows = VerdictTracker.recent_failures([row for row in all_rows if row[1] == site])
            total = merged(site_rows)
            kind, factor = baseline.classify(total)
            agreeing = [row for row in site_rows if baseline.agrees(row[2], kind, total)]
            if (
                kind not in (None, WELL)
                and len(agreeing) >= MIN_WITNESSES
                and 2 * len(agreeing) >= len(site_rows)
            ):
                found.append(Verdict(server, kind, factor, agreeing, site))
        return found

    def record_changes(self, now, found):
        """Halve the weight of verdicts on flapping servers, as they would always lag behind."""
        kinds = {verdict.server: verdict.kind for verdict in found if verdict.site is None}
        for server, kind in kinds.items():
            if self.last_kind.get(server, kind) != kind:
                self.changes.setdefault(server, []).append(now)
            self.last_kind[server] = kind
        for server in list(self.changes):
            self.changes[server] = [when for when in self.changes[server] if now < when + 4 * self.span]
            if not self.changes[server]:
                del self.changes[server]
        if len(self.last_kind) > 2 * SERVERS:
            self.last_kind = kinds
        for verdict in found:
            if len(self.changes.get(verdict.server, ())) >= FLAP_CHANGES:
                verdict.weight = 0.5


class Baseline:
    """How the median server performs, for comparison: servers must not be condemned for a load that affects
    all of them."""

    __slots__ = ('median', 'bad')

    def __init__(self, totals):
        medians = sorted(median for total in totals if (median := total.median) is not None)
        self.median = medians[len(medians) // 2] if medians else None
        shares = {
            kind: sorted(count(total) / total.sent for total in totals if total.sent)
            for kind, count in COUNTS
        }
        self.bad = {kind: share[len(share) // 2] if share else 0.0 for kind, share in shares.items()}

    def classify(self, row, least=MIN_HOPS):
        """Return (kind, how many times slower) of a row, or (None, 1.0) if it has too few hops."""
        if row.sent < least:
            return None, 1.0
        for kind, count in COUNTS:
            if count(row) >= BAD_SHARE * row.sent:
                return (kind, 1.0) if 2 * self.bad[kind] < BAD_SHARE else (None, 1.0)
        if (
            row.median is not None
            and self.median is not None
            and 2.0 ** (row.median - self.median) >= SLOW_FACTOR
        ):
            return SLOW, 2.0 ** (row.median - self.median)
        return WELL, 1.0

    def agrees(self, row, kind, total):
        """Return whether one forwarder's row shows the same; for a slow server, a similar answer time."""
        return (
            self.classify(row, 1)[0] == kind
            and (kind == WELL or row.last_bad is not None)
            and (kind != SLOW or row.median >= total.median - 1)
        )


COUNTS = (
    (SILENT, lambda row: row.silent),
    (FAILING, lambda row: row.failed),
    (FULL, lambda row: row.refused),
)


def merged(rows):
    """Return the sum of all rows."""
    total = Row()
    for _, _, row in rows:
        total.add(row)
    return total


def mostly_failing(row):
    """Return whether most hops were silent or failed."""
    return row.sent > 0 and (row.silent + row.failed) >= BAD_SHARE * row.sent
