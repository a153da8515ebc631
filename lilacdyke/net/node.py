"""The node: owns the router, the clock, the active requests and their attempts, and the process's lifecycle.

After every input the node asks the router (logic.py) for decisions until there are none, and carries them out.
It makes no routing decisions itself, but makes sure that each request it has taken gets exactly one answer.
"""

import gc
import os
import signal
from collections import Counter
from random import Random

from twisted.internet.error import CannotListenError

from ..decode import page
from ..logic import Router, Server
from ..values import SECOND, BadLine, seconds
from . import http
from .caches import NOTES, Caches
from .discovery import Discovery, read_list
from .events import EventLog
from .guard import Guard
from .listener import Listener
from .local_errors import name_of
from .logs import LOG, say, warn
from .sockets import Reactor, unread_for
from .starts import StartTimes
from .system import System
from .tables import Deadlines, Table

# away: an operator has taken the node out of rotation; it still serves the clients that come.
STARTING, SERVING, AWAY, DRAINING, STOPPED = 'starting', 'serving', 'away', 'draining', 'stopped'
# Times are in ticks of 0.1 ms unless the name says otherwise.
RESERVED_DESCRIPTORS, MIN_DESCRIPTORS = 32, 4  # for all but clients and caches; for each of these at least
ARRIVAL_GRACE = 5_000  # new clients stop arriving within this time after SIGTERM
FIRST_LIST_TIMEOUT = 10_000  # for discovery's first list, until which new clients wait to be accepted
MAX_DRAIN = 30_000  # SIGKILL may follow SIGTERM a little later than this
SETTLED_IDLE = 2_500  # a client idle for this long is unlikely to send a request while its connection closes
RELAY_FRACTION = 4  # the last quarter of a request's time is kept for relaying a partial answer
PROGRESS_FRACTION = 16  # an answer still arrives if it made progress over 1/16 of its request's time
FIGURES_INTERVAL = 10 * SECOND
STEP_SECONDS = 0.1  # smallest step of the wall clock that is reported
MILLISECOND = SECOND // 1_000


class ActiveRequest:
    """A transaction that the node has taken, and the client it owes an answer."""

    __slots__ = ('number', 'name', 'client', 'message', 'tx', 'attempts', 'wait', 'shared', 'sent_hops')

    def __init__(self, client, message, wait):
        self.client, self.message, self.wait = client, message, wait
        self.name = message.field(b'req-id')
        self.number = self.tx = None
        self.attempts = []  # hops under way
        self.sent_hops = []  # (time, hop) of each attempt sent, for the guard
        self.shared = False  # whether it counts in the fleet's limits


class Attempt:
    """A hop under way for an active."""

    __slots__ = ('number', 'active', 'hop', 'exchange', 'relay_at', 'looked_at')

    def __init__(self, active, hop):
        self.active, self.hop = active, hop
        self.number = self.exchange = None
        self.looked_at = False  # whether its deadline has waited for what lay unread
        self.relay_at = None  # from when on an answer that is here in part is passed on


class Node:
    """One node from start to exit."""

    def __init__(self, place, reactor, system=System, lines_per_second=0):
        self.place, self.reactor, self.system, self.elapsed = place, reactor, system, system.elapsed
        reactor.call_failed = self.call_failed
        self.phase = STARTING
        self.zero = self.elapsed() - 1  # the node's clock starts at one second
        # Unix time is read here once, for lists; what a step does to it later changes nothing.
        self.starts = StartTimes(self.clock() - int(system.wall() * SECOND))
        self.wall_offset = system.wall() - self.elapsed()  # as last seen: a step changes it
        self.chance = Random(place.seed).random
        self.router = Router(place.terms, place.seed, place.rank)
        self.guard = Guard(self.clock, self.count, self.is_open, self.router, place.stop_within)
        self.servers, self.entries = {}, {}  # by name: the module's objects; what the list last said
        self.active_requests, self.attempts = Table(), Table()
        self.ids = set()  # what clients call the transactions that are open
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.events = EventLog(self.clock, lines_per_second)
        budget = self.descriptor_share(self.descriptors() - RESERVED_DESCRIPTORS)
        self.listener = Listener(self, self.deadlines, self.clock, place.terms, budget, self.events)
        self.caches = Caches(
            reactor,
            self.deadlines,
            self.clock,
            place,
            budget,
            self.broken,
            self.fault,
            self.returned,
            self.events,
            self.call_failed,
        )
        self.discovery = Discovery(reactor, self.deadlines, self.clock, place, self.chance, self)
        self.desk = None  # operators' door
        self.gone_away, self.away_since = False, 0  # whether operators have it away_since, and since when
        self.handover, self.exit_code = None, 0  # links to other processes of this node; the exit code
        self.changes = None  # changes that are passed to it, where a changes file says so (changes/node.py)
        self.fleet = None  # what this node shares with others, where a fleet file says so (plan/fleet.py)
        self.last = None  # once it is to exit: until when all is answered
        self.pending_drain = None  # SIGTERM, and when it came, while that waits for discovery's first word
        self.settling = False
        self.counts = Counter()

    def clock(self):
        """The module's time."""
        return int((self.elapsed() - self.zero) * SECOND)

    def descriptors(self):
        """How many this process may hold."""
        return min(self.place.sockets, self.system.descriptors() or self.place.sockets)

    # --- phases -----------------------------------------------------------------------------------------

    def start(self, folder=None):
        """Begin; where operators have a door, first ask in this folder whether a process of this node is
        there."""
        if self.place.operator:
            from .operator import OperatorServer  # what is off is not imported

            self.desk = OperatorServer(self, self.deadlines, self.clock)
            self.desk.listen(self.reactor, *self.place.operator)
        if self.place.operator and folder:
            from .handover import Handover

            self.handover = Handover(
                self,
                self.reactor,
                self.deadlines,
                self.clock,
                folder,
                self.descriptors(),
                RESERVED_DESCRIPTORS,
            )
            self.handover.find_predecessor(self.begin_unless_stopped)
        else:
            self.begin(None, None)

    def begin_unless_stopped(self, told, fd):
        """Begin, unless SIGTERM came while an elder was asked; a start that fails ends the program."""
        if self.phase == STOPPED:
            return
        try:
            self.begin(told, fd)
        except CannotListenError as err:
            warn('cannot listen', reason=err)
            self.phase, self.exit_code = STOPPED, 1
            self.reactor.stop()
        except Exception:
            if told is None:
                raise
            LOG.exception('hand-over failed')  # what was given is of no use: a plain start
            self.begin_unless_stopped(None, None)

    def begin(self, told, fd):
        """Take the remembered list, or what an elder gave, listen, and open the watch. Clients wait at the
        door for discovery's first word, or for the first watch to be lost: guards against sends to servers
        that drained while nobody was here, as the agent holds word of that from the start on. An elder's list
        is as new."""
        try:
            self.discovery.version, _, entries = read_list(told.get('list') if told else self.place.known)
            self.remember(entries)
        except BadLine as err:
            warn('remembered list not read', reason=err)
        if told:
            self.inherit(told)
        self.listener.listen(self.reactor, *self.place.listen, *([fd] if fd is not None else []))
        if told:
            self.serve()
        if self.discovery.pushed:
            self.discovery.open()
        self.settle()
        self.deadlines.at(self.clock() + FIRST_LIST_TIMEOUT, self.first_list_timed_out, 0)
        self.deadlines.at(self.clock() + FIGURES_INTERVAL, self.figures, 0)
        self.deadlines.at(self.clock() + SECOND, self.check_wall_clock, 0)

    def first_list_timed_out(self, _):
        """Guards against clients that wait at the door until their time is up: a call to discovery may wait
        its turn for longer."""
        self.serve()

    def serve(self):
        """Let clients in, from now on."""
        if self.phase != STARTING:
            return
        self.phase = AWAY if self.gone_away else SERVING
        self.listener.see_to_door()
        if self.handover:
            self.update_shares()
            self.handover.announce_serving()
        say(
            'serving',
            node=self.place.name,
            address='%s:%d' % self.place.listen,
            servers=len(self.servers),
            descriptors=self.descriptors(),
        )
        if self.pending_drain:
            self.drain(*self.pending_drain)

    def ready(self):
        """Whether clients should come here."""
        here = self.can_serve() or self.phase == DRAINING and self.handed
        return here and not self.gone_away and bool(self.router.caches)

    def began(self):
        """Whether clients have been let in."""
        return self.phase != STARTING

    def can_serve(self):
        """Whether this process serves whoever comes, wherever clients are sent."""
        return self.phase in (SERVING, AWAY)

    def leaving(self):
        """Whether clients are asked to close."""
        return self.phase != SERVING

    def drain(self, signum=signal.SIGTERM, since=None):
        """SIGTERM: answer all that is taken and all that still comes, then exit. Who waits at the door of a
        node that starts is owed an answer too, but not by a list that is only remembered: first discovery
        speaks, or its watch is lost."""
        since = self.clock() if since is None else since
        if self.phase == STARTING and self.listener.port:
            self.pending_drain = self.pending_drain or (signum, since)
        elif self.phase == STARTING:
            self.phase = STOPPED
            self.reactor.stop()
        elif self.can_serve():
            self.phase = DRAINING
            if not self.handed:  # else the heir's door is the same
                self.listener.show_all()
            say(
                'draining',
                signal=signum,
                open=len(self.active_requests),
                clients=len(self.listener.table),
                succeeded=self.successor_accepts,
            )
            if self.handover:
                self.handover.succession.end()
            self.last = since + min(self.listener.slowest, MAX_DRAIN) + ARRIVAL_GRACE
            for active in self.active_requests:
                self.cap_deadline(active)
            self.deadlines.at(self.last, self.listener.break_off, 0)
            self.deadlines.at(since + ARRIVAL_GRACE, self.drain_step, since)

    def cap_deadline(self, active):
        """The process ends soon, and owes an answer before. Guards against SIGKILL, which does not wait for
        the longest limits."""
        tx = active.tx
        if self.last and tx.limit is not None and tx.limit > self.last:
            tx.limit = self.last
            self.router.alarm(tx.limit, tx)
            self.deadlines.at(tx.limit, self.limit_due, active.number)

    def reread(self, path):
        """SIGHUP: the page may name another address of discovery. All else in it is for the next start; a
        page that cannot be read changes nothing."""
        if self.phase == STOPPED:
            return
        try:
            where = page(path).discovery
        except BadLine as err:
            warn('page not read', reason=err)
            return
        say('page read', discovery='%s:%d' % where, moved=self.discovery.move(where))

    def drain_step(self, since):
        """Clients have stopped coming: ask those that are idle to go, and exit once nothing is owed."""
        now = self.clock()
        # With an heir nobody comes anew, so there is time: who rests for long is unlikely to ask just now.
        self.listener.close_idle(
            SETTLED_IDLE if self.successor_accepts and now < since + 4 * ARRIVAL_GRACE else 0
        )
        # With an heir the queue is held on to until the exit: should the heir stand still, nobody else looks
        # at it.
        held = self.handed or self.keeps_listening
        if now >= self.last - ARRIVAL_GRACE or not held and self.listener.nobody_comes(since + ARRIVAL_GRACE):
            self.listener.shut_door()
        if (
            not len(self.listener.table)
            and (self.listener.shut or not self.keeps_listening and held)
            or now >= self.last + ARRIVAL_GRACE // 5
        ):
            self.phase = STOPPED
            self.discovery.close()
            say('stopped', open=len(self.active_requests), **self.counts)
            self.reactor.stop()
        else:
            self.deadlines.at(now + ARRIVAL_GRACE // 20, self.drain_step, since)

    # --- by hand ----------------------------------------------------------------------------------------

    def empty(self):
        """An operator has clients sent away; whoever still comes is served."""
        self.gone_away = True
        if self.phase == SERVING:
            self.phase, self.away_since = AWAY, self.clock()
            say('away', open=len(self.active_requests), clients=len(self.listener.table))
            self.deadlines.at(self.away_since + ARRIVAL_GRACE, self.send_away, self.away_since)
        return self.phase in (AWAY, DRAINING)

    def activate(self):
        """An operator has clients come again."""
        self.gone_away = False
        if self.phase == AWAY:
            self.phase = SERVING
            say('active')
        return self.phase == SERVING or self.handed

    def send_away(self, since):
        """While the node is away_since: who rests on a connection is asked to go, who just rested there a little
        later."""
        if self.phase == AWAY and since == self.away_since:
            self.listener.close_idle(SETTLED_IDLE if self.clock() < since + 4 * ARRIVAL_GRACE else 0)
            self.deadlines.at(self.clock() + ARRIVAL_GRACE // 5, self.send_away, since)

    def suspend(self, name):
        """An operator takes a cache out. Whether it is known."""
        return self.apply_override('suspended', name, self.router.suspend(self.clock(), name))

    def resume(self, name):
        """An operator brings it back. Whether it is known."""
        return self.apply_override('resumed', name, self.router.resume(self.clock(), name))

    def apply_override(self, what, name, done):
        if done:
            self.caches.tidy()
            say(what, server=name, caches=len(self.router.caches))
            self.settle()
        return done

    # --- another process of this node -------------------------------------------------------------------

    @property
    def successor_accepts(self):
        """Whether another process takes this node's clients."""
        return bool(self.handover) and not self.handover.succession.accepting

    @property
    def handed(self):
        """Whether another process has this node, even if it stands still."""
        return bool(self.handover) and self.handover.succession.handed

    @property
    def keeps_listening(self):
        """Whether this process, which is to exit, is the only one to look at the queue."""
        return bool(self.handover) and self.handover.succession.keeps_listening

    def perform(self, method, name=None):
        """A call of an operator, here or at the other process, by its name in here. Whether it is a yes."""
        return getattr(self, method)(*([] if name is None else [name]))

    def listening_fd(self):
        """The listening socket, while there is one to give."""
        return self.listener.port.fileno() if self.can_serve() and not self.successor_accepts else None

    def holds(self):
        """Descriptors that this process holds or may still take."""
        return RESERVED_DESCRIPTORS + max(
            len(self.listener.table) + self.caches.open, self.handover.succession.reserved
        )

    @staticmethod
    def descriptor_share(total):
        """What clients have of so many descriptors, and servers as well."""
        return max(MIN_DESCRIPTORS, total // 2)

    def update_shares(self):
        """Who takes clients, and how many descriptors are this process's, may have changed."""
        self.router.handed, self.listener.yielded = self.handed, self.successor_accepts
        if self.successor_accepts:
            self.listener.budget = max(MIN_DESCRIPTORS, len(self.listener.table))
            self.caches.shrink(MIN_DESCRIPTORS)
        elif self.handed:  # what the heir was told of is all there is
            self.listener.budget = max(MIN_DESCRIPTORS, self.handover.succession.reserved // 2)
            self.caches.budget = max(
                MIN_DESCRIPTORS, self.handover.succession.reserved // 2, self.caches.open
            )
        else:
            self.listener.budget = self.caches.budget = self.descriptor_share(
                self.handover.succession.capacity
            )
        if self.listener.port:
            self.listener.see_to_room()
            self.listener.see_to_door()
        if self.fleet:
            self.fleet.hand_over()

    def legacy(self):
        """What an heir must know, as plain values; times as ticks of Unix time."""
        usual, servers = self.router.legacy(self.clock())
        hand = {
            name: [since - self.starts.offset, back and back - self.starts.offset]
            for name, (since, back) in self.router.hand.items()
        }
        listed = [entry.row() for name, entry in self.entries.items() if name in self.router.known]
        return {
            'away': self.gone_away,
            'hand': hand,
            # By these an heir turns the times above into its own clock's without either's Unix time.
            'elapsed': self.elapsed(),
            'unix': self.clock() - self.starts.offset,
            'usual': usual,
            'servers': servers,
            'list': {'generation': self.discovery.version or 0, 'reset': True, 'instances': listed},
        }

    def inherit(self, told):
        """Go on with what an elder gave."""
        try:
            self.gone_away = told['away'] is True
            offset = self.clock_offset_from(told)
            for name, (since, back) in told['hand'].items():
                self.router.hand[name] = (since + offset, back and back + offset)
            self.router.list_remembered(
                self.clock(), [self.router.row(s) for s in self.router.known.values()]
            )
            self.router.inherit(self.clock(), told['usual'], told['servers'])
            for name, server in self.router.known.items():
                self.starts.adopt(name, server.started)
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            warn('hand-over not read', reason=repr(err))

    def clock_offset_from(self, told):
        """What turns an elder's times into this clock's. Both processes are on one machine, whose monotonic
        clock they share; its wall clock may have been stepped between their starts. An elder of an older
        version tells Unix times alone."""
        if not ('elapsed' in told and 'unix' in told):
            return self.starts.offset
        elders_now = told['unix'] + int((self.elapsed() - told['elapsed']) * SECOND)
        return self.clock() - elders_now

    # --- clients ----------------------------------------------------------------------------------------

    def take(self, client, message, row, key, wait, since):
        """A client's request has come whole, or the head of a large one: one answer is owed from here on."""
        active = client.active = ActiveRequest(client, message, wait)
        limit = None if message.source else since + wait
        active.number = self.active_requests.add(active)
        self.ids.add(active.name)
        self.count('taken')
        self.events.say('request taken', active.name, wait_ms=wait // MILLISECOND)
        write = message.parts[0] == b'PUT'
        active.tx = self.router.take(self.clock(), row, key, limit, write, since)
        active.tx.ref, active.shared = active, self.fleet is not None and not active.tx.refused
        if limit is not None:
            self.deadlines.at(limit, self.limit_due, active.number)
        self.cap_deadline(active)
        self.settle()

    def body_spent(self, active):
        """A connection carries a large body, which cannot be sent a second time."""
        active.tx.spent = True

    def body_came(self, active, when):
        """The last byte of a large request came then: its time runs."""
        limit = when + active.wait
        self.router.body_came(self.clock(), active.tx, limit)
        self.deadlines.at(limit, self.limit_due, active.number)
        self.cap_deadline(active)
        for attempt in active.attempts:
            if not self.place.terms.may_cancel:
                self.deadlines.at(limit, self.patience_due, attempt.number)
        self.settle()

    def client_gone(self, active):
        """A client closed without waiting for its answer."""
        self.forget(active, answered=False)
        self.count('gone')
        self.events.say('client gone', active.name)
        self.router.client_gone(self.clock(), active.tx)
        for attempt in active.attempts[:]:
            if (
                attempt.exchange
                and not attempt.exchange.whole
                and (attempt.exchange.message.source or not self.place.terms.may_cancel)
            ):
                attempt.exchange.cut(
                    'unsent'
                )  # the rest of its body will not come, or need not leave: it never ran
        self.settle()

    def wanted(self, active):
        """Whether a hop of it may still leave. Guards against work for a client that has gone: its end may
        lie unread, and where nothing may be cancelled a hop that waits for a connection would leave for
        nobody."""
        return self.active_requests.get(active.number) is active and not active.client.left()

    def forget(self, active, answered=True):
        """The client has its answer, or needs none; hops may still end, with nothing to hold on to. The
        client."""
        if answered:
            self.guard.check_answer(active)
        self.active_requests.remove(active.number)
        self.ids.discard(active.name)
        self.release_limits(active)
        client, active.client, active.message = active.client, None, None
        return client

    def is_open(self, active):
        """Whether it is owed an answer."""
        return self.active_requests.get(active.number) is active

    def release_limits(self, active):
        """Once an active is over and no hop of it is out, what it spent of the fleet's limits is free."""
        if not active.shared or self.active_requests.get(active.number) is active:
            return
        for attempt in active.attempts:
            self.deadlines.at(self.clock(), self.cancel_unsent, attempt.number)
        if not active.attempts:
            active.shared = False
            self.router.shares.done(active.tx.profile)

    def cancel_unsent(self, number):
        """A hop of an active that is over: should it wait for a connection that the limits do not let be
        opened, it never leaves."""
        attempt = self.attempts.get(number)
        if attempt and attempt.exchange and not attempt.exchange.link:
            attempt.exchange.cut('unsent')
            self.settle()

    def reply(self, active, status, text):
        """The final answer of the node's own."""
        client = self.forget(active)
        client.reply(http.answer(status, self.listener.stay(client), text))

    def limit_due(self, number):
        """The client's limit: hops end, and the module answers. Should it not, one is owed all the same."""
        active = self.active_requests.get(number)
        if active is None or self.defer_for_unread(active.attempts, self.limit_due, number):
            return
        if self.pass_on_part(active):
            return
        for attempt in active.attempts[:]:
            attempt.exchange.cut('expired')
        self.settle()
        if self.active_requests.get(number) is active:
            LOG.error('limit passed without a decision')
            self.events.say('request abandoned', active.name, why='no decision at the limit')
            self.reply(active, 504, 'out of time\n')
            self.router.client_gone(self.clock(), active.tx)

    def defer_for_unread(self, attempts, due, number):
        """Whether one of these attempts has something unread: it is read first, and the deadline comes again
        in the next turn; once for each attempt. Guards against cutting off an answer whose last piece came
        before its time was up."""
        unread = [attempt for attempt in attempts if not attempt.looked_at and attempt.exchange.unread]
        for attempt in unread:
            attempt.looked_at = True
        if unread:
            self.deadlines.at(self.clock(), due, number)
        return bool(unread)

    def time_up(self, active):
        """The limit of a large request whose body is held unread: no hop of it can have left whole."""
        active.tx.limit = self.clock()
        for attempt in active.attempts[:]:
            attempt.exchange.cut('unsent')
        self.limit_due(active.number)

    # --- hops -------------------------------------------------------------------------------------------

    def patience_due(self, number):
        """An attempt's own limit, which one whose answer goes on coming may pass: cut off, a large answer
        would be lost long before its request's limit. Guards also against one that nobody waits for at a site
        where hops may not be cancelled: with the server gone silent it would be out for ever."""
        attempt = self.attempts.get(number)
        if attempt is None or self.defer_for_unread([attempt], self.patience_due, number):
            return
        limit = attempt.active.tx.limit
        if (
            limit is not None
            and self.clock() < limit
            and attempt.exchange.link in self.progressing_links(attempt.active)
        ):
            self.deadlines.at(limit, self.patience_due, number)
            return
        attempt.exchange.cut('expired')
        self.settle()

    def attempt_ended(self, ending, number):
        """A hop has ended: by what came of it, or cut."""
        attempt, (how, answer) = self.attempts.get(number), ending
        self.attempts.remove(number)
        active, hop = attempt.active, attempt.hop
        self.events.say('attempt ended', active.name, server=hop.server.name, how=how, attempt=hop.index)
        active.attempts.remove(attempt)
        now = self.clock()
        open_ = self.active_requests.get(active.number) is active
        if open_ and how == 'unsent' and active.client.left():
            active.client.see_off()
            open_ = False
        final = how in ('committed', 'rejected')  # rejected: it is the request that is bad, not the server
        if final and open_:
            minor = active.message.parts[2]
            client = self.forget(active)
            self.count(how)
            self.events.say('request answered', active.name, how=how, server=hop.server.name)
            lasting = self.listener.stay(client)
            if how != 'committed':
                client.reply(http.answer(400, lasting, 'turned away by the server\n'))
            elif answer.source:
                client.stream(answer, minor, active.tx.limit)
            else:
                client.reply(http.relayed(answer, lasting))
        note = NOTES.get(answer.field(b'srv-cache'), 0) if answer else 0
        self.count('hops_' + how)
        if self.fleet:
            self.fleet.ended(now, hop, how, now - hop.sent)
        self.router.hop_ended(now, hop, how, now - hop.sent, final or hop.tx.done, note)
        self.release_limits(active)
        self.settle()

    def broken(self, server, err):
        """A server's answer out of form."""
        self.count('broken_answers')
        warn('answer not read', server=server.name, reason=err)

    def call_failed(self, call, number):
        """A call to the system failed, which tells of this machine alone."""
        name = name_of(number)
        self.count('failed_%s_%s' % (call, name))
        warn('call failed: %s %s' % (call, name))

    def returned(self, server):
        """A server takes connections again where nobody listened: its process is a new one, until the list
        says otherwise."""
        if server.state == 'ready' and not server.origin:
            now = self.clock()
            self.count('returned')
            say('server returned', server=server.name)
            self.router.list_remembered(
                now, [(server, 'ready', server.weight, now, server.zone, server.cell)]
            )

    def fault(self, failure):
        """A fault in the node itself."""
        LOG.error('fault', exc_info=(failure.type, failure.value, failure.getTracebackObject()))

    def partial_answer(self, attempt):
        """A piece of an answer whose length is not told is here. Held on to, a small one keeps its further
        attempts and its race; but should it be a large one it is timed by its first bytes, and cut off at the
        limit it would be lost while its server gives it. So it is held for three quarters of the request's
        time, less what this node was late in reading it."""
        now = self.clock()
        if attempt.relay_at is None:
            limit = attempt.active.tx.limit or attempt.exchange.until
            late = unread_for(attempt.exchange.link.transport)
            attempt.relay_at = limit - attempt.active.wait // RELAY_FRACTION - late
            self.deadlines.at(max(now, attempt.relay_at), self.relay_due, attempt.number)
        elif now >= attempt.relay_at:
            self.relay_due(attempt.number)

    def relay_due(self, number):
        """An answer held in part has been held for long enough."""
        attempt = self.attempts.get(number)
        if attempt is not None and self.active_requests.get(attempt.active.number) is attempt.active:
            self.pass_on_part(attempt.active)

    def progressing_links(self, active):
        """The connections on which an answer to this request goes on coming. One that came at once, and no
        further, is likelier to break off, or its server to hang, than to be a large one: it stays held, for a
        further attempt or an answer that says to try again."""
        now, spread = self.clock(), active.wait // PROGRESS_FRACTION
        links = [attempt.exchange.link for attempt in active.attempts if attempt.exchange.link]
        return [link for link in links if link.still_gives(now, spread)]

    def pass_on_part(self, active):
        """Pass on, from here, what goes on coming; of several attempts' the one of which most is here.
        Whether there was one. Guards against a refusal, at the limit or before, of an answer that comes."""
        links = self.progressing_links(active)
        if links:
            max(links, key=lambda link: len(link.reader.message.body)).pass_on_part()
        return bool(links)

    # --- the list ---------------------------------------------------------------------------------------

    def listed(self, whole, entries):
        """Discovery has told a list, or changes to one."""
        now, rows = self.clock(), [self.entry(entry) for entry in entries]
        (self.router.list_replaced if whole else self.router.list_changed)(now, rows)
        for server in [server for server in self.servers.values() if server.name not in self.router.known]:
            # The module has forgotten it, so no hop is out there. Guards against growing with all that ever
            # were.
            del self.servers[server.name]
            self.entries.pop(server.name, None)
            self.starts.forget(server.name)
            self.caches.forget(server)
        self.guard.update_servers(self.servers.values() if whole else [row[0] for row in rows])
        self.caches.tidy()
        say('list', whole=whole, entries=len(rows), caches=len(self.router.caches))
        self.serve()
        self.settle()

    def remember(self, entries):
        """The list that the node had before its start."""
        self.router.list_remembered(self.clock(), [self.entry(entry) for entry in entries])

    def entry(self, entry):
        """A server's entry as the module takes it."""
        server = self.servers.get(entry.name)
        if server is None:
            server = self.servers[entry.name] = Server(entry.name, entry.kind == self.place.origin_kind)
        self.caches.listed(server, entry.address)
        self.entries[entry.name] = entry
        zone = self.place.zones.get(entry.zone, entry.zone)  # one that the settings do not name is no other's
        start = self.starts.of(entry, self.clock(), self.discovery.last_word)
        return (server, entry.state, entry.weight, start, zone, entry.cell)

    def list_lost(self):
        """The watch has ended."""
        if not self.discovery.pushed:
            self.router.list_failed(self.clock())
            self.settle()
        self.serve()

    # --- decisions --------------------------------------------------------------------------------------

    def settle(self):
        """Pull the module's decisions until none is left."""
        if self.settling:
            return  # the pull that this came out of goes on
        self.settling, going = True, True
        while going:
            try:
                decision = self.router.decide(self.clock())
                if decision:
                    getattr(self, 'do_' + decision[0])(*decision[1:])
                going = bool(decision)
            except Exception:
                LOG.exception('decision failed')
                going = self.skip_ready()
        self.settling = False

    def skip_ready(self):
        """Guards against a fault that one transaction meets: it is looked at next at its limit, the others go
        on. Whether there are others."""
        if self.router.ready:
            self.router.ready.popleft()
        return bool(self.router.ready)

    def do_send(self, hop, patience):
        """A hop goes out."""
        active, now = hop.tx.ref, self.clock()
        limit = now + active.wait if hop.tx.limit is None else hop.tx.limit
        until = limit if patience is None else min(limit, now + patience)
        attempt = Attempt(active, hop)
        attempt.number = self.attempts.add(attempt)
        active.attempts.append(attempt)
        self.events.say(
            'attempt started',
            active.name,
            server=hop.server.name,
            attempt=hop.index,
            why=self.send_reason(hop),
        )
        if self.fleet:
            self.router.shares.sent(now, hop.server, self.router.presence(now, hop.server) < 1)
        attempt.exchange = self.caches.send(
            hop.server,
            active.message,
            until,
            lambda: self.wanted(active),
            hop.index > 0,
            lambda: self.guard.check_send(active, hop),
        )
        attempt.exchange.in_part = lambda: self.partial_answer(attempt)
        attempt.exchange.done.addCallback(self.attempt_ended, attempt.number).addErrback(self.fault)
        if hop.tx.limit is not None and (
            until < limit or not self.place.terms.may_cancel
        ):  # else it ends with its active
            self.deadlines.at(until, self.patience_due, attempt.number)

    @staticmethod
    def send_reason(hop):
        """Why an attempt is made, for the log: a retry by how the one before it ended."""
        if hop.copy:
            return 'copy'
        return 'after %s' % (hop.tx.hops[hop.index - 1].how or 'a miss') if hop.index else 'first'

    def do_cancel(self, hop):
        """A hop is not waited for any more."""
        for attempt in hop.tx.ref.attempts:
            if attempt.hop is hop:
                attempt.exchange.cut('cancelled')
                return

    def do_roll_back(self, tx, after):
        """The client may safely try again."""
        if self.pass_on_part(tx.ref):
            return
        self.count('rolled_back')
        self.events.say('request refused', tx.ref.name, why=tx.why, attempts=len(tx.hops))
        client = self.forget(tx.ref)
        client.reply(self.refusal(self.listener.stay(client), after, tx.refused or 503))

    @staticmethod
    def refusal(lasting, after, status=503):
        """The answer that says that trying again is harmless, and when."""
        more = 'Retry-After: %s\r\n' % seconds(after) if after else ''
        return http.answer(status, lasting, 'try again\n', more)

    def do_abandon(self, tx):
        """Nothing can be promised."""
        if self.pass_on_part(tx.ref):
            return
        self.count('abandoned')
        self.events.say('request abandoned', tx.ref.name, why=tx.why, attempts=len(tx.hops))
        late = self.router.over(self.clock(), tx)
        self.reply(tx.ref, 504 if late else 502, 'it may have taken effect\n')

    def do_watch(self):
        """Ask for the list's changes."""
        self.discovery.ask()

    def do_wake(self, when):
        """Let the module look again."""
        self.deadlines.at(when, self.wake_due, 0)

    def do_log(self, text):
        """A line for staff."""
        warn(text)

    def wake_due(self, _):
        self.settle()

    # --- figures ----------------------------------------------------------------------------------------

    def count(self, what):
        """One more of these."""
        self.counts[what] += 1

    def check_wall_clock(self, _):
        """Tell staff of a wall clock that was stepped. Nothing here goes by it."""
        ahead = self.system.wall() - self.elapsed()
        by, self.wall_offset = ahead - self.wall_offset, ahead
        if abs(by) > STEP_SECONDS:
            self.count('clock_steps')
            warn('wall clock stepped', by_ms=int(by * 1_000))
        self.deadlines.at(self.clock() + SECOND, self.check_wall_clock, 0)

    def figures(self, _):
        """A line of counts since the start."""
        say(
            'figures',
            open=len(self.active_requests),
            clients=len(self.listener.table),
            links=self.caches.open,
            memory_kb=self.system.memory_kb(),
            **self.counts,
        )
        self.deadlines.at(self.clock() + FIGURES_INTERVAL, self.figures, 0)


def serve(place, path, fleet=None, early=(), changes=None, lines_per_second=0):
    """Run a node, whose page is at this path, until it has drained. fleet: what a fleet file says, read and
    checked, or None. early: filled if SIGHUP came since before the page was read; it may have been read too
    soon. lines_per_second: of the log on single requests, at most; 0: none."""
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    reactor.shared = place.operator is not None
    installReactor(reactor)
    node = Node(place, reactor, lines_per_second=lines_per_second)
    if fleet:
        from ..plan.fleet import Share  # what is off is not imported

        node.fleet = Share(node, fleet)
    if changes:
        from ..changes.node import NodeChanges  # what is off is not imported

        node.changes = NodeChanges(reactor, node.elapsed, node.chance, place.name, place.rank, changes)
        node.changes.begin()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda n, _: reactor.callFromThread(node.drain, n))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reread, path))
    if early:
        reactor.callFromThread(node.reread, path)
    try:
        node.start(os.environ.get('TMPDIR'))
    except CannotListenError as err:
        warn('cannot listen', reason=err)
        return 1
    gc.collect()
    gc.freeze()  # what the start has made stays for good: the collector need not go through it again
    reactor.run(installSignalHandlers=False)
    return node.exit_code
