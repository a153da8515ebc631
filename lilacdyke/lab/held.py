"""Judges of verdicts: how long one acts, on how many servers, by whose evidence, and against whose own eyes.

Owns what is broken about words that act at forwarders (rows 'word'), beside what all forwarders saw (rows
'seen'), on the one true clock. Shares no code with the program. Must never take a verdict's own account of
its age or its witnesses.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict

MAX_RESTRAINED_SHARE, MAX_RESTRAINED_SITE_SHARE = 0.2, 0.25  # of all, and of a site's servers
EARLY = 50_000  # between a hop's end and the row of it, and rounding


class Acting:
    """One word at one forwarder: from when to when it acted, and what it said."""

    __slots__ = ('node', 'server', 'begin', 'end', 'least', 'most', 'wait', 'kind')

    def __init__(self, row):
        _, self.begin, self.node, self.server, self.least, self.most, self.wait, left, self.kind = row
        self.end = self.begin + left * 41 // 40  # its clock may be slow

    @property
    def harsh(self):
        return self.most < 1 or self.wait > 0


def words(case):
    """All words, each until the next on its server at its node, until the node ended, or until the server was
    out there anyway."""
    last, found = {}, []
    for row in sorted(
        case.by['word']
        + [row for row in case.by['told'] if row[4] != 'ready']
        + [row for row in case.by['hand'] if row[3] == 'out'],
        key=lambda row: row[1],
    ):
        pair = (row[2], row[4]) if row[0] == 'hand' else row[2:4]
        had = last.pop(pair, None)
        if had is not None:
            had.end = min(had.end, row[1])
        if row[0] == 'word' and row[7]:
            last[pair] = made = Acting(row)
            made.end = min([made.end, *(to for _, to, _ in case.ups[made.node] if to and to >= made.begin)])
            found.append(made)
    return found


class Evidence:
    """What was seen of each server: (when, node, how it ended, whether it did well and soon), in order."""

    def __init__(self, case):
        self.rows, self.times = defaultdict(list), {}
        for _, at, node, server, how, _, quick in case.by['seen']:
            self.rows[server].append((at, node, how, quick))
        for server, rows in self.rows.items():
            self.times[server] = [row[0] for row in rows]

    def between(self, server, begin, end):
        """In that span, ends included."""
        times = self.times.get(server, [])
        return self.rows[server][bisect_left(times, begin) : bisect_right(times, end)]

    def last(self, server, at):
        """When the newest up to then was seen, or None."""
        index = bisect_right(self.times.get(server, []), at)
        return self.times[server][index - 1] if index else None


def judged(case):
    """All that is broken about verdicts in a run."""
    span = int(case.scenario.planning.span_s * 1e6)
    if not span or not case.by['word']:
        return []
    acting, seen = words(case), Evidence(case)
    return [
        *stale(case, acting, seen, span),
        *alone(case, acting, seen, span),
        *blindly(case, acting, seen),
        *harmful(case, acting),
    ]


def stale(case, acting, seen, span):
    """None acts for longer than S after the newest thing that anybody saw of its server."""
    for one in acting:
        newest = seen.last(one.server, one.begin)
        if newest is None or one.end > newest + span + EARLY:
            yield (
                'stale',
                one.end,
                '%s held %s for %d ms after anybody saw anything of it'
                % (one.node, one.server, (one.end - (newest or 0)) // 1_000),
            )


def alone(case, acting, seen, span):
    """What one forwarder saw binds nobody, and what one site saw binds no other. A liar may be one of two."""
    zones = {'n%d' % number: number % case.scenario.zones for number in range(case.scenario.nodes)}
    for one in acting:
        if not one.harsh:
            continue
        # A witness may have been as old as S as a planner looked, its worst hop half as old again, and the
        # word is not new either.
        rows, lately = seen.between(one.server, one.begin - 5 * span // 2, one.begin), one.begin - span
        bad = {node for _, node, _, quick in rows if not quick} | {
            'n' + number
            for kind, who, at, until in case.spells
            if kind == 'lie' and at <= one.begin <= until + span
            for number in who
        }
        others = {zones[node] for at, node, _, _ in rows if at < lately} & {
            zones[node] for at, node, _, _ in rows if at >= lately
        }
        if (
            len(bad) < 2
            or {zones[node] for node in bad} != {zones[one.node]}
            and len({zones[node] for node in bad}) < min(2, len(others))
        ):
            yield (
                'alone',
                one.begin,
                '%s holds %s down, by what %s saw'
                % (one.node, one.server, ', '.join(sorted(bad)) or 'nobody'),
            )


def blindly(case, acting, seen):
    """Own eyes first: none begins where the forwarder itself has seen a quick answer since anybody saw
    anything bad."""
    for one in acting:
        if one.harsh:
            rows = seen.between(one.server, one.begin - 60_000_000, one.begin)
            own = max((at for at, node, _, quick in rows if node == one.node and quick), default=None)
            bad = max((at for at, _, _, quick in rows if not quick), default=0)
            if own is not None and own > bad + EARLY and not any(kind == 'lie' for kind, *_ in case.spells):
                yield (
                    'eyes',
                    one.begin,
                    '%s holds %s down, from which it had a quick answer %d ms ago'
                    % (one.node, one.server, (one.begin - own) // 1_000),
                )


def harmful(case, acting):
    """At no forwarder more are held down than stated, of the servers that there have been at most."""
    count, by_site = set(), defaultdict(set)
    site_of = {}
    for row in case.by['server']:
        if not row[9]:
            count.add(row[2])
            by_site[row[5]].add(row[2])
            site_of[row[2]] = row[5]
    changes = sorted(
        (at, step, index)
        for index, one in enumerate(acting)
        if one.harsh
        for at, step in ((one.begin, 1), (one.end, -1))
        if one.end > one.begin
    )
    down = defaultdict(lambda: defaultdict(set))
    for at, step, index in changes:
        one = acting[index]
        site = site_of.get(one.server)
        here = down[one.node][site]
        (here.add if step > 0 else here.discard)(one.server)
        total = sum(len(servers) for servers in down[one.node].values())
        if total > MAX_RESTRAINED_SHARE * len(count) or len(here) > max(
            1, MAX_RESTRAINED_SITE_SHARE * len(by_site[site])
        ):
            yield (
                'harm',
                at,
                '%s holds %d of %d down, %d of %d at site %s'
                % (one.node, total, len(count), len(here), len(by_site[site]), site),
            )
