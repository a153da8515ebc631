"""Deliberately broken nodes: each a small patch for the length of one run, to show that the judges can fail.

Owns the patches. No judge knows of them, their names or what they leave. Must never outlive a run.
"""

from msgspec.structs import replace

from .. import logic
from ..known import NO_WORD
from ..logic import Router
from ..net import caches, http
from ..net.bodies import Download, Upload
from ..net.caches import Caches, Link
from ..net.client import ClientConnection
from ..net.discovery import Discovery, started
from ..net.node import Node
from ..net.phases import Phases
from ..net.starts import StartTimes
from ..net.tables import Deadlines, Table
from ..plan import belief, verdicts
from ..plan.belief import Belief, Seen
from ..plan.fleet import Share
from ..plan.forwarder import Forwarder
from ..plan.ledger import Bank, Purse
from ..plan.planner import Planner
from ..plan.shares import Shares, Spent
from ..plan.verdicts import Sight, Verdict
from ..plan.view import View
from ..values import SECOND
from . import draw
from .reactor import SimReactor
from .scenario import Bound, Event, check


def stepped_back(made):
    """The wall clock of all nodes goes back by some seconds, and nothing else is wrong."""
    return replace(made, events=[Event(at_s=1.0, kind='step', what=list(range(made.nodes)), size=-3.0)])


def cannot_connect(made):
    """No connection can be made at any node for two seconds; there is one server, and connections do not rest
    for long."""
    nodes = list(range(made.nodes))
    return replace(
        made,
        length_s=8.0,
        kinds=[replace(made.kinds[0], count=1, cores=4, speed=1.0, connections=600)],
        load=replace(made.load, rate=30.0, write_bytes=100, large_share=0.0),
        caches=replace(made.caches, idle_s=0.2, mode='through', warm_share=1.0),
        events=[Event(at_s=2.0, kind='calls', what=nodes, for_s=2.0, size=1.0)],
    )


class Mutant:
    """One way to be broken. kinds: troubles under which it should show; most: how many of them a run has."""

    def __init__(self, about, build, kinds, fit=None, most=3, drawn=draw.scenario):
        self.about, self.build, self.kinds, self.fit, self.most = (
            about,
            build,
            {kind: 1 for kind in kinds},
            fit,
            most,
        )
        self.drawn = drawn

    def scenario(self, seed):
        """What it is played with: drawn, with troubles under which it should show, and made to fit where
        chance alone comes there too seldom."""
        made = self.drawn(seed, self.kinds, self.most)
        return check(self.fit(made)) if self.fit else made

    def apply(self, ground):
        """Break the nodes of a run."""
        chance = ground.chance('mutant').random
        self.build(ground.put, chance)


def drain_ignored(put, chance):
    usual = Router.list_entry
    put(
        Router,
        'list_entry',
        lambda self, now, server, state, *rest: usual(
            self, now, server, 'ready' if state == 'draining' else state, *rest
        ),
    )


def gone_ignored(put, chance):
    usual = Router.list_entry
    put(
        Router,
        'list_entry',
        lambda self, now, server, state, *rest: usual(
            self, now, server, 'ready' if state == 'gone' else state, *rest
        ),
    )


def under(usual, whose, field, value):
    """A method of the router, called with a field of something put otherwise for as long: whose(router, tx)
    has it."""

    def called(self, now, tx, *rest):
        owner = whose(self, tx)
        kept = getattr(owner, field)
        setattr(owner, field, value)
        try:
            return usual(self, now, tx, *rest)
        finally:
            setattr(owner, field, kept)

    return called


def leavers_served(put, chance):
    put(ClientConnection, 'left', lambda self: False)


def window_ignored(put, chance):
    put(Router, 'permitted', under(Router.permitted, lambda self, tx: tx.profile, 'window', 1 << 40))


def group_ignored(put, chance):
    put(Router, 'permitted', under(Router.permitted, lambda self, tx: tx.profile, 'group', 'all'))


def lost_is_never_ran(put, chance):
    put(logic, 'NEVER_RAN', logic.NEVER_RAN + ('lost', 'error'))


def left_forgotten(put, chance):
    usual = Link.connectionLost

    def lost(self, reason=None):
        self.left = False
        usual(self, reason)

    put(Link, 'connectionLost', lost)


def answer_dropped(put, chance):
    usual = ClientConnection.reply

    def reply(self, pieces):
        if chance() < 0.02:
            self.active = None
        else:
            usual(self, pieces)

    put(ClientConnection, 'reply', reply)


def answer_doubled(put, chance):
    usual = ClientConnection.reply
    put(ClientConnection, 'reply', lambda self, pieces: usual(self, pieces * (1 + (chance() < 0.02))))


def answers_mixed(put, chance):
    usual, last = http.relayed, [None]

    def relayed(message, lasting):
        given, last[0] = last[0] if last[0] and chance() < 0.02 else message, message
        return usual(given, lasting)

    put(http, 'relayed', relayed)


def answer_cut_short(put, chance):
    usual = http.relayed

    def relayed(message, lasting):
        if chance() < 0.02:
            message.body = message.body[:-1]
        return usual(message, lasting)

    put(http, 'relayed', relayed)


def cold_flooded(put, chance):
    put(Router, 'presence', lambda self, now, server: 1)


def credit_endless(put, chance):
    usual = Router.cold_room

    def cold_room(self, now, server):
        usual(self, now, server)
        return True

    put(Router, 'cold_room', cold_room)
    put(Router, 'presence', lambda self, now, server: 1)


def clock_mistaken(put, chance):
    put(
        StartTimes,
        'of',
        lambda self, entry, now, last_word: (
            started(entry, self.offset - 3_600 * SECOND) if entry.started else None
        ),
    )


def timers_on_wall_time(put, chance):
    put(SimReactor, 'seconds', lambda self: self.monotonic() + self.ahead)


def blames_servers(put, chance):
    put(caches, 'local_errno', lambda failure: None)


def hop_leaked(put, chance):
    usual = Router.hop_ended

    def hop_ended(self, now, hop, *rest):
        usual(self, now, hop, *rest)
        hop.server.out += chance() < 0.02

    put(Router, 'hop_ended', hop_ended)


def slot_leaked(put, chance):
    usual = Table.remove
    put(Table, 'remove', lambda self, number: usual(self, number) if chance() > 0.01 else None)


def descriptor_leaked(put, chance):
    usual = Link.close

    def close(self, why):
        if self.transport is not None and self.left and chance() < 0.5:
            self.pool.forget(self)
        else:
            usual(self, why)

    put(Link, 'close', close)


def change_missed(put, chance):
    usual = Discovery.told
    put(
        Discovery,
        'told',
        lambda self, lines: usual(self, lines if lines[1] or chance() < 0.5 else (lines[0], lines[1], [])),
    )


def versions_skipped(put, chance):
    usual = Discovery.open

    def open_(self):
        if not self.watch and self.version is not None:
            self.version += 2
        usual(self)

    put(Discovery, 'open', open_)


def asks_when_told_to(put, chance):
    put(Discovery, 'retry', lambda self, turn: None)


def cut_at_the_limit(put, chance):
    put(Download, 'due', Download.cut_off)


def held_past_the_limit(put, chance):
    put(Link, 'holds_part', property(lambda self: False))


def held_without_limit(put, chance):
    put(Upload, 'due', lambda self: None)


def wakeup_lost(put, chance):
    usual = Deadlines.at
    put(
        Deadlines,
        'at',
        lambda self, when, call, number: usual(self, when, call, number) if chance() > 0.05 else None,
    )


def limit_ignored(put, chance):
    put(Node, 'limit_due', lambda self, number: None)


def loser_kept(put, chance):
    put(Node, 'do_cancel', lambda self, hop: None)


def body_changed(put, chance):
    usual = http.request

    def request(message, wait):
        if message.body and chance() < 0.1:
            message.body = message.body[:-1] + b'!'
        return usual(message, wait)

    put(caches, 'request', request)


def always_harmless(put, chance):
    usual = Router.give_up

    def give_up(self, now, tx, why=None):
        return ('roll_back',) + (usual(self, now, tx, why)[1], self.hint)

    put(Router, 'give_up', give_up)


def hop_doubled(put, chance):
    usual = Caches.send

    def send(self, server, message, until, *rest):
        if chance() < 0.05:
            usual(self, server, message, until, *rest)
        return usual(self, server, message, until, *rest)

    put(Caches, 'send', send)


def hops_unbounded(put, chance):
    for name in ('permitted', 'step'):
        put(Router, name, under(getattr(Router, name), lambda self, tx: self.terms, 'max_hops', 50))


def leaves_at_once(put, chance):
    put(Node, 'drain', lambda self, signum=15: self.reactor.stop())


def counts_wrongly(put, chance):
    usual = Node.count

    def count(self, what):
        usual(self, what)
        if what == 'committed' and chance() < 0.02:
            usual(self, what)

    put(Node, 'count', count)


def framings_chosen(put, chance):
    usual = http.Reader.frame

    def frame(self, message):
        if message.field(b'content-length') is not None:
            message.fields.pop(b'transfer-encoding', None)
        usual(self, message)

    put(http.Reader, 'frame', frame)


def silent_kept(put, chance):
    put(Phases, 'make_room', lambda self, places, need: None)


def noise_raises(put, chance):
    usual = http.read_head

    def read_head(buffer, end, first):
        try:
            return usual(buffer, end, first)
        except http.BadMessage as err:
            raise KeyError('first line') from err

    put(http, 'read_head', read_head)


def missing_is_served(put, chance):
    usual = caches.ending
    put(
        caches,
        'ending',
        lambda answer: 'committed' if answer.parts[1] == b'404' and chance() < 0.2 else usual(answer),
    )


def half_is_whole(put, chance):
    usual = Link.connectionLost

    def lost(self, reason=None):
        message = self.reader.message
        if self.exchange and message is not None and message.parts[1] == b'200':
            message.body = bytes(self.reader.buffer)
            self.finish('committed', message)
        usual(self, reason)

    put(Link, 'connectionLost', lost)


def slots_reused(put, chance):
    usual = Table.add

    def add(self, what):
        number = usual(self, what)
        index = number & (1 << 20) - 1
        self.ages[index] = 0
        return index

    put(Table, 'add', add)


def ban_lost(put, chance):
    usual = Router.list_entry

    def list_entry(self, now, server, state, *rest):
        if self.banned(server.name) and self.hand[server.name][0] < now:
            self.hand.pop(server.name)
        usual(self, now, server, state, *rest)

    put(Router, 'list_entry', list_entry)


def copy_to_suspended(put, chance):
    usual = Router.pick

    def pick(self, now, tx):
        for server in self.known.values() if tx.hops else ():
            if server.state == 'banned':
                server.state = 'ready'
                return server
        return usual(self, now, tx)

    put(Router, 'pick', pick)


def back_as_warm(put, chance):
    usual = Router.resume

    def resume(self, now, name):
        self.hand.pop(name, None)
        server = self.known.get(name)
        if server:
            self.list_remembered(now, [(server, server.told, server.weight, None, server.zone, server.cell)])
        return usual(self, now, name)

    put(Router, 'resume', resume)
    put(Router, 'presence', lambda self, now, server: 1)


def idle_kept(put, chance):
    put(Node, 'send_away', lambda self, since: None)
    put(Phases, 'make_room', lambda self, places, need: None)  # else they go after 2.5 s of rest all the same


def never_away(put, chance):
    usual = Node.ready

    def ready(self):
        kept, self.gone_away = self.gone_away, False
        told, self.gone_away = usual(self), kept
        return told

    put(Node, 'ready', ready)


def never_back(put, chance):
    put(Node, 'activate', lambda self: True)


# --- limits of the whole fleet ----------------------------------------------------------------------------


def part_spent_twice(put, chance):
    put(Purse, 'given', lambda self, now, key: 0)


def lease_past_its_end(put, chance):
    put(
        Purse,
        'borrowed',
        lambda self, now, key: sum(
            account.leases.get(key, (0, 0))[1] for lives in self.accounts.values() for account in lives[-1:]
        ),
    )


def tokens_not_taken(put, chance):
    put(Shares, 'spend', staticmethod(lambda limit, spent: None))


def bucket_without_bound(put, chance):
    def fill(self, now, may):
        self.tokens += may * max(0, now - self.dated) * 20
        self.dated = now

    put(Spent, 'fill', fill)


def seat_held_twice(put, chance):
    usual = Share.take_seat

    def take_seat(self, ignored):
        if self.rank is None:  # one more than there are seats
            self.rank = 0
            self.purse.seated(self.clock(), self.told.seat_parts(0), self.told.seat_parts(0), True)
        else:
            usual(self, ignored)

    put(Share, 'take_seat', take_seat)


def bank_forgets_leases(put, chance):
    usual = Bank.plan

    def plan(self, now, holder):
        for other in self.holders.values():
            other.grants = []
        return usual(self, now, holder)

    put(Bank, 'plan', plan)


def waits_for_a_plan(put, chance):
    usual, heard = Shares.admits, {}

    def planned(self, now, name, plan):
        heard[id(self.purse)] = now
        return was(self, now, name, plan)

    was = Forwarder.planned
    put(Forwarder, 'planned', planned)
    put(
        Shares,
        'admits',
        lambda self, now, profile: (
            usual(self, now, profile) if now < heard.get(id(self.purse), -1 << 40) + self.purse.lease else 429
        ),
    )


def planner_lends_at_once(put, chance):
    usual = Bank.__init__

    def begin(self, *given):
        usual(self, *given)
        self.since -= 1 << 30

    put(Bank, '__init__', begin)


def limit_read_once(put, chance):
    put(Planner, 'reread', lambda self, fleet: None)
    put(Planner, 'hear', lambda self, edition, mosts: None)


def links_not_counted(put, chance):
    put(Shares, 'linked', lambda self, now, server, more: None)


def cold_not_asked(put, chance):
    usual = Shares.allows
    put(Shares, 'allows', lambda self, now, server, cold: usual(self, now, server, False))


def smaller_lease_held(put, chance):
    usual = Purse.digest
    put(
        Purse,
        'digest',
        lambda self, now, planner, spare, wants, used=(): usual(self, now, planner, spare, wants),
    )


def plan_without_age(put, chance):
    usual = Purse.planned

    def planned(self, now, planner, plan):
        good = usual(self, now, planner, plan)
        if good:
            account = self.account(planner)
            account.leases = {
                key: (now + 6 * self.lease, amount) for key, (_, amount) in account.leases.items()
            }
        return good

    put(Purse, 'planned', planned)


# --- verdicts ---------------------------------------------------------------------------------------------


def age_not_carried(put, chance):
    usual = Verdict.plain
    put(Verdict, 'plain', lambda self, now: [*usual(self, now)[:7], 0, *usual(self, now)[8:]])


def evidence_as_it_came(put, chance):
    put(Planner, 'left', lambda self, now, digest: now if digest['stamp'] is not None else None)
    usual = Seen.report
    put(
        Seen,
        'report',
        lambda self, now: {
            server: [*row[:-4], *(age and 0 for age in row[-4:-1]), row[-1]]
            for server, row in usual(self, now).items()
        },
    )


def evidence_twice(put, chance):
    usual = Sight.told

    def told(self, left, seat, site, life, seq, report):
        for part in range(2):
            usual(self, left, 1_000 * part + seat, site if not part else 'z9', life, seq, report)

    put(Sight, 'told', told)


def one_witness(put, chance):
    put(verdicts, 'BOTH', 1)


def harm_unbounded(put, chance):
    put(belief, 'HARM', 1.0)
    put(belief, 'HARM_SITE', 1.0)


def own_eyes_ignored(put, chance):
    put(Belief, 'saw', lambda self, now, server, well: None)


def verdict_endless(put, chance):
    usual = Belief.planned
    put(Belief, 'planned', lambda self, asked, rows: usual(self, asked + 2 * self.span, rows))


def way_for_all(put, chance):
    usual = Sight.verdicts

    def told(self, now):
        found = usual(self, now)
        for verdict in found.values():
            verdict.site = None
        return found

    put(Sight, 'verdicts', told)


def brought_back(put, chance):
    usual = View.look

    def look(self, now):
        usual(self, now)
        for server in self.node.router.known.values():
            if server.word is not NO_WORD and server.word[1] > 0 or server.state == 'banned':
                server.state = 'ready'
        self.node.router.relist()

    put(View, 'look', look)


def tries_not_counted(put, chance):
    put(View, 'out', lambda self, now, server: False)


# --- scenarios that some need -----------------------------------------------------------------------------


def crowd_cold(made):
    """Small fresh servers among busy ones."""
    kind = replace(made.kinds[0], count=6, cores=1, queue=200, connections=4000)
    mean = sum(p.share * p.work_ms for p in made.profiles) / sum(p.share for p in made.profiles) / 1_000
    return replace(
        made,
        kinds=[kind],
        tenants=[],
        load=replace(made.load, rate=round(0.7 * 6 * kind.speed / mean, 1)),
        rules=replace(made.rules, cold_from=0.13, fall_multiple=3.0, fall_s=1.0, warm_s=20.0),
        clients=replace(made.clients, rude=0.0, leave=0.0),
        origin=replace(made.origin, cores=12),
        events=[Event(at_s=1.0, kind='crash', count=2, for_s=0.5)],
    )


def late_repeat(made):
    """Servers that run a write, say nothing for longer than the window, and die."""
    rows = [replace(p, window_s=0.3, group='all') if p.effect == 'guarded' else p for p in made.profiles]
    return replace(
        made,
        profiles=rows,
        caches=replace(made.caches, mode='through'),
        events=[
            Event(at_s=1.0, kind='hung', what=[0, 1], for_s=3.0),
            Event(at_s=1.8, kind='crash', what=[0, 1], for_s=1.0),
        ],
    )


def walking_out(made):
    """Nodes that stand still while clients ask and leave, with so much time that nothing is late."""
    rows = [replace(p, goal_s=4.0, limit_s=6.0) for p in made.profiles]
    return replace(
        made,
        length_s=8.0,
        profiles=rows,
        load=replace(made.load, rate=60.0),
        clients=replace(made.clients, leave=0.5),
        events=[Event(at_s=at, kind='standstill', count=made.nodes, for_s=1.4) for at in (1.0, 4.0)],
    )


def apart(made):
    """Groups by site, and answers that are lost."""
    rows = [replace(p, window_s=2.5, group='zone') if p.effect == 'guarded' else p for p in made.profiles]
    return replace(
        made,
        profiles=rows,
        zones=3,
        caches=replace(made.caches, mode='through'),
        events=[Event(at_s=0.5, kind='halved', count=3, for_s=5.0, size=6.0)],
    )


def unheard(made):
    """Drains while discovery is silent."""
    return replace(
        made,
        length_s=9.0,
        load=replace(made.load, rate=80.0),
        discovery=replace(made.discovery, lag_s=[0.1, 0.2]),
        rules=replace(made.rules, told_s=1.0),
        events=[
            Event(at_s=1.0, kind='silence', count=made.nodes, for_s=4.5),
            Event(at_s=2.0, kind='drain', count=2, for_s=30.0),
        ],
    )


def cold_back(made):
    """The same, called back by staff."""
    return replace(crowd_cold(made), events=[Event(at_s=1.0, kind='suspend', count=2, for_s=1.0)])


def unheard_where_asked(made):
    """The same, where lists are asked for."""
    made = unheard(made)
    return replace(made, discovery=replace(made.discovery, mode='on_request'))


def stumbling(made):
    """Clients that leave while nodes stand still, again and again, for a fifth of a second."""
    made = walking_out(made)
    return replace(
        made,
        load=replace(made.load, rate=200.0),
        events=[
            Event(at_s=0.5 + 0.5 * number, kind='standstill', count=made.nodes, for_s=0.2)
            for number in range(14)
        ],
    )


def long_answers(made):
    """Answers of 150 kB that take longer than their limit to come, from well before it."""
    rows = [replace(p, goal_s=0.4, limit_s=0.8, work_ms=5.0) for p in made.profiles]
    return replace(
        made,
        length_s=6.0,
        profiles=rows,
        tenants=[],
        events=[],
        clients=replace(made.clients, rude=0.0, leave=0.0, slow_read=0.0),
        caches=replace(made.caches, mode='aside', give_ms=900.0),
        load=replace(made.load, rate=30.0, value_bytes=150_000),
    )


def long_answers_untold(made):
    """The same, of no told length: less than 64 KiB of each are here at its limit."""
    made = long_answers(made)
    return replace(made, caches=replace(made.caches, untold=1.0, give_ms=2_400.0))


def long_requests(made):
    """Writes of 150 kB, to servers of which none takes a connection for a while."""
    rows = [replace(p, goal_s=0.3, limit_s=0.6, work_ms=5.0) for p in made.profiles]
    return replace(
        made,
        length_s=8.0,
        profiles=rows,
        tenants=[],
        clients=replace(made.clients, rude=0.0, leave=0.0, slow_read=0.0),
        caches=replace(made.caches, mode='through'),
        load=replace(made.load, rate=40.0, write_bytes=150_000),
        events=[Event(at_s=1.0 + 2.0 * number, kind='deaf', count=99, for_s=1.2) for number in range(3)],
    )


def out_by_hand(made):
    """Servers out by hand for most of a run, among slow ones."""
    return replace(
        made,
        events=[
            Event(at_s=0.5, kind='suspend', count=2, for_s=4.0),
            Event(at_s=0.5, kind='slow', count=2, for_s=4.0, size=6.0),
        ],
    )


def emptied(made):
    """A node emptied for a while, after a burst that leaves many connections resting."""
    return replace(
        made,
        length_s=8.0,
        load=replace(made.load, rate=60.0),
        events=[
            Event(at_s=0.2, kind='burst', for_s=0.8, size=5.0),
            Event(at_s=1.1, kind='away', count=1, for_s=5.0),
        ],
        clients=replace(made.clients, fresh=0.0, rude=0.0),
    )


def declining(made):
    """Servers that turn away all that would wait."""
    kind = replace(made.kinds[0], count=9, cores=1, queue=0)
    return replace(
        made,
        kinds=[kind],
        load=replace(made.load, rate=100.0),
        rules=replace(made.rules, max_hops=3),
        events=[],
    )


def guarded(*events, **more):
    """A fleet of two sites with verdicts, whose traffic shows soon what is bad, and that lasts long enough to
    see its end."""

    def fit(made):
        return replace(
            made,
            length_s=10.0,
            nodes=more.get('nodes', 6),
            zones=2,
            kinds=[replace(made.kinds[0], count=more.get('caches', 10), cores=4, speed=1.0)],
            load=replace(made.load, rate=more.get('rate', 160.0), keys=400),
            caches=replace(made.caches, mode='aside', pause_every_s=0.0),
            origin=replace(made.origin, cores=16, queue=400),
            profiles=[replace(profile, work_ms=8.0, goal_s=0.6) for profile in made.profiles],
            planning=replace(
                made.planning, planners=3, lease_s=0.4, span_s=1.2, bounds=more.get('bounds', [])
            ),
            events=list(events),
        )

    return fit


RATE = 160.0
HUNG = Event(at_s=1.0, kind='hung', what=[3], for_s=3.0)
MANY = Event(at_s=1.0, kind='hung', what=[1, 3, 6, 8], for_s=5.0)
TURNS = [Event(at_s=1.0 + 1.6 * number, kind='hung', what=[3], for_s=0.8) for number in range(5)]


def bounded(what, most, **more):
    """A fleet with one limit of this kind, and little else that could refuse: most is a part of what is
    asked, or a number."""

    def fit(made):
        bound = Bound(name='limit', what=what, most=round(RATE * most) if most < 1 else most)
        if 'floor' in more:
            bound = replace(bound, floor=bound.most * more['floor'])
        return replace(
            made,
            length_s=more.get('length', 8.0),
            nodes=3,
            planning=replace(
                made.planning,
                planners=3,
                seats=more.get('seats', 3),
                lease_s=more.get('lease', 0.4),
                bounds=[bound],
            ),
            kinds=[replace(made.kinds[0], count=4, cores=4)],
            clients=replace(made.clients, retries=2, wait_ms=100.0),
            load=replace(made.load, rate=RATE),
            caches=replace(made.caches, mode='aside'),
            events=more.get('events', made.events),
        )

    return fit


# One node has all that can be lent as clients turn to the others, and to it as well.
TURN = [
    Event(at_s=0.5, kind='shift', what=[0], for_s=5.5),
    Event(at_s=6.0, kind='burst', for_s=3.0, size=3.0),
]
AWAY = [*TURN, Event(at_s=5.95, kind='part_planner', what=[0, 1, 2], for_s=5.0)]
RESTARTS = [*AWAY, Event(at_s=5.96, kind='kill_planner', what=[0, 1, 2], for_s=0.02)]
HANGING = [
    Event(at_s=0.5, kind='shift', what=[0], for_s=7.0),
    Event(at_s=7.0, kind='slow', count=4, for_s=4.0, size=100.0),
    Event(at_s=7.6, kind='shift', what=[1, 2], for_s=4.0),
    Event(at_s=7.6, kind='burst', for_s=2.0, size=3.0),
]
LOWERED = [Event(at_s=1.0, kind='lower', for_s=30.0, size=5.0)]
PLANNED = ('kill_planner', 'cut_planner', 'burst')
DRAINS = ('drain', 'deploy', 'shrink')
MUTANTS = {
    row[0].replace('_', '-'): Mutant(*row[1:])
    for row in (
        ('drain_ignored', 'sends after a drain', drain_ignored, DRAINS),
        ('gone_ignored', 'sends to servers that are gone from the list', gone_ignored, DRAINS + ('replace',)),
        (
            'window_ignored',
            'repeats a journalled transaction outside of its window',
            window_ignored,
            (),
            late_repeat,
        ),
        ('group_ignored', 'repeats a journalled transaction outside of its group', group_ignored, (), apart),
        (
            'lost_is_never_ran',
            'takes a lost hop for one that never ran',
            lost_is_never_ran,
            ('resets', 'halved'),
        ),
        ('left_forgotten', 'claims "never ran" after the last byte', left_forgotten, ('resets', 'halved')),
        ('leavers_served', 'sends on for clients that have left unread', leavers_served, (), walking_out),
        ('leavers_served_soon', 'the same, after a fifth of a second', leavers_served, (), stumbling),
        ('answer_dropped', 'drops an answer', answer_dropped, ('slow',)),
        ('answer_doubled', 'answers twice', answer_doubled, ('slow',)),
        ('answers_mixed', 'mixes answers of two requests', answers_mixed, ('slow',)),
        ('answer_cut_short', 'passes on an answer that lacks a byte', answer_cut_short, ('slow',)),
        ('cold_flooded', 'takes a cold server for a warm one', cold_flooded, (), crowd_cold),
        ('credit_endless', 'never runs out of credit at a cold server', credit_endless, (), crowd_cold),
        ('clock_mistaken', "reads a server's start an hour too early", clock_mistaken, (), crowd_cold),
        ('hop_leaked', 'forgets that a hop has ended', hop_leaked, ('slow',)),
        ('slot_leaked', 'does not free a slot', slot_leaked, ('slow',)),
        (
            'descriptor_leaked',
            'forgets a connection without closing it',
            descriptor_leaked,
            ('slow', 'hung', 'halved'),
        ),
        ('change_missed', 'misses a change of the list', change_missed, DRAINS),
        (
            'versions_skipped',
            'asks from too late a version after its watch broke',
            versions_skipped,
            (),
            unheard,
        ),
        (
            'asks_when_told_to',
            'leaves it to the module when a lost watch is opened again',
            asks_when_told_to,
            (),
            unheard_where_asked,
        ),
        ('cut_at_the_limit', 'cuts off a large answer at its limit', cut_at_the_limit, (), long_answers),
        (
            'held_past_the_limit',
            'holds an answer of no told length until 64 KiB of it are here',
            held_past_the_limit,
            (),
            long_answers_untold,
        ),
        (
            'held_without_limit',
            'holds a large request for as long as nothing takes it',
            held_without_limit,
            (),
            long_requests,
        ),
        ('wakeup_lost', 'loses a wake-up', wakeup_lost, ('hung', 'slow')),
        ('limit_ignored', 'does not look at the limit', limit_ignored, ('hung', 'vanish', 'cut')),
        ('loser_kept', 'never cancels a loser', loser_kept, ('slow',)),
        ('body_changed', 'changes a body on its way', body_changed, ('slow',)),
        (
            'always_harmless',
            'says that trying again is harmless when it is not',
            always_harmless,
            ('resets', 'halved', 'hung'),
        ),
        ('hop_doubled', 'sends a hop twice below the module', hop_doubled, ('slow',)),
        ('hops_unbounded', 'sends more hops than a transaction may have', hops_unbounded, (), declining),
        ('leaves_at_once', 'ends on SIGTERM with requests open', leaves_at_once, ('term',)),
        ('counts_wrongly', 'counts a committed transaction twice', counts_wrongly, ('slow',)),
        ('framings_chosen', 'chooses between two framings', framings_chosen, ('slow',)),
        ('silent_kept', 'keeps clients that say nothing', silent_kept, ('slow',)),
        ('noise_raises', 'raises on noise out of a protocol', noise_raises, ('garbled',)),
        ('missing_is_served', 'serves a client with a miss', missing_is_served, ('miss',)),
        ('half_is_whole', 'takes half an answer for a whole one', half_is_whole, ('halved',)),
        ('ban_lost', 'forgets that a server is out by hand when a list names it', ban_lost, (), out_by_hand),
        (
            'copy_to_suspended',
            'sends a copy to a server that is out by hand',
            copy_to_suspended,
            (),
            out_by_hand,
        ),
        ('back_as_warm', 'takes a server that was out by hand for a warm one', back_as_warm, (), cold_back),
        ('idle_kept', 'keeps clients that rest on an emptied node', idle_kept, (), emptied),
        ('never_away', 'says that it is ready though it is emptied', never_away, (), emptied),
        ('never_back', 'does not take clients again', never_back, (), emptied),
        (
            'part_spent_twice',
            'spends what it gave away',
            part_spent_twice,
            (),
            bounded(
                'open',
                18,
                floor=1,
                length=15.0,
                events=[
                    Event(at_s=0.5, kind='shift', what=[0], for_s=12.0),
                    Event(at_s=11.5, kind='slow', count=4, for_s=3.0, size=60.0),
                    Event(at_s=12.5, kind='burst', for_s=2.0, size=3.0),
                ],
            ),
            3,
            draw.planned,
        ),
        (
            'lease_past_its_end',
            'uses a lease past its end',
            lease_past_its_end,
            (),
            bounded('requests', 0.4, floor=0.1, length=10.0, events=AWAY),
            3,
            draw.planned,
        ),
        (
            'tokens_not_taken',
            'does not take what it spends from its part',
            tokens_not_taken,
            PLANNED,
            bounded('requests', 0.4),
            3,
            draw.planned,
        ),
        (
            'bucket_without_bound',
            'saves up what it did not spend',
            bucket_without_bound,
            (),
            bounded('requests', 200, events=[Event(at_s=3.0, kind='burst', for_s=2.0, size=4.0)]),
            3,
            draw.planned,
        ),
        (
            'seat_held_twice',
            'takes a seat that another has',
            seat_held_twice,
            (),
            bounded('requests', 0.4, floor=1, seats=2),
            3,
            draw.planned,
        ),
        (
            'bank_forgets_leases',
            'a planner lends twice',
            bank_forgets_leases,
            (),
            bounded('requests', 0.4, floor=0.1, lease=1.5, length=10.0, events=AWAY),
            3,
            draw.planned,
        ),
        (
            'waits_for_a_plan',
            'refuses until a planner has answered',
            waits_for_a_plan,
            (),
            bounded(
                'requests', 0.5, events=[Event(at_s=2.0, kind='kill_planner', what=[0, 1, 2], for_s=6.0)]
            ),
            3,
            draw.planned,
        ),
        (
            'planner_lends_at_once',
            'a planner lends right after its start',
            planner_lends_at_once,
            (),
            bounded('requests', 0.4, floor=0.1, lease=1.5, length=10.0, events=RESTARTS),
            3,
            draw.planned,
        ),
        (
            'limit_read_once',
            'reads a limit once, at its start',
            limit_read_once,
            (),
            bounded('requests', 0.5, length=10.0, events=LOWERED),
            3,
            draw.planned,
        ),
        (
            'links_not_counted',
            'does not count connections',
            links_not_counted,
            ('burst',),
            bounded('links', 6),
            3,
            draw.planned,
        ),
        (
            'cold_not_asked',
            'does not ask for the part at a cold server',
            cold_not_asked,
            (),
            bounded('cold', 3, length=10.0, events=[Event(at_s=1.0, kind='crash', count=2, for_s=0.5)]),
            3,
            draw.planned,
        ),
        (
            'smaller_lease_held',
            'says that it holds a smaller lease while more is open',
            smaller_lease_held,
            (),
            bounded('open', 12, floor=0.25, length=12.0, events=HANGING),
            3,
            draw.planned,
        ),
        (
            'plan_without_age',
            'counts a lease from when its plan came, and long',
            plan_without_age,
            (),
            bounded('requests', 0.4, floor=0.1, length=10.0, events=AWAY),
            3,
            draw.planned,
        ),
        (
            'age_not_carried',
            'a planner does not say how old a verdict is',
            age_not_carried,
            (),
            guarded(
                HUNG,
                Event(at_s=2.0, kind='shift', what=[0], for_s=5.0),
                Event(at_s=2.0, kind='drain', what=[3], for_s=5.0),
            ),
            3,
            draw.watched,
        ),
        (
            'evidence_as_it_came',
            'a planner takes evidence for as new as it came',
            evidence_as_it_came,
            (),
            guarded(HUNG, Event(at_s=1.5, kind='late_planner', what=[0, 1, 2], for_s=6.0, size=0.5)),
            3,
            draw.watched,
        ),
        (
            'evidence_twice',
            'a planner counts evidence twice',
            evidence_twice,
            (),
            guarded(
                *[
                    Event(at_s=1.0 + number, kind='shift', what=[number % 6], for_s=0.9)
                    for number in range(7)
                ],
                *TURNS,
            ),
            3,
            draw.watched,
        ),
        (
            'one_witness',
            'one forwarder is enough',
            one_witness,
            (),
            guarded(
                *[
                    Event(at_s=1.0 + number, kind='shift', what=[number % 6], for_s=0.9)
                    for number in range(7)
                ],
                *TURNS,
            ),
            3,
            draw.watched,
        ),
        (
            'harm_unbounded',
            'holds down as many as are bad',
            harm_unbounded,
            (),
            guarded(MANY),
            3,
            draw.watched,
        ),
        (
            'own_eyes_ignored',
            'acts against its own eyes',
            own_eyes_ignored,
            (),
            guarded(*TURNS),
            3,
            draw.watched,
        ),
        (
            'verdict_endless',
            'acts on a verdict for longer than it holds',
            verdict_endless,
            (),
            guarded(HUNG, Event(at_s=2.5, kind='kill_planner', what=[0, 1, 2], for_s=6.0)),
            3,
            draw.watched,
        ),
        (
            'way_for_all',
            'takes what one site sees for a verdict on the server',
            way_for_all,
            (),
            guarded(
                Event(at_s=0.5, kind='shift', what=[0, 1, 3, 5], for_s=9.0),
                Event(at_s=1.5, kind='site_cut', what=[3], for_s=7.0),
            ),
            3,
            draw.watched,
        ),
        (
            'brought_back',
            'a verdict brings back a server that is out by hand',
            brought_back,
            (),
            guarded(*TURNS, Event(at_s=2.0, kind='suspend', what=[3, 5], for_s=5.0)),
            3,
            draw.watched,
        ),
        (
            'tries_not_counted',
            'does not count tries at a server that is out',
            tries_not_counted,
            (),
            guarded(
                Event(at_s=1.0, kind='garbled', what=[3], for_s=8.0, size=10.0),
                nodes=2,
                caches=5,
                rate=700.0,
                bounds=[Bound(name='tries', what='tries', most=0.2, floor=0.0)],
            ),
            3,
            draw.watched,
        ),
        (
            'timers_on_wall_time',
            'sets its timers by a wall clock that is stepped',
            timers_on_wall_time,
            (),
            stepped_back,
        ),
        (
            'blames_servers',
            "holds its own machine's failures against servers",
            blames_servers,
            (),
            cannot_connect,
        ),
        ('slots_reused', "gives a slot's number out again", slots_reused, ('slow', 'hung', 'halved')),
    )
}
