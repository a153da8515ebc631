"""`lilacdyke task`: leases for staff's commands, and what holds them.

Owns the command that runs while the lease is held, and the words on the command line. Must never let a
command go on once the lease may be another's: it is ended within the time that is left.

Exit codes of `hold`: the command's own, if it ended while the lease was held (128 and a signal's number, if
that ended it); 70 the lease could not be kept and SIGTERM ended the command; 71 it took SIGKILL; 75 the lease
was not to be had in the time given; 2 wrong words.
"""

import os
import signal
import subprocess
import sys
from contextlib import suppress
from random import Random

import click
import msgspec

from ..net.logs import begin, say, warn
from ..net.sockets import Reactor
from ..net.system import System
from ..net.tables import Deadlines
from ..values import SECOND, down
from .book import Book
from .lease import Lease
from .sites import Name
from .staff import asked_of, fleet_file, wrong

ENDED, KILLED, NOT_HAD = 70, 71, 75
TERM_AT, KILL_AT = 4, 12  # parts of a lease that are left as the command is asked to end, and killed
LOOK = 50  # times in a second that the command is looked at
NUMBER = 'LILACDYKE_TASK_NUMBER'  # in the command's environment


class Holding:
    """One process that seeks a task, and runs a command while it holds."""

    def __init__(self, fleet, task, command, wait, reactor):
        self.command, self.reactor = command, reactor
        self.zero, self.chance = System.elapsed() - 1, Random(os.urandom(8)).random
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.task, self.popen, self.code, self.asked = task, None, None, False
        self.lease = Lease(reactor, self.deadlines, self.clock, fleet, task, self.chance, self.got, self.lost)
        if wait is not None:
            self.deadlines.at(self.clock() + down(wait), self.not_had, 0)
        self.lease.acquire()

    def clock(self):
        return int((System.elapsed() - self.zero) * SECOND)

    def got(self, number):
        """Run the command, unless the time is up already."""
        say('held', task=self.task, number=number)
        if self.popen is None and self.code is None and self.lease.held():
            try:
                self.popen = subprocess.Popen(
                    self.command, env=dict(os.environ, **{NUMBER: str(number)}), start_new_session=True
                )
            except OSError as err:
                warn('cannot run', reason=err)
                return self.over(2)
            self.look(0)

    def lost(self, number):
        """The lease is over, or given back."""
        say('not held', task=self.task, number=number)
        if self.popen is not None and self.code is None:
            self.end(KILLED)

    def look(self, _):
        """Whether the command has ended, or must."""
        if self.code is not None:
            return
        ended = self.popen.poll()
        if ended is not None:
            return self.over(ENDED if self.asked else ended if ended >= 0 else 128 - ended)
        left, span = self.lease.left(), self.lease.span
        if left < span // KILL_AT:
            return self.end(KILLED)
        if left < span // TERM_AT and not self.asked:
            self.asked = True
            warn('cannot be kept', task=self.task, number=self.lease.number)
            self.signal(signal.SIGTERM)
        self.deadlines.at(self.clock() + SECOND // LOOK, self.look, 0)

    def signal(self, number):
        """The command and all that it started."""
        with suppress(ProcessLookupError):
            os.killpg(self.popen.pid, number)

    def end(self, code):
        """There is no time left."""
        self.signal(signal.SIGKILL)
        self.popen.wait()
        self.over(code)

    def not_had(self, _):
        if self.popen is None:
            self.over(NOT_HAD)

    def stop(self):
        """Somebody ends this process: the command first, then the lease is given back."""
        if self.popen is None:
            self.over(NOT_HAD)
        elif self.code is None:
            self.signal(signal.SIGTERM)

    def over(self, code):
        """Give back what is held, and exit once that has been said."""
        if self.code is None:
            self.code = code
            if self.popen is not None:
                self.signal(signal.SIGKILL)  # what the command left behind
            self.lease.release()
            self.reactor.callLater(0.05, self.reactor.stop)


@click.group()
def task():
    """Tasks that one process does for the whole fleet."""


def read(path):
    """The fleet file, if it is on and has tasks; else one line and exit 2."""
    if not fleet_file(path).enabled:
        wrong(path, 'enabled: is false')
    return fleet_file(path, 'tasks')


@task.command(context_settings={'ignore_unknown_options': True})
@click.argument('name')
@click.argument('command', nargs=-1, required=True, type=click.UNPROCESSED)
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--wait', type=click.FloatRange(0), help='Seconds to try for the lease; by default for ever.')
def hold(name, command, path, wait):
    """Run a command while this process holds a task; its number is in LILACDYKE_TASK_NUMBER."""
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        wrong('task', 'no name: %.60r' % name)
    told = read(path)
    begin('info')
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    installReactor(reactor)
    holding = Holding(told, name, command, wait, reactor)
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: reactor.callFromThread(holding.stop))
    reactor.run(installSignalHandlers=False)
    sys.exit(holding.code if holding.code is not None else NOT_HAD)


@task.command('list')
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
def list_(path):
    """Holders, numbers, time left, and voters."""
    told, seen, voting = read(path), {}, []
    for row in told.planner:
        found = asked_of(row)
        if found is None or row.name not in told.voters:
            continue
        voting.append('%s %s' % (row.name, 'votes' if found['votes'] else 'does not vote'))
        for name, life, number, left in found['tasks']:
            seen.setdefault((name, life), []).append((number, left))
    click.echo('voters: %s; %d of %d answer' % (', '.join(voting) or 'none', len(voting), len(told.voters)))
    for (name, life), rows in sorted(seen.items()):
        held = len(rows) > len(told.voters) // 2 and any(number is not None for number, _ in rows)
        click.echo(
            '%-24s %-8s number %-8s %5.1f s left  %s'
            % (
                name,
                'held' if held else 'promised',
                max((number for number, _ in rows if number is not None), default='-'),
                sorted(left for _, left in rows)[len(rows) // 2] / SECOND,
                life,
            )
        )
    sys.exit(0 if 2 * len(voting) > len(told.voters) else 1)


@task.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--name', required=True, help='Which planner this is.')
@click.option(
    '--above',
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help='All numbers given before, where its old file is lost.',
)
def voter(path, name, above):
    """Make a voter's file of numbers, once, where that planner runs."""
    told = read(path)
    book = Book(told.tasks.folder, name)
    if name not in told.voters or os.path.exists(book.path):
        click.echo(
            'lilacdyke: %s'
            % (
                '%s: is there already' % book.path
                if name in told.voters
                else '%s: tasks: no voter %s' % (path, name)
            ),
            err=True,
        )
        sys.exit(2)
    try:
        book.write(above, told.voters, told.task_lease)
    except OSError as err:
        click.echo('lilacdyke: %s: %s' % (book.path, err.strerror), err=True)
        sys.exit(2)
