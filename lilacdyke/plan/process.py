"""The process of a planner: its listening socket, signals and fleet file.

Owns the socket and the clock of one planner; the decisions are in planner.py. Must not exit because of what a
peer sends, or because the fleet file has become unreadable.
"""

import gc
import os
import signal
from collections import Counter
from random import Random

from twisted.internet.error import CannotListenError

from ..net.logs import log_event, log_warning
from ..net.sockets import Reactor
from ..net.system import System
from ..net.tables import Deadlines
from ..values import SECOND, InvalidValueError
from . import voter_file
from .lease import Lease
from .leases import Voter
from .limits import FORWARDERS_PER_SEAT, address, read
from .link import PlannerFactory
from .planner import Planner
from .voter_file import VoterFileUnreadableError

COUNTS_INTERVAL = 10 * SECOND  # between two log lines of counts
STORE_RETRY = SECOND // 2  # delay before a voter's file that could not be read is read again
REPORT_INTERVAL = 60 * SECOND  # between two log lines on the whole fleet
SEEKERS = 1_024  # links of processes that request task leases, in addition to the forwarders' links


class PlannerProcess:
    """The process of a planner, without starting and stopping its reactor."""

    def __init__(self, fleet, index, reactor, system=System, life=None):
        self.fleet, self.index, self.reactor, self.system = fleet, index, reactor, system
        self.elapsed = system.elapsed
        self.clock_origin = self.elapsed() - 1
        self.name = fleet.planner[index].name
        self.life = life or '%s-%s' % (self.name, os.urandom(6).hex())
        self.planner = Planner(self.clock(), self.life, fleet, index)
        self.counts, self.port = Counter(), None
        self.factory = PlannerFactory(
            self.counts,
            fleet.seats * FORWARDERS_PER_SEAT + 8 + SEEKERS * (fleet.tasks is not None),
            self.digest_received,
            self.fleet_status,
            self.vote,
        )
        self.voter, self.voter_file = None, None
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        if fleet.tasks is not None and self.name in fleet.voters:
            self.start_voter()

    def clock(self):
        """Return the planner's time, in ticks of its monotonic clock."""
        return int((self.elapsed() - self.clock_origin) * SECOND)

    def begin(self, host, port):
        """Start listening. Binding the address keeps a second process of the same planner from starting."""
        self.port = self.reactor.listenTCP(port, self.factory, backlog=1024, interface=host)
        log_event(
            'planner serves',
            planner=self.name,
            address='%s:%d' % (host, port),
            edition=self.planner.edition,
            life=self.life,
        )
        self.deadlines.at(self.clock() + COUNTS_INTERVAL, self.log_counts, 0)
        if self.fleet.tasks is not None:
            self.acquire_reporter_lease()

    def digest_received(self, digest):
        """Return the plan that answers a digest, or None."""
        return self.planner.process_digest(self.clock(), digest)

    def fleet_status(self):
        """Return the fields of the answer to an operator's status request."""
        now = self.clock()
        return dict(
            self.planner.status(now),
            tasks=self.voter.holders(now) if self.voter else [],
            votes=bool(self.voter and self.voter.votes(now)),
        )

    # --- log line on the whole fleet ---------------------------------------------------------------------

    def acquire_reporter_lease(self):
        """Request the reporter lease; the planner that holds it logs one line on the fleet per interval."""
        self.reporter_lease = Lease(
            self.reactor,
            self.deadlines,
            self.clock,
            self.fleet,
            'reporter',
            Random(self.life).random,
            self.schedule_report,
            lambda number: None,
        )
        self.reporter_lease.acquire()

    def schedule_report(self, number):
        self.deadlines.at(self.clock() + REPORT_INTERVAL, self.report, number)

    def report(self, number):
        """Log one line if this planner still holds the same lease. The lease number shows a reader which of
        two reporters is the later one."""
        if not self.reporter_lease.held() or self.reporter_lease.number != number:
            return
        now = self.clock()
        verdicts = (
            self.planner.verdict_tracker.current_verdicts(now).values()
            if self.planner.verdict_tracker
            else ()
        )
        kinds = Counter(verdict.kind for verdict in verdicts)
        log_event(
            'fleet',
            number=number,
            edition=self.planner.edition,
            forwarders=len(self.planner.planner_ledger.holders),
            backed=self.planner.has_quorum(now),
            **{'servers_' + kind: count for kind, count in sorted(kinds.items())},
        )
        self.schedule_report(number)

    # --- voting -----------------------------------------------------------------------------------------

    def start_voter(self, _=0):
        """Start voting from the stored state of an earlier process. Do not vote, and log a warning, if that
        is missing or if more than one voter has changed since. Retry after a transient disk error."""
        self.voter_file = voter_file.VoterFile(self.fleet.tasks.folder, self.name)
        try:
            self.voter_file.read()
            if not voter_file.step(self.voter_file.voters, self.fleet.voters):
                raise InvalidValueError(
                    'voters: more than one has changed; they were %s' % ', '.join(self.voter_file.voters)
                )
            previous_lease, lease = self.voter_file.lease, self.fleet.task_lease
            if (self.voter_file.voters, previous_lease) != (self.fleet.voters, lease):
                self.voter_file.write(self.voter_file.bound, self.fleet.voters, max(lease, previous_lease))
        except (VoterFileUnreadableError, OSError) as err:
            log_warning('does not vote yet', reason=err)
            self.deadlines.at(self.clock() + STORE_RETRY, self.start_voter, 0)
            return
        except InvalidValueError as err:
            log_warning('does not vote', reason=err)
            return
        self.voter = Voter(
            self.clock(), self.life, lease, self.persist_bound, self.voter_file.bound, previous_lease
        )

    def persist_bound(self, bound):
        """Store an upper bound on lease numbers. Return whether it was stored."""
        try:
            self.voter_file.write(bound, self.voter_file.voters, self.fleet.task_lease)
        except OSError as err:
            log_warning('number not kept', reason=err)
            return False
        return True

    def vote(self, message):
        """Return (the voter's answer or None, lives of those to notify that the task is free)."""
        return (None, []) if self.voter is None else self.voter.on_message(self.clock(), message)

    def reload(self, path):
        """Reload the fleet file on SIGHUP, for a new edition of the limits. A file that is unreadable or
        rejected changes nothing."""
        try:
            why = self.planner.reload(read(path))
        except InvalidValueError as err:
            why = err
        if why:
            log_warning('fleet file not taken', reason=why)
        else:
            log_event('edition', edition=self.planner.edition, **self.planner.mosts)

    def log_counts(self, _):
        """Log a line of counts."""
        now = self.clock()
        log_event(
            'figures',
            links=len(self.factory.links),
            forwarders=len(self.planner.planner_ledger.holders),
            edition=self.planner.edition,
            backed=self.planner.has_quorum(now),
            memory_kb=self.system.memory_kb(),
            **self.counts,
        )
        self.deadlines.at(now + COUNTS_INTERVAL, self.log_counts, 0)


def plan(fleet, index, path):
    """Run a planner until SIGTERM. Return the exit code."""
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    installReactor(reactor)
    planner_process = PlannerProcess(fleet, index, reactor)
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: reactor.callFromThread(reactor.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(planner_process.reload, path))
    try:
        planner_process.begin(*address(fleet.planner[index].address))
    except CannotListenError as err:
        log_warning('cannot listen', reason=err)
        return 1
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    log_event('stopped', **planner_process.counts)
    return 0
