"""Turns a node's hops into evidence on servers, and the fleet's verdicts into routing constraints.

Owns one node's evidence, its view of the verdicts, and the constraint (`word`) that it sets on each server.
Must never send, choose a server, change anything of a server but its word, or delay a transaction.
"""

from ..known import NO_FLEET_BOUNDS
from ..net.logs import log_event
from ..values import SECOND
from .active_verdicts import FAILING, SILENT, ActiveVerdicts, Seen

MAX_UNANSWERED_REPORTS = 8  # reports to one planner that wait for a plan
SLOW_GOAL_DIVISOR = 4  # answers are slow from 1/SLOW_GOAL_DIVISOR of the shortest goal on
LOG_LINES_PER_SECOND = 5
REFRESHES_PER_SPAN = 16  # recomputations of words per span when no plan arrives
WELL, FAILED, REFUSED, NO_ANSWER = 'well', 'failed', 'refused', 'silent'
OUTCOMES = {
    'committed': WELL,
    'missing': WELL,
    'error': FAILED,
    'spoilt': FAILED,
    'refused': REFUSED,
    'unreachable': NO_ANSWER,
    'lost': NO_ANSWER,
}


class View:
    """Evidence and verdicts at one node. span: duration of a verdict in ticks."""

    def __init__(self, node, span, planners):
        self.node, self.clock, self.span = node, node.clock, span
        self.site = 'z%s' % node.config.terms.zone
        self.slow_after = node.router.goal // SLOW_GOAL_DIVISOR
        self.seen = Seen(self.clock(), span, self.slow_after)
        self.active_verdicts = ActiveVerdicts(span, node.uniform, self.slow_after)
        self.pending_reports = {name: {} for name in planners}  # by planner: reports by digest number
        self.acknowledged = {
            name: (None, {}) for name in planners
        }  # by planner: its life, and the evidence it has received
        # By server: (kind, whether it concerns only the network path from this site, until) of active words.
        self.bounds_by_server, self.refresh_scheduled = {}, False
        self.next_log_at = 0  # verdict changes before this time are not logged

    # --- evidence ---------------------------------------------------------------------------------------

    def server_id(self, server):
        """Return (name, start time) as in discovery's list, or None if this node knows that the server is
        another process by now."""
        entry = self.node.entries.get(server.name)
        if entry is None or self.node.starts.current(entry) != server.started:
            return None
        return server.name, int(entry.started)

    @staticmethod
    def classify(hop, how, lasted, over):
        """Classify the end of a hop as evidence on its server, or None, in line with logic.hop_ended."""
        if how == 'expired' and over or how == 'cancelled' and hop.dropped and lasted > 2 * hop.server.lag:
            return NO_ANSWER
        return OUTCOMES.get(how)

    def ended(self, now, hop, how, lasted):
        """Record the end of a hop as evidence on its server."""
        server = hop.server
        outcome, server_id = (
            self.classify(hop, how, lasted, self.node.router.over(now, hop.tx)),
            self.server_id(server),
        )
        if outcome is None or server_id is None or server.origin:
            return
        quick = outcome == WELL and lasted < self.slow_after
        self.observe(now, server_id, outcome, lasted, quick)
        if server.fleet_bounds is not NO_FLEET_BOUNDS and quick is (server.fleet_bounds[1] == 0):
            self.apply_verdicts(now)

    def observe(self, now, server_id, outcome, lasted, quick):
        """Record one observation. quick: whether it was a fast success."""
        self.seen.ended(now, server_id, outcome, lasted)
        self.active_verdicts.observe(now, server_id, quick)

    def report(self, now, planner, seq, life):
        """Return the evidence that has changed since the last report that this planner answered. life: the
        planner's life, or None while the planner cannot date the report."""
        rows = self.seen.report(now)
        versions = {
            server: (row[:6], now - min(age for age in row[6:9] if age is not None))
            for server, row in rows.items()
        }
        self.pending_reports[planner][seq] = (life, versions)
        while len(self.pending_reports[planner]) > MAX_UNANSWERED_REPORTS:
            del self.pending_reports[planner][next(iter(self.pending_reports[planner]))]
        previous = self.acknowledged[planner][1] if self.acknowledged[planner][0] == life else {}
        return [[*server, *row] for server, row in rows.items() if versions[server] != previous.get(server)]

    def doubts(self, now):
        """Return servers to which this node sends less than their share, because of its own observations."""
        router = self.node.router
        return [
            list(server_id)
            for server in router.caches
            if router.current_share(now, server) < 1 and (server_id := self.server_id(server))
        ]

    # --- verdicts ---------------------------------------------------------------------------------------

    def apply_plan(self, now, planner, plan, asked):
        """Process a plan that answers the digest sent at `asked`."""
        life, versions = self.pending_reports[planner].pop(plan['seq'], (None, {}))
        self.acknowledged[planner] = (plan['life'], versions if life == plan['life'] else {})
        if plan['verdicts']:
            self.active_verdicts.apply_plan(asked, plan['verdicts'])
        if plan['verdicts'] or self.bounds_by_server:
            self.apply_verdicts(now)

    def apply_verdicts(self, now):
        """Set the words that follow from the current verdicts."""
        idents = {
            server: server_id for server in self.node.router.caches if (server_id := self.server_id(server))
        }
        active_words = self.active_verdicts.bounds_by_server(
            now, {server_id: server.zone for server, server_id in idents.items()}
        )
        for server in self.node.router.servers_by_name.values():
            held, server.fleet_bounds = active_words.get(idents.get(server), (None, NO_FLEET_BOUNDS))
            self.update_word(
                now, server.name, held.kind if held else None, bool(held and held.way), server.fleet_bounds[0]
            )
        for name in self.bounds_by_server.keys() - self.node.router.servers_by_name.keys():
            self.update_word(now, name, None, False, 0)
        if self.bounds_by_server and not self.refresh_scheduled:
            self.refresh_scheduled = True
            self.node.deadlines.at(now + max(1, self.span // REFRESHES_PER_SPAN), self.refresh_words, 0)

    def refresh_words(self, _):
        """Recompute words, since verdicts lose weight with age."""
        self.refresh_scheduled = False
        self.apply_verdicts(self.clock())

    def update_word(self, now, name, kind, way, until):
        """Record the word of a server, and log changes at a limited rate."""
        previous = self.bounds_by_server.pop(name, None)
        if kind is not None:
            self.bounds_by_server[name] = (kind, way, until)
        if (previous and previous[:2]) != (kind and (kind, way)) and now >= self.next_log_at:
            self.next_log_at = now + SECOND // LOG_LINES_PER_SECOND
            log_event('verdict', server=name, kind=kind or 'none', way=way)

    def is_down(self, now, server):
        """Return whether the fleet considers a server down."""
        word = self.bounds_by_server.get(server.name)
        return word is not None and word[0] in (SILENT, FAILING) and now < word[2]
