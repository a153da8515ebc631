"""A planner's process: its door, its signals, its file.

Owns the listening socket and the clock of one planner. Must never decide: planner.py does; nor end for what a
peer sends, or for a file that cannot be read.
"""

import gc
import os
import signal
from collections import Counter
from random import Random

from twisted.internet.error import CannotListenError

from ..net.logs import say, warn
from ..net.sockets import Reactor
from ..net.system import System
from ..net.tables import Deadlines
from ..values import SECOND, BadLine
from . import book
from .book import BookUnreadableError
from .lease import Lease
from .leases import Voter
from .limits import FORWARDERS_PER_SEAT, address, read
from .link import PlannerFactory
from .planner import Planner

FIGURES = 10 * SECOND  # between two lines of figures
BOOK_AGAIN = SECOND // 2  # until a file of numbers that could not be read or written is tried again
REPORT = 60 * SECOND  # between two lines of the fleet's
SEEKERS = 1_024  # links of processes that seek tasks, beside forwarders'


class Office:
    """One planner's process, without its reactor's beginning and end."""

    def __init__(self, fleet, index, reactor, system=System, life=None):
        self.fleet, self.index, self.reactor, self.system = fleet, index, reactor, system
        self.elapsed = system.elapsed
        self.zero = self.elapsed() - 1
        self.name = fleet.planner[index].name
        self.life = life or '%s-%s' % (self.name, os.urandom(6).hex())
        self.planner = Planner(self.clock(), self.life, fleet, index)
        self.counts, self.port = Counter(), None
        self.factory = PlannerFactory(
            self.counts,
            fleet.seats * FORWARDERS_PER_SEAT + 8 + SEEKERS * (fleet.tasks is not None),
            self.told,
            self.held,
            self.vote,
        )
        self.voter, self.book = None, None
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        if fleet.tasks is not None and self.name in fleet.voters:
            self.take_book()

    def clock(self):
        """The planner's time: ticks of its own monotonic clock."""
        return int((self.elapsed() - self.zero) * SECOND)

    def begin(self, host, port):
        """Listen. The address is this planner's alone: a second process of it does not start."""
        self.port = self.reactor.listenTCP(port, self.factory, backlog=1024, interface=host)
        say(
            'planner serves',
            planner=self.name,
            address='%s:%d' % (host, port),
            edition=self.planner.edition,
            life=self.life,
        )
        self.deadlines.at(self.clock() + FIGURES, self.figures, 0)
        if self.fleet.tasks is not None:
            self.seek_report()

    def told(self, digest):
        """The plan that answers a digest, or None."""
        return self.planner.told(self.clock(), digest)

    def held(self):
        """What staff are told who ask."""
        now = self.clock()
        return dict(
            self.planner.status(now),
            tasks=self.voter.holders(now) if self.voter else [],
            votes=bool(self.voter and self.voter.votes(now)),
        )

    # --- the fleet's one line ----------------------------------------------------------------------------

    def seek_report(self):
        """Of all planners the one that holds this task writes the fleet's line, once a minute."""
        self.reporter = Lease(
            self.reactor,
            self.deadlines,
            self.clock,
            self.fleet,
            'reporter',
            Random(self.life).random,
            self.report_soon,
            lambda number: None,
        )
        self.reporter.acquire()

    def report_soon(self, number):
        self.deadlines.at(self.clock() + REPORT, self.report, number)

    def report(self, number):
        """One line, if the lease is the same still; its number tells a reader of logs which of two is the
        later."""
        if not self.reporter.held() or self.reporter.number != number:
            return
        now = self.clock()
        verdicts = self.planner.sight.now_held(now).values() if self.planner.sight else ()
        kinds = Counter(verdict.kind for verdict in verdicts)
        say(
            'fleet',
            number=number,
            edition=self.planner.edition,
            forwarders=len(self.planner.bank.holders),
            backed=self.planner.has_quorum(now),
            **{'servers_' + kind: count for kind, count in sorted(kinds.items())},
        )
        self.report_soon(number)

    # --- voting -----------------------------------------------------------------------------------------

    def take_book(self, _=0):
        """Vote by what a life before wrote down. Without that, or with voters that skip a step, it does not
        vote, and says so. Guards against a disk that fails for a moment: that is tried again."""
        self.book = book.Book(self.fleet.tasks.folder, self.name)
        try:
            self.book.read()
            if not book.step(self.book.voters, self.fleet.voters):
                raise BadLine(
                    'voters: %s before, and more than one of them has changed' % ', '.join(self.book.voters)
                )
            before, lease = self.book.lease, self.fleet.task_lease
            if (self.book.voters, before) != (self.fleet.voters, lease):
                self.book.write(self.book.bound, self.fleet.voters, max(lease, before))
        except (BookUnreadableError, OSError) as err:
            warn('does not vote yet', reason=err)
            self.deadlines.at(self.clock() + BOOK_AGAIN, self.take_book, 0)
            return
        except BadLine as err:
            warn('does not vote', reason=err)
            return
        self.voter = Voter(self.clock(), self.life, lease, self.keep, self.book.bound, before)

    def keep(self, bound):
        """Have a bound on numbers written down; whether it was."""
        try:
            self.book.write(bound, self.book.voters, self.fleet.task_lease)
        except OSError as err:
            warn('number not kept', reason=err)
            return False
        return True

    def vote(self, message):
        """A voter's answer or None, and who is to be told that the task is free."""
        return (None, []) if self.voter is None else self.voter.told(self.clock(), message)

    def reread(self, path):
        """SIGHUP: the file may have a new edition of the limits. What cannot be read or taken changes
        nothing."""
        try:
            why = self.planner.reread(read(path))
        except BadLine as err:
            why = err
        if why:
            warn('fleet file not taken', reason=why)
        else:
            say('edition', edition=self.planner.edition, **self.planner.mosts)

    def figures(self, _):
        """A line of counts."""
        now = self.clock()
        say(
            'figures',
            links=len(self.factory.links),
            forwarders=len(self.planner.bank.holders),
            edition=self.planner.edition,
            backed=self.planner.has_quorum(now),
            memory_kb=self.system.memory_kb(),
            **self.counts,
        )
        self.deadlines.at(now + FIGURES, self.figures, 0)


def plan(fleet, index, path):
    """Run one planner until SIGTERM; the exit code."""
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    installReactor(reactor)
    office = Office(fleet, index, reactor)
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: reactor.callFromThread(reactor.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(office.reread, path))
    try:
        office.begin(*address(fleet.planner[index].address))
    except CannotListenError as err:
        warn('cannot listen', reason=err)
        return 1
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    say('stopped', **office.counts)
    return 0
