"""Deliberately broken nodes: each function patches the node for the length of one run.

put(owner, name, value) replaces an attribute until the run is over; the second argument is a function that
draws a float from [0, 1) from the run's random source.
"""

from .. import logic
from ..logic import Router
from ..net import caches, http, links
from ..net.bodies import Download, Upload
from ..net.caches import Caches
from ..net.client import ClientConnection
from ..net.discovery import Discovery, started
from ..net.links import Link
from ..net.listener import Listener
from ..net.node import STARTING, Node
from ..net.overflow import Overflow
from ..net.phases import Phases
from ..net.start_times import StartTimes
from ..net.tables import Deadlines, SlotTable
from ..values import SECOND
from .reactor import SimReactor


def drain_ignored(put, uniform):
    usual = Router.list_entry
    put(
        Router,
        'list_entry',
        lambda self, now, server, state, *rest: usual(
            self, now, server, 'ready' if state == 'draining' else state, *rest
        ),
    )


def gone_ignored(put, uniform):
    usual = Router.list_entry
    put(
        Router,
        'list_entry',
        lambda self, now, server, state, *rest: usual(
            self, now, server, 'ready' if state == 'gone' else state, *rest
        ),
    )


def under(usual, whose, field, value):
    """Wrap a method of the router so that a field of the object returned by whose(router, tx) has another
    value during the call."""

    def called(self, now, tx, *rest):
        owner = whose(self, tx)
        kept = getattr(owner, field)
        setattr(owner, field, value)
        try:
            return usual(self, now, tx, *rest)
        finally:
            setattr(owner, field, kept)

    return called


def leavers_served(put, uniform):
    put(ClientConnection, 'peer_gone', lambda self: False)


def window_ignored(put, uniform):
    put(Router, 'permitted', under(Router.permitted, lambda self, tx: tx.profile, 'window', 1 << 40))


def group_ignored(put, uniform):
    put(Router, 'permitted', under(Router.permitted, lambda self, tx: tx.profile, 'group', 'all'))


def lost_is_never_ran(put, uniform):
    put(logic, 'NEVER_RAN', logic.NEVER_RAN + ('lost', 'error'))


def left_forgotten(put, uniform):
    usual = Link.connectionLost

    def lost(self, reason=None):
        self.all_sent = False
        usual(self, reason)

    put(Link, 'connectionLost', lost)


def answer_dropped(put, uniform):
    usual = ClientConnection.reply

    def reply(self, pieces):
        if uniform() < 0.02:
            self.active = None
        else:
            usual(self, pieces)

    put(ClientConnection, 'reply', reply)


def answer_doubled(put, uniform):
    usual = ClientConnection.reply
    put(ClientConnection, 'reply', lambda self, pieces: usual(self, pieces * (1 + (uniform() < 0.02))))


def answers_mixed(put, uniform):
    usual, last = http.relayed, [None]

    def relayed(message, keep_alive):
        given, last[0] = last[0] if last[0] and uniform() < 0.02 else message, message
        return usual(given, keep_alive)

    put(http, 'relayed', relayed)


def answer_cut_short(put, uniform):
    usual = http.relayed

    def relayed(message, keep_alive):
        if uniform() < 0.02:
            message.body = message.body[:-1]
        return usual(message, keep_alive)

    put(http, 'relayed', relayed)


def cold_flooded(put, uniform):
    put(Router, 'capacity_factor', lambda self, now, server: 1)


def credit_endless(put, uniform):
    usual = Router.cold_budget_allows

    def cold_budget_allows(self, now, server):
        usual(self, now, server)
        return True

    put(Router, 'cold_budget_allows', cold_budget_allows)
    put(Router, 'capacity_factor', lambda self, now, server: 1)


def clock_mistaken(put, uniform):
    put(
        StartTimes,
        'start_of',
        lambda self, entry, now, last_line_at: (
            started(entry, self.offset - 3_600 * SECOND) if entry.started else None
        ),
    )


def timers_on_wall_time(put, uniform):
    put(SimReactor, 'seconds', lambda self: self.monotonic() + self.ahead)


def blames_servers(put, uniform):
    put(caches, 'local_errno', lambda failure: None)


def hop_leaked(put, uniform):
    usual = Router.hop_ended

    def hop_ended(self, now, hop, *rest):
        usual(self, now, hop, *rest)
        hop.server.out += uniform() < 0.02

    put(Router, 'hop_ended', hop_ended)


def slot_leaked(put, uniform):
    usual = SlotTable.remove
    put(SlotTable, 'remove', lambda self, number: usual(self, number) if uniform() > 0.01 else None)


def descriptor_leaked(put, uniform):
    usual = Link.close

    def close(self, why):
        if self.transport is not None and self.all_sent and uniform() < 0.5:
            self.pool.forget(self)
        else:
            usual(self, why)

    put(Link, 'close', close)


def change_missed(put, uniform):
    usual = Discovery.apply_list
    put(
        Discovery,
        'apply_list',
        lambda self, lines: usual(self, lines if lines[1] or uniform() < 0.5 else (lines[0], lines[1], [])),
    )


def versions_skipped(put, uniform):
    usual = Discovery.open

    def open_(self):
        if not self.watch and self.version is not None:
            self.version += 2
        usual(self)

    put(Discovery, 'open', open_)


def asks_when_told_to(put, uniform):
    put(Discovery, 'retry', lambda self, turn: None)


def cut_at_the_limit(put, uniform):
    put(Download, 'due', Download.abort_both)


def held_past_the_limit(put, uniform):
    put(Link, 'has_partial_answer', property(lambda self: False))


def held_without_limit(put, uniform):
    put(Upload, 'due', lambda self: None)


def unread_before_first_list(put, uniform):
    usual_update, usual_serve = Listener.update_accepting, Node.serve

    def update_accepting(self):
        if self.node.phase == STARTING:
            self.port.stopReading()
        else:
            usual_update(self)

    def serve(self):
        usual_serve(self)
        self.listener.update_accepting()

    put(Listener, 'update_accepting', update_accepting)
    put(Node, 'serve', serve)


def queue_left_unread(put, uniform):
    put(Overflow, 'step', lambda self: None)


def wakeup_lost(put, uniform):
    usual = Deadlines.at
    put(
        Deadlines,
        'at',
        lambda self, when, call, number: usual(self, when, call, number) if uniform() > 0.05 else None,
    )


def limit_ignored(put, uniform):
    put(Node, 'limit_due', lambda self, number: None)


def loser_kept(put, uniform):
    put(Node, 'do_cancel', lambda self, hop: None)


def body_changed(put, uniform):
    usual = http.request

    def request(message, wait):
        if message.body and uniform() < 0.1:
            message.body = message.body[:-1] + b'!'
        return usual(message, wait)

    put(links, 'request', request)


def always_harmless(put, uniform):
    usual = Router.give_up

    def give_up(self, now, tx, why=None):
        return ('roll_back',) + (usual(self, now, tx, why)[1], self.retry_delay)

    put(Router, 'give_up', give_up)


def hop_doubled(put, uniform):
    usual = Caches.send

    def send(self, server, message, until, *rest):
        if uniform() < 0.05:
            usual(self, server, message, until, *rest)
        return usual(self, server, message, until, *rest)

    put(Caches, 'send', send)


def hops_unbounded(put, uniform):
    for name in ('permitted', 'next_decision'):
        put(Router, name, under(getattr(Router, name), lambda self, tx: self.terms, 'max_hops', 50))


def leaves_at_once(put, uniform):
    put(Node, 'drain', lambda self, signum=15: self.reactor.stop())


def counts_wrongly(put, uniform):
    usual = Node.count

    def count(self, what):
        usual(self, what)
        if what == 'committed' and uniform() < 0.02:
            usual(self, what)

    put(Node, 'count', count)


def framings_chosen(put, uniform):
    usual = http.Reader.frame

    def frame(self, message):
        if message.field(b'content-length') is not None:
            message.fields.pop(b'transfer-encoding', None)
        usual(self, message)

    put(http.Reader, 'frame', frame)


def silent_kept(put, uniform):
    put(Phases, 'make_room', lambda self, places, need: None)


def noise_raises(put, uniform):
    usual = http.read_head

    def read_head(buffer, end, first):
        try:
            return usual(buffer, end, first)
        except http.BadMessage as err:
            raise KeyError('first line') from err

    put(http, 'read_head', read_head)


def missing_is_served(put, uniform):
    usual = links.ending
    put(
        links,
        'ending',
        lambda answer: 'committed' if answer.parts[1] == b'404' and uniform() < 0.2 else usual(answer),
    )


def half_is_whole(put, uniform):
    usual = Link.connectionLost

    def lost(self, reason=None):
        message = self.reader.message
        if self.exchange and message is not None and message.parts[1] == b'200':
            message.body = bytes(self.reader.buffer)
            self.finish('committed', message)
        usual(self, reason)

    put(Link, 'connectionLost', lost)


def slots_reused(put, uniform):
    usual = SlotTable.add

    def add(self, what):
        number = usual(self, what)
        index = number & (1 << 20) - 1
        self.generations[index] = 0
        return index

    put(SlotTable, 'add', add)


def ban_lost(put, uniform):
    usual = Router.list_entry

    def list_entry(self, now, server, state, *rest):
        if self.is_suspended(server.name) and self.suspensions[server.name][0] < now:
            self.suspensions.pop(server.name)
        usual(self, now, server, state, *rest)

    put(Router, 'list_entry', list_entry)


def copy_to_suspended(put, uniform):
    usual = Router.choose_cache

    def pick(self, now, tx):
        for server in self.servers_by_name.values() if tx.hops else ():
            if server.state == 'banned':
                server.state = 'ready'
                return server
        return usual(self, now, tx)

    put(Router, 'choose_cache', pick)


def back_as_warm(put, uniform):
    usual = Router.resume

    def resume(self, now, name):
        self.suspensions.pop(name, None)
        server = self.servers_by_name.get(name)
        if server:
            self.list_remembered(
                now, [(server, server.listed_state, server.weight, None, server.zone, server.cell)]
            )
        return usual(self, now, name)

    put(Router, 'resume', resume)
    put(Router, 'capacity_factor', lambda self, now, server: 1)


def idle_kept(put, uniform):
    put(Node, 'close_idle_clients', lambda self, since: None)
    put(Phases, 'make_room', lambda self, places, need: None)  # it would close idle clients after 2.5 s


def never_away(put, uniform):
    usual = Node.ready

    def ready(self):
        kept, self.out_of_rotation = self.out_of_rotation, False
        told, self.out_of_rotation = usual(self), kept
        return told

    put(Node, 'ready', ready)


def never_back(put, uniform):
    put(Node, 'activate', lambda self: True)
