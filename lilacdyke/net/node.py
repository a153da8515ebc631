"""The node: owns the router, the clock, the active requests and their attempts, and the process's lifecycle.

After every input the node asks the router (logic.py) for decisions until there are none, and carries them
out. It makes no routing decisions itself, but ensures that each request it has taken gets exactly one answer.
"""

import signal
from collections import Counter
from random import Random

from twisted.internet.error import CannotListenError

from ..decode import read_config
from ..logic import Router
from ..terms import IDEMPOTENT
from ..values import SECOND, InvalidValueError, format_seconds
from . import http
from .caches import CACHE_STATUSES, Caches
from .discovery import Discovery, read_list
from .events import EventLog
from .figures import Figures
from .guard import Guard
from .listed_servers import ListedServers
from .listener import Listener
from .local_errors import errno_name
from .logs import LOG, log_event, log_warning
from .memory import MemoryBudget
from .partial_answers import PartialAnswers
from .recent_ids import RecentIds, digest, valid_digests
from .shutdown import ARRIVAL_GRACE, SETTLED_IDLE, Shutdown
from .start_times import StartTimes
from .system import System
from .tables import Deadlines, SlotTable

# away: an operator has taken the node out of rotation; it still serves the clients that come.
STARTING, SERVING, OUT_OF_ROTATION, DRAINING, STOPPED = 'starting', 'serving', 'away', 'draining', 'stopped'
# Times are in ticks of 0.1 ms unless the name says otherwise.
RESERVED_DESCRIPTORS, MIN_DESCRIPTORS = 32, 4  # for all but clients and caches; for each of these at least
FIRST_LIST_TIMEOUT = 10_000  # for discovery's first list, until which nothing is sent to servers
STEP_SECONDS = 0.1  # smallest step of the wall clock that is reported
MILLISECOND = SECOND // 1_000


class ActiveRequest:
    """A request that the node has taken, its transaction, and the client that is owed the answer."""

    __slots__ = (
        *('number', 'name', 'client', 'message', 'tx', 'attempts', 'wait', 'shared', 'sent_hops'),
        'limit_deferred',
    )

    def __init__(self, client, message, wait):
        self.client, self.message, self.wait = client, message, wait
        self.name = message.field(b'req-id')
        self.number = self.tx = None
        self.attempts = []  # in flight
        self.sent_hops = []  # (time, hop) of each attempt sent, for the guard
        self.shared = False  # whether it counts against the fleet's limits
        self.limit_deferred = False  # whether its limit was deferred for an answer that had just begun


class Attempt:
    """A hop in flight for an active request."""

    __slots__ = ('number', 'active', 'hop', 'exchange', 'relay_at', 'looked_at')

    def __init__(self, active, hop):
        self.active, self.hop = active, hop
        self.number = self.exchange = None
        self.looked_at = False  # whether a deadline was already deferred to read its socket
        self.relay_at = None  # when to start to relay an answer that has arrived in part


class Node:
    """A node from its start to its exit."""

    def __init__(self, config, reactor, system=System, lines_per_second=0):
        self.config, self.reactor, self.system, self.elapsed = config, reactor, system, system.elapsed
        reactor.call_failed = self.call_failed
        self.phase = STARTING
        self.zero = self.elapsed() - 1  # the node's clock starts at one second
        # Unix time is read once, for server lists, so that later steps of the wall clock have no effect.
        self.starts = StartTimes(self.clock() - int(system.wall() * SECOND))
        self.wall_offset = system.wall() - self.elapsed()  # changes when the wall clock is stepped
        self.uniform = Random(config.seed).random
        self.router = Router(config.terms, config.seed, config.rank)
        self.guard = Guard(self.clock, self.count, self.is_open, self.router, config.stop_sending_timeout)
        self.listed_servers = ListedServers(self)
        self.active_requests, self.attempts = SlotTable(), SlotTable()
        self.ids = set()  # Req-Ids of the active requests
        self.recent_ids = RecentIds(self.clock)  # of those that may have run and must not run again
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.events = EventLog(self.clock, lines_per_second)
        budget = self.descriptor_share(self.descriptors() - RESERVED_DESCRIPTORS)
        self.handover = None  # links to the node's other processes, if it can hand over
        self.idle_kb = system.resident_kb()  # what this process uses without any connection
        self.memory = MemoryBudget(self.usable_memory(), budget)
        self.listener = Listener(
            self, self.deadlines, self.clock, config.terms, self.memory.connections, self.events, self.memory
        )
        self.caches = Caches(
            reactor,
            self.deadlines,
            self.clock,
            config,
            budget,
            self.broken,
            self.fault,
            self.returned,
            self.events,
            self.call_failed,
            self.memory,
        )
        self.discovery = Discovery(reactor, self.deadlines, self.clock, config, self.uniform, self)
        self.partial_answers = PartialAnswers(self)
        self.shutdown = Shutdown(self)
        self.figures = Figures(self)
        self.operator_server = None
        self.out_of_rotation, self.away_since = False, 0  # by operators; since when
        self.exit_code = 0
        self.changes = None  # distributed changes, if there is a changes file (changes/node.py)
        self.fleet = None  # limits shared with other nodes, if there is a fleet file (plan/fleet.py)
        self.settling = False
        self.counts = Counter()

    def clock(self):
        """Return the current time in ticks by the node's monotonic clock."""
        return int((self.elapsed() - self.zero) * SECOND)

    def descriptors(self):
        """Return how many file descriptors this process may use."""
        return min(self.config.sockets, self.system.descriptors() or self.config.sockets)

    def usable_memory(self):
        """Return how many bytes the connections of this process may use.

        The page's limit holds for both processes of an upgrade together; each uses about the same.
        """
        processes = 2 if self.handover and self.handover.has_other_process else 1
        return self.config.memory // processes - self.idle_kb * 1024

    # --- lifecycle --------------------------------------------------------------------------------------

    def start(self, folder=None):
        """Start the node.

        If it has an operators' address, first look in `folder` for a running process of this node to take
        over from.
        """
        if self.config.operator:
            from .operator import OperatorServer  # imported only where it is used

            self.operator_server = OperatorServer(self, self.deadlines, self.clock)
            self.operator_server.listen(self.reactor, *self.config.operator)
        if self.config.operator and folder:
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

    def begin_unless_stopped(self, state, fd):
        """Begin, unless SIGTERM came during the search for a predecessor. A failed start ends the program."""
        if self.phase == STOPPED:
            return
        try:
            self.begin(state, fd)
        except CannotListenError as err:
            log_warning('cannot listen', reason=err)
            self.phase, self.exit_code = STOPPED, 1
            self.reactor.stop()
        except Exception:
            if state is None:
                raise
            LOG.exception('hand-over failed')  # the predecessor's state is unusable: start without it
            self.begin_unless_stopped(None, None)

    def begin(self, state, fd):
        """Load the remembered list or a predecessor's state, listen, and start to watch discovery.

        Without a predecessor, requests are sent to servers only after discovery's first list, or once its
        first watch is lost, since servers of the remembered list may have drained while no process was
        running. Requests are read from the start on: each waits for the list as long as its time allows.
        state, fd: the predecessor's state and listening socket, or None.
        """
        try:
            self.discovery.version, _, entries = read_list(state.get('list') if state else self.config.known)
            self.remember(entries)
        except InvalidValueError as err:
            log_warning('remembered list not read', reason=err)
        if state:
            self.import_state(state)
        else:
            self.router.await_first_list()
        self.listener.listen(self.reactor, *self.config.listen, *([fd] if fd is not None else []))
        if state:
            self.serve()
        else:
            log_event('waiting for list', node=self.config.name, address='%s:%d' % self.config.listen)
        if self.discovery.pushed:
            self.discovery.open()
        self.settle()
        self.deadlines.at(self.clock() + FIRST_LIST_TIMEOUT, self.first_list_timed_out, 0)
        self.figures.begin()
        self.deadlines.at(self.clock() + SECOND, self.check_wall_clock, 0)

    def first_list_timed_out(self, _):
        """Serve clients even though discovery has sent no list: a call to it may be queued for longer than
        they wait."""
        self.serve()
        self.settle()

    def serve(self):
        """Start to serve clients, those first that have waited for discovery's first list."""
        self.router.end_first_list_wait()
        if self.phase != STARTING:
            return
        self.phase = OUT_OF_ROTATION if self.out_of_rotation else SERVING
        if self.handover:
            self.update_shares()
            self.handover.announce_serving()
        log_event(
            'serving',
            node=self.config.name,
            address='%s:%d' % self.config.listen,
            servers=len(self.servers),
            descriptors=self.descriptors(),
        )

    def ready(self):
        """Return whether clients should use this node (the readiness check)."""
        here = self.can_serve() or self.phase == DRAINING and self.handed
        return here and not self.out_of_rotation and bool(self.router.caches)

    def began(self):
        """Return whether the node has started to serve clients, or to drain."""
        return self.phase != STARTING

    def can_serve(self):
        """Return whether this process serves the clients that come, in rotation or not."""
        return self.phase in (SERVING, OUT_OF_ROTATION)

    def leaving(self):
        """Return whether clients are asked to close their connections."""
        return self.phase not in (STARTING, SERVING)

    def drain(self, signum=signal.SIGTERM):
        """Handle SIGTERM: answer the requests taken and those that still arrive, then exit.

        Before discovery's first list, requests go on waiting for it.
        """
        if self.phase == STARTING and not self.listener.port:
            self.phase = STOPPED
            self.reactor.stop()
        elif self.phase == STARTING or self.can_serve():
            self.phase = DRAINING
            self.shutdown.begin(signum)

    def reload(self, path):
        """Handle SIGHUP: apply the discovery address of the node's page.

        All other settings are applied only at a start. A page that cannot be read changes nothing.
        """
        if self.phase == STOPPED:
            return
        try:
            where = read_config(path).discovery
        except InvalidValueError as err:
            log_warning('page not read', reason=err)
            return
        log_event('page read', discovery='%s:%d' % where, moved=self.discovery.move(where))

    def stop(self, _=0):
        """Stop the process, one turn after the answers that are still being streamed were aborted."""
        if self.listener.abort_streaming():
            self.deadlines.at(self.clock(), self.stop, 0)
            return
        self.phase = STOPPED
        self.discovery.close()
        log_event('stopped', open=len(self.active_requests), **self.counts)
        self.reactor.stop()

    # --- operator commands ------------------------------------------------------------------------------

    def empty(self):
        """Take the node out of rotation; clients that still come are served."""
        self.out_of_rotation = True
        if self.phase == SERVING:
            self.phase, self.away_since = OUT_OF_ROTATION, self.clock()
            log_event('away', open=len(self.active_requests), clients=len(self.listener.table))
            self.deadlines.at(self.away_since + ARRIVAL_GRACE, self.close_idle_clients, self.away_since)
        return self.phase in (OUT_OF_ROTATION, DRAINING)

    def activate(self):
        """Bring the node back into rotation."""
        self.out_of_rotation = False
        if self.phase == OUT_OF_ROTATION:
            self.phase = SERVING
            log_event('active')
        return self.phase == SERVING or self.handed

    def close_idle_clients(self, since):
        """Close idle connections while the node is out of rotation, at first only those idle for long."""
        if self.phase == OUT_OF_ROTATION and since == self.away_since:
            self.listener.close_idle(SETTLED_IDLE if self.clock() < since + 4 * ARRIVAL_GRACE else 0)
            self.deadlines.at(self.clock() + ARRIVAL_GRACE // 5, self.close_idle_clients, since)

    def suspend(self, name):
        """Take a cache server out of use. Return whether it is known."""
        return self.apply_override('suspended', name, self.router.suspend(self.clock(), name))

    def resume(self, name):
        """Bring a cache server back into use. Return whether it is known."""
        return self.apply_override('resumed', name, self.router.resume(self.clock(), name))

    def apply_override(self, event, name, done):
        """Log and apply a suspension or its end if it succeeded. Return `done`."""
        if done:
            self.caches.tidy()
            log_event(event, server=name, caches=len(self.router.caches))
            self.settle()
        return done

    # --- other processes of this node -------------------------------------------------------------------

    @property
    def successor_accepts(self):
        """Whether the successor accepts this node's clients."""
        return bool(self.handover) and not self.handover.succession.accepting

    @property
    def handed(self):
        """Whether the successor has taken over this node, even if it is unresponsive now."""
        return bool(self.handover) and self.handover.succession.handed

    @property
    def successor_listens(self):
        """Whether a successor listens on the same socket and goes on doing so."""
        return bool(self.handover) and self.handover.succession.successor_listens

    @property
    def keeps_listening(self):
        """Whether this process has to keep its listening socket while exiting."""
        return bool(self.handover) and self.handover.succession.keeps_listening

    def perform(self, method, name=None):
        """Carry out an operator's call, made here or at another process. Return whether it succeeded."""
        return getattr(self, method)(*([] if name is None else [name]))

    def listening_fd(self):
        """Return the listening socket's descriptor for a successor, or None if there is none to give."""
        return self.listener.port.fileno() if self.can_serve() and not self.successor_accepts else None

    def holds(self):
        """Return how many descriptors this process holds or may still open."""
        return RESERVED_DESCRIPTORS + max(
            len(self.listener.table) + self.caches.open, self.handover.succession.reserved
        )

    @staticmethod
    def descriptor_share(total):
        """Return the part of these descriptors that clients get, and servers get as well."""
        return max(MIN_DESCRIPTORS, total // 2)

    def update_shares(self):
        """Apply a change in who accepts clients and how many descriptors this process may use."""
        self.router.handed, self.listener.accepting_elsewhere = self.handed, self.successor_accepts
        if self.successor_accepts:
            self.listener.budget = max(MIN_DESCRIPTORS, len(self.listener.table))
            self.caches.shrink(MIN_DESCRIPTORS)
        elif self.handed:  # no more than what was reported to the successor
            self.listener.budget = max(MIN_DESCRIPTORS, self.handover.succession.reserved // 2)
            self.caches.budget = max(
                MIN_DESCRIPTORS, self.handover.succession.reserved // 2, self.caches.open
            )
        else:
            self.listener.budget = self.caches.budget = self.descriptor_share(
                self.handover.succession.capacity
            )
        self.memory.resize(self.usable_memory(), self.listener.budget)
        self.listener.budget = self.memory.connections
        if self.listener.port:
            self.listener.check_slots()
            self.listener.update_accepting()
        if self.fleet:
            self.fleet.hand_over()

    def export_state(self):
        """Return the state that a successor needs, as JSON values; times in ticks of Unix time."""
        usual, servers = self.router.export_state(self.clock())
        hand = {
            name: [since - self.starts.offset, back and back - self.starts.offset]
            for name, (since, back) in self.router.suspensions.items()
        }
        listed = [entry.row() for name, entry in self.entries.items() if name in self.router.servers_by_name]
        return {
            'away': self.out_of_rotation,
            'hand': hand,
            'ran': self.recent_ids.export(),
            # With these a successor converts the times above to its own clock without reading Unix time.
            'elapsed': self.elapsed(),
            'unix': self.clock() - self.starts.offset,
            'usual': usual,
            'servers': servers,
            'list': {'generation': self.discovery.version or 0, 'reset': True, 'instances': listed},
        }

    def import_state(self, state):
        """Adopt the state of a predecessor."""
        try:
            self.out_of_rotation = state['away'] is True
            self.recent_ids.add(valid_digests(state.get('ran', [])))
            offset = self.clock_offset_from(state)
            for name, (since, back) in state['hand'].items():
                self.router.suspensions[name] = (since + offset, back and back + offset)
            self.router.list_remembered(
                self.clock(), [self.router.row(s) for s in self.router.servers_by_name.values()]
            )
            self.router.import_state(self.clock(), state['usual'], state['servers'])
            for name, server in self.router.servers_by_name.items():
                self.starts.adopt(name, server.started)
        except (KeyError, TypeError, ValueError, AttributeError, InvalidValueError) as err:
            log_warning('hand-over not read', reason=repr(err))

    def clock_offset_from(self, state):
        """Return the offset that converts a predecessor's times to this node's clock.

        It goes by the monotonic clock, which both processes share; the wall clock may have been stepped
        between their starts. A predecessor of an older version sends Unix times only.
        """
        if not ('elapsed' in state and 'unix' in state):
            return self.starts.offset
        predecessor_now = state['unix'] + int((self.elapsed() - state['elapsed']) * SECOND)
        return self.clock() - predecessor_now

    # --- clients ----------------------------------------------------------------------------------------

    def take(self, client, message, row, key, wait, since):
        """Take a request, or the head of a large one. It is owed one answer from now on."""
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
        self.shutdown.cap_deadline(active)
        self.settle()

    def body_sent(self, active):
        """Record that part of a large body has been sent, so that the request cannot be retried."""
        active.tx.spent = True

    def body_received(self, active, when):
        """Start the time limit of a large request, whose last byte arrived at `when`."""
        limit = when + active.wait
        self.router.body_received(self.clock(), active.tx, limit)
        self.deadlines.at(limit, self.limit_due, active.number)
        self.shutdown.cap_deadline(active)
        for attempt in active.attempts:
            if not self.config.terms.may_cancel:
                self.deadlines.at(limit, self.attempt_limit_due, attempt.number)
        self.settle()

    def client_gone(self, active):
        """Handle a client that closed before it had its answer."""
        self.forget(active, answered=False)
        self.count('gone')
        self.events.say('client gone', active.name)
        self.router.client_gone(self.clock(), active.tx)
        for attempt in active.attempts[:]:
            if (
                attempt.exchange
                and not attempt.exchange.whole
                and (attempt.exchange.message.source or not self.config.terms.may_cancel)
            ):
                # The rest of its body will not arrive or need not be sent, so it never ran.
                attempt.exchange.cut('unsent', 'client gone')
        self.settle()

    def wanted(self, active, hop):
        """Return whether this attempt may still be sent.

        It may not once the client is gone, even if that has not been read from its socket yet, and no
        further attempt is made while that could not be seen. Where attempts may not be cancelled, one that
        waits for a connection would still be sent, for nobody.
        """
        if not self.is_open(active) or active.client.peer_gone():
            return False
        return hop.index == 0 or not active.client.input_paused

    def forget(self, active, answered=True):
        """Remove a request that has its answer or needs none, and return its client.

        Its attempts may still be in flight.
        """
        if answered:
            self.guard.check_answer(active)
        self.active_requests.remove(active.number)
        self.ids.discard(active.name)
        self.release_limits(active)
        self.forget_unused_id(active)
        client, active.client, active.message = active.client, None, None
        return client

    def is_known_id(self, name):
        """Return whether a request with this id is open, or may have run and must not run again."""
        return name in self.ids or name in self.recent_ids

    def record_effect(self, active):
        """Record that a request which must not run twice is about to be sent, here and at the other processes
        of this node."""
        if active.tx.profile.effect != IDEMPOTENT:
            recorded = [digest(active.name)]
            self.recent_ids.add(recorded)
            if self.handover:
                self.handover.share_ids(recorded)

    def forget_unused_id(self, active):
        """Forget the id of a request that is over and has surely not run: it may be sent again."""
        hops = active.tx.hops if active.tx else []
        if not active.attempts and not self.is_open(active) and not any(hop.ran for hop in hops):
            self.recent_ids.discard(active.name)

    def is_open(self, active):
        """Return whether the request is still owed an answer."""
        return self.active_requests.get(active.number) is active

    def release_limits(self, active):
        """Release a request's part of the fleet's limits once it is over and no attempt is in flight."""
        if not active.shared or self.active_requests.get(active.number) is active:
            return
        for attempt in active.attempts:
            self.deadlines.at(self.clock(), self.cancel_unsent, attempt.number)
        if not active.attempts:
            active.shared = False
            self.router.fleet_limits.done(active.tx.profile)

    def cancel_unsent(self, number):
        """End an attempt of a finished request that is still waiting for a connection."""
        attempt = self.attempts.get(number)
        if attempt and attempt.exchange and not attempt.exchange.link:
            attempt.exchange.cut('unsent', 'request over')
            self.settle()

    def reply(self, active, status, text):
        """Send a final answer of the node itself."""
        client = self.forget(active)
        client.reply(http.answer(status, self.listener.stay(client), text))

    def limit_due(self, number):
        """End a request at its limit: cut its attempts, and answer it if the router does not."""
        active = self.active_requests.get(number)
        if active is None or self.defer_for_unread(active.attempts, self.limit_due, number):
            return
        if self.partial_answers.answer_at_limit(active) or self.partial_answers.defer_limit(active):
            return
        for attempt in active.attempts[:]:
            attempt.exchange.cut('expired', 'limit of the request')
        self.settle()
        if self.active_requests.get(number) is active:
            LOG.error('limit passed without a decision')
            self.events.say('request abandoned', active.name, why='no decision at the limit')
            self.reply(active, 504, 'out of time\n')
            self.router.client_gone(self.clock(), active.tx)

    def defer_for_unread(self, attempts, due, number):
        """Return whether a deadline was deferred by one turn, as one of these attempts has unread data.

        The last piece of an answer may have arrived in time. Each attempt defers a deadline only once.
        """
        unread = [attempt for attempt in attempts if not attempt.looked_at and attempt.exchange.unread]
        for attempt in unread:
            attempt.looked_at = True
        if unread:
            self.deadlines.at(self.clock(), due, number)
        return bool(unread)

    def body_timed_out(self, active):
        """End a large request whose body was not read to its end, so that no attempt was sent whole."""
        active.tx.limit = self.clock()
        self.router.set_timer(active.tx.limit, active.tx)  # looked at even if it has no attempt
        for attempt in active.attempts[:]:
            attempt.exchange.cut('unsent', 'limit while the body arrived')
        self.limit_due(active.number)

    # --- attempts ---------------------------------------------------------------------------------------

    def attempt_limit_due(self, number):
        """End an attempt at its own limit, unless its answer is arriving and the request has time left.

        A large answer that is cut here would be lost long before its request's limit. Where attempts may
        not be cancelled, this also ends those of finished requests: at a silent server they would never end.
        """
        attempt = self.attempts.get(number)
        if attempt is None or self.defer_for_unread([attempt], self.attempt_limit_due, number):
            return
        limit = attempt.active.tx.limit
        if limit is not None and self.is_open(attempt.active):
            extended = self.partial_answers.extended_limit(attempt, limit)
            if extended is not None:
                self.deadlines.at(extended, self.attempt_limit_due, number)
                return
        attempt.exchange.cut('expired', 'limit of the attempt')
        self.settle()

    def attempt_ended(self, ending, number):
        """Handle the end of an attempt, by its outcome or by a cut."""
        attempt, (how, answer) = self.attempts.get(number), ending
        self.attempts.remove(number)
        attempt.exchange.release()
        active, hop = attempt.active, attempt.hop
        why = attempt.exchange.why
        self.events.say(
            'attempt ended', active.name, server=hop.server.name, how=how, attempt=hop.index, why=why
        )
        if why:
            self.count('cut_' + why.replace(' ', '_'))
        active.attempts.remove(attempt)
        now = self.clock()
        open_ = self.active_requests.get(active.number) is active
        if open_ and how == 'unsent' and active.client.peer_gone():
            active.client.drop_disconnected()
            open_ = False
        final = how in ('committed', 'rejected')  # rejected: the request is at fault, not the server
        if final and open_:
            minor = active.message.parts[2]
            client = self.forget(active)
            self.count(how)
            self.events.say('request answered', active.name, how=how, server=hop.server.name)
            keep_alive = self.listener.stay(client)
            if how != 'committed':
                client.reply(http.answer(400, keep_alive, 'turned away by the server\n'))
            elif answer.source:
                client.stream(answer, minor, active.tx.limit)
            else:
                client.reply(http.relayed(answer, keep_alive))
        note = CACHE_STATUSES.get(answer.field(b'srv-cache'), 0) if answer else 0
        self.count('hops_' + how)
        if self.fleet:
            self.fleet.ended(now, hop, how, now - hop.sent)
        self.router.hop_ended(now, hop, how, now - hop.sent, final or hop.tx.done, note)
        self.release_limits(active)
        self.forget_unused_id(active)
        self.settle()

    def broken(self, server, err):
        """Count and log a malformed answer of a server."""
        self.count('broken_answers')
        log_warning('answer not read', server=server.name, reason=err)

    def call_failed(self, call, number):
        """Count and log a failed system call, which is a fault of this machine and not of a server."""
        name = errno_name(number)
        self.count('failed_%s_%s' % (call, name))
        log_warning('call failed: %s %s' % (call, name))

    def returned(self, server):
        """Treat a server that accepts connections again as restarted, until the list says otherwise."""
        if server.state == 'ready' and not server.origin:
            now = self.clock()
            self.count('returned')
            log_event('server returned', server=server.name)
            self.router.list_remembered(
                now, [(server, 'ready', server.weight, now, server.zone, server.cell)]
            )

    def fault(self, failure):
        """Log an exception in the node itself."""
        LOG.error('fault', exc_info=(failure.type, failure.value, failure.getTracebackObject()))

    # --- the server list --------------------------------------------------------------------------------

    def listed(self, whole, entries):
        """Apply a list of discovery, or changes to one."""
        now, rows = self.clock(), self.listed_servers.rows(whole, entries)
        (self.router.list_replaced if whole else self.router.list_changed)(now, rows)
        self.listed_servers.forget_dropped()
        self.guard.update_servers(self.servers.values() if whole else [row[0] for row in rows])
        self.caches.tidy()
        log_event('list', whole=whole, entries=len(rows), caches=len(self.router.caches))
        self.serve()
        self.settle()

    def remember(self, entries):
        """Apply the list that was stored before the start."""
        self.router.list_remembered(self.clock(), self.listed_servers.rows(True, entries))

    @property
    def servers(self):
        """The router's servers by name."""
        return self.listed_servers.servers

    @property
    def entries(self):
        """The latest list entries by name."""
        return self.listed_servers.entries

    def list_lost(self):
        """Handle the end of the watch on discovery."""
        if not self.discovery.pushed:
            self.router.list_failed(self.clock())
        self.serve()
        self.settle()

    # --- decisions --------------------------------------------------------------------------------------

    def settle(self):
        """Carry out the router's decisions until there are none."""
        if self.settling:
            return  # called from a decision: the outer call continues
        self.settling, more = True, True
        while more:
            try:
                decision = self.router.decide(self.clock())
                if decision:
                    getattr(self, 'do_' + decision[0])(*decision[1:])
                more = bool(decision)
            except Exception:
                LOG.exception('decision failed')
                more = self.skip_ready()
        self.settling = False

    def skip_ready(self):
        """Skip a transaction whose decision failed; it is next looked at at its limit.

        Return whether others are ready.
        """
        if self.router.ready:
            self.router.ready.popleft()
        return bool(self.router.ready)

    def do_send(self, hop, patience):
        """Start an attempt."""
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
        self.record_effect(active)
        if self.fleet:
            self.router.fleet_limits.sent(now, hop.server, self.router.capacity_factor(now, hop.server) < 1)
        attempt.exchange = self.caches.send(
            hop.server,
            active.message,
            until,
            lambda: self.wanted(active, hop),
            hop.index > 0,
            lambda: self.guard.check_send(active, hop),
        )
        attempt.exchange.on_partial = lambda: self.partial_answers.piece_received(attempt)
        attempt.exchange.done.addCallback(self.attempt_ended, attempt.number).addErrback(self.fault)
        # In all other cases the attempt ends with its request.
        if hop.tx.limit is not None and (until < limit or not self.config.terms.may_cancel):
            self.deadlines.at(until, self.attempt_limit_due, attempt.number)

    @staticmethod
    def send_reason(hop):
        """Return why an attempt is made, for the log: for a retry, how the previous attempt ended."""
        if hop.copy:
            return 'copy'
        return 'after %s' % (hop.tx.hops[hop.index - 1].how or 'a miss') if hop.index else 'first'

    def do_cancel(self, hop):
        """Cancel an attempt."""
        for attempt in hop.tx.ref.attempts:
            if attempt.hop is hop:
                attempt.exchange.cut('cancelled', 'request over')
                return

    def do_roll_back(self, tx, after):
        """Refuse a request that had no effect, so that its client can safely retry it."""
        if self.partial_answers.answer_at_limit(tx.ref):
            return
        self.count('rolled_back')
        self.events.say('request refused', tx.ref.name, why=tx.why, attempts=len(tx.hops))
        client = self.forget(tx.ref)
        client.reply(self.refusal(self.listener.stay(client), after, tx.refused or 503))

    @staticmethod
    def refusal(keep_alive, after, status=503):
        """Return the answer that says that a retry is safe. after: the delay in ticks, or none."""
        more = 'Retry-After: %s\r\n' % format_seconds(after) if after else ''
        return http.answer(status, keep_alive, 'try again\n', more)

    def do_abandon(self, tx):
        """Answer a request that may have taken effect or not."""
        if self.partial_answers.answer_at_limit(tx.ref):
            return
        self.count('abandoned')
        self.events.say('request abandoned', tx.ref.name, why=tx.why, attempts=len(tx.hops))
        late = self.router.over(self.clock(), tx)
        self.reply(tx.ref, 504 if late else 502, 'it may have taken effect\n')

    def do_watch(self):
        """Ask discovery for changes to the list."""
        self.discovery.ask()

    def do_wake(self, when):
        """Ask the router for decisions again at this time."""
        self.deadlines.at(when, self.wake_due, 0)

    def do_log(self, text):
        """Log a warning of the router."""
        log_warning(text)

    def wake_due(self, _):
        self.settle()

    # --- figures ----------------------------------------------------------------------------------------

    def count(self, what):
        """Increment a counter."""
        self.counts[what] += 1

    def check_wall_clock(self, _):
        """Log and count steps of the wall clock. Nothing in the node depends on it."""
        ahead = self.system.wall() - self.elapsed()
        by, self.wall_offset = ahead - self.wall_offset, ahead
        if abs(by) > STEP_SECONDS:
            self.count('clock_steps')
            log_warning('wall clock stepped', by_ms=int(by * 1_000))
        self.deadlines.at(self.clock() + SECOND, self.check_wall_clock, 0)
