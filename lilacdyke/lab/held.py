"""Checks of the verdicts in effect at forwarders: their age, their evidence and how many servers they affect.

Compares the verdicts (rows 'word') with what all forwarders observed (rows 'seen') by the run's clock. Shares
no code with the program, and does not rely on the age or the witnesses that a verdict itself states.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict

MAX_RESTRAINED_SHARE, MAX_RESTRAINED_SITE_SHARE = (
    0.2,
    0.25,
)  # largest stated shares of all servers, and of a site's, that may be held down
ROW_TOLERANCE = 50_000  # microseconds of tolerance between the end of a hop and its row


class ActiveVerdict:
    """A verdict in effect at one forwarder: its interval and its bounds."""

    __slots__ = ('node', 'server', 'begin', 'end', 'least', 'most', 'wait', 'kind')

    def __init__(self, row):
        _, self.begin, self.node, self.server, self.least, self.most, self.wait, left, self.kind = row
        self.end = self.begin + left * 41 // 40  # the forwarder's clock may be slow

    @property
    def is_restraining(self):
        return self.most < 1 or self.wait > 0


def active_verdicts(case):
    """Return all verdicts in effect. Each ends with the next one for the same node and server, with the
    node's process, or when the node takes the server out for another reason."""
    last, found = {}, []
    for row in sorted(
        case.rows_by_kind['word']
        + [row for row in case.rows_by_kind['told'] if row[4] != 'ready']
        + [row for row in case.rows_by_kind['hand'] if row[3] == 'out'],
        key=lambda row: row[1],
    ):
        pair = (row[2], row[4]) if row[0] == 'hand' else row[2:4]
        had = last.pop(pair, None)
        if had is not None:
            had.end = min(had.end, row[1])
        if row[0] == 'word' and row[7]:
            last[pair] = made = ActiveVerdict(row)
            made.end = min(
                [made.end, *(to for _, to, _ in case.lifetimes[made.node] if to and to >= made.begin)]
            )
            found.append(made)
    return found


class Observations:
    """The observations of each server in order: (time, node, how the hop ended, whether it was quick)."""

    def __init__(self, case):
        self.rows, self.times = defaultdict(list), {}
        for _, at, node, server, how, _, quick in case.rows_by_kind['seen']:
            self.rows[server].append((at, node, how, quick))
        for server, rows in self.rows.items():
            self.times[server] = [row[0] for row in rows]

    def between(self, server, begin, end):
        """Return the observations in [begin, end]."""
        times = self.times.get(server, [])
        return self.rows[server][bisect_left(times, begin) : bisect_right(times, end)]

    def last(self, server, at):
        """Return the time of the newest observation up to a time, or None."""
        index = bisect_right(self.times.get(server, []), at)
        return self.times[server][index - 1] if index else None


def verdict_violations(case):
    """Return the violations of the rules on verdicts in a run as (rule, time, text)."""
    span = int(case.scenario.planning.span_s * 1e6)
    if not span or not case.rows_by_kind['word']:
        return []
    active, observations = active_verdicts(case), Observations(case)
    return [
        *check_age(case, active, observations, span),
        *check_witnesses(case, active, observations, span),
        *check_own_observations(case, active, observations),
        *check_share(case, active),
    ]


def check_age(case, active, observations, span):
    """No verdict stays in effect longer than `span_s` after any node last observed its server."""
    for verdict in active:
        newest = observations.last(verdict.server, verdict.begin)
        if newest is None or verdict.end > newest + span + ROW_TOLERANCE:
            yield (
                'stale',
                verdict.end,
                '%s held %s for %d ms after anybody saw anything of it'
                % (verdict.node, verdict.server, (verdict.end - (newest or 0)) // 1_000),
            )


def check_witnesses(case, active, observations, span):
    """A restraining verdict needs bad observations by two nodes, of two sites unless it applies to one site
    only. One of them may report falsely."""
    zones = {'n%d' % number: number % case.scenario.zones for number in range(case.scenario.nodes)}
    for verdict in active:
        if not verdict.is_restraining:
            continue
        # An observation may be as old as the span when the planner uses it, its worst hop half a span older,
        # and the verdict itself up to a span old.
        rows, lately = (
            observations.between(verdict.server, verdict.begin - 5 * span // 2, verdict.begin),
            verdict.begin - span,
        )
        bad = {node for _, node, _, quick in rows if not quick} | {
            'n' + number
            for kind, who, at, until in case.faults
            if kind == 'lie' and at <= verdict.begin <= until + span
            for number in who
        }
        others = {zones[node] for at, node, _, _ in rows if at < lately} & {
            zones[node] for at, node, _, _ in rows if at >= lately
        }
        if (
            len(bad) < 2
            or {zones[node] for node in bad} != {zones[verdict.node]}
            and len({zones[node] for node in bad}) < min(2, len(others))
        ):
            yield (
                'alone',
                verdict.begin,
                '%s holds %s down, by what %s saw'
                % (verdict.node, verdict.server, ', '.join(sorted(bad)) or 'nobody'),
            )


def check_own_observations(case, active, observations):
    """No restraining verdict takes effect where the forwarder itself got a quick answer after the last bad
    observation by any node."""
    for verdict in active:
        if verdict.is_restraining:
            rows = observations.between(verdict.server, verdict.begin - 60_000_000, verdict.begin)
            own = max((at for at, node, _, quick in rows if node == verdict.node and quick), default=None)
            bad = max((at for at, _, _, quick in rows if not quick), default=0)
            if (
                own is not None
                and own > bad + ROW_TOLERANCE
                and not any(kind == 'lie' for kind, *_ in case.faults)
            ):
                yield (
                    'eyes',
                    verdict.begin,
                    '%s holds %s down, from which it had a quick answer %d ms ago'
                    % (verdict.node, verdict.server, (verdict.begin - own) // 1_000),
                )


def check_share(case, active):
    """No forwarder holds more servers down than stated, as a share of all that have existed."""
    count, by_site = set(), defaultdict(set)
    site_of = {}
    for row in case.rows_by_kind['server']:
        if not row[9]:
            count.add(row[2])
            by_site[row[5]].add(row[2])
            site_of[row[2]] = row[5]
    changes = sorted(
        (at, step, index)
        for index, verdict in enumerate(active)
        if verdict.is_restraining
        for at, step in ((verdict.begin, 1), (verdict.end, -1))
        if verdict.end > verdict.begin
    )
    down = defaultdict(lambda: defaultdict(set))
    for at, step, index in changes:
        verdict = active[index]
        site = site_of.get(verdict.server)
        here = down[verdict.node][site]
        (here.add if step > 0 else here.discard)(verdict.server)
        total = sum(len(servers) for servers in down[verdict.node].values())
        if total > MAX_RESTRAINED_SHARE * len(count) or len(here) > max(
            1, MAX_RESTRAINED_SITE_SHARE * len(by_site[site])
        ):
            yield (
                'harm',
                at,
                '%s holds %d of %d down, %d of %d at site %s'
                % (verdict.node, total, len(count), len(here), len(by_site[site]), site),
            )
