"""How a node's hops become evidence, and the fleet's verdicts a word that its module reads.

Owns one node's evidence, its beliefs, and the words that it has set on servers. Must never send, choose a
server, or touch anything of a server but its word; nor keep a transaction waiting.
"""

from ..known import NO_WORD
from ..net.logs import say
from ..values import SECOND
from .belief import FAILING, SILENT, Belief, Seen

KEPT = 8  # reports to one planner that may still be answered
LATE = 4  # a slow server's answers are trouble from this part of the shortest goal on
LINES = 5  # for staff, a second
FADES = 16  # looks at words without news, in a span
WELL, FAILED, REFUSED, UNHEARD = 'well', 'failed', 'refused', 'silent'
SAID = {
    'committed': WELL,
    'missing': WELL,
    'error': FAILED,
    'spoilt': FAILED,
    'refused': REFUSED,
    'unreachable': UNHEARD,
    'lost': UNHEARD,
}


class View:
    """A node's part in the fleet's verdicts. span: S, ticks."""

    def __init__(self, node, span, planners):
        self.node, self.clock, self.span = node, node.clock, span
        self.site = 'z%s' % node.place.terms.zone
        self.late = node.router.goal // LATE  # from when on an answer is slow
        self.seen = Seen(self.clock(), span, self.late)
        self.belief = Belief(span, node.chance, self.late)
        self.sent = {name: {} for name in planners}  # by planner: what it was sent, by the digest's number
        self.known = {name: (None, {}) for name in planners}  # by planner: its life, and what it has for sure
        self.words, self.timed = (
            {},
            False,
        )  # by server: (kind, whether on the way alone, until) of those that act
        self.quiet = 0  # until when nothing is written

    # --- evidence ---------------------------------------------------------------------------------------

    def ident(self, server):
        """(name, start) as lists have it; None for one that this node knows to be another process than its
        list says."""
        entry = self.node.entries.get(server.name)
        if entry is None or self.node.starts.current(entry) != server.started:
            return None
        return server.name, int(entry.started)

    @staticmethod
    def how(hop, how, lasted, over):
        """What an ending says of its server, or None; as the module takes it (logic.hop_ended)."""
        if how == 'expired' and over or how == 'cancelled' and hop.dropped and lasted > 2 * hop.server.lag:
            return UNHEARD
        return SAID.get(how)

    def ended(self, now, hop, how, lasted):
        """A hop has ended."""
        server = hop.server
        said, ident = self.how(hop, how, lasted, self.node.router.over(now, hop.tx)), self.ident(server)
        if said is None or ident is None or server.origin:
            return
        quick = said == WELL and lasted < self.late
        self.saw(now, ident, said, lasted, quick)
        if server.word is not NO_WORD and quick is (server.word[1] == 0):
            self.look(now)

    def saw(self, now, ident, said, lasted, quick):
        """One more thing seen. quick: that it did well, and soon."""
        self.seen.ended(now, ident, said, lasted)
        self.belief.saw(now, ident, quick)

    def report(self, now, planner, seq, life):
        """What has changed since what this planner has for sure; life: of its own, None while it cannot tell
        how old what comes is."""
        whole = self.seen.report(now)
        marks = {
            server: (row[:6], now - min(age for age in row[6:9] if age is not None))
            for server, row in whole.items()
        }
        self.sent[planner][seq] = (life, marks)
        while len(self.sent[planner]) > KEPT:
            del self.sent[planner][next(iter(self.sent[planner]))]
        had = self.known[planner][1] if self.known[planner][0] == life else {}
        return [[*server, *row] for server, row in whole.items() if marks[server] != had.get(server)]

    def doubts(self, now):
        """Servers that this node gives less than their turns for what it saw itself."""
        router = self.node.router
        return [
            list(ident)
            for server in router.caches
            if router.turns(now, server) < 1 and (ident := self.ident(server))
        ]

    # --- verdicts ---------------------------------------------------------------------------------------

    def planned(self, now, planner, plan, asked):
        """A plan of use has come, that answers the digest sent at `asked`."""
        life, marks = self.sent[planner].pop(plan['seq'], (None, {}))
        self.known[planner] = (plan['life'], marks if life == plan['life'] else {})
        if plan['verdicts']:
            self.belief.planned(asked, plan['verdicts'])
        if plan['verdicts'] or self.words:
            self.look(now)

    def look(self, now):
        """Set the words that follow from what is held now."""
        idents = {server: ident for server in self.node.router.caches if (ident := self.ident(server))}
        acting = self.belief.words(now, {ident: server.zone for server, ident in idents.items()})
        for server in self.node.router.known.values():
            held, server.word = acting.get(idents.get(server), (None, NO_WORD))
            self.note(now, server.name, held.kind if held else None, bool(held and held.way), server.word[0])
        for name in self.words.keys() - self.node.router.known.keys():
            self.note(now, name, None, False, 0)
        if self.words and not self.timed:
            self.timed = True
            self.node.deadlines.at(now + max(1, self.span // FADES), self.fade, 0)

    def fade(self, _):
        """What is held weighs less as it grows old, news or none."""
        self.timed = False
        self.look(self.clock())

    def note(self, now, name, kind, way, until):
        """A word that begins, ends or goes on; a line for staff as it changes, a few a second."""
        had = self.words.pop(name, None)
        if kind is not None:
            self.words[name] = (kind, way, until)
        if (had and had[:2]) != (kind and (kind, way)) and now >= self.quiet:
            self.quiet = now + SECOND // LINES
            say('verdict', server=name, kind=kind or 'none', way=way)

    def out(self, now, server):
        """Whether the fleet holds that a server does not answer."""
        found = self.words.get(server.name)
        return found is not None and found[0] in (SILENT, FAILING) and now < found[2]
