"""`lilacdyke task`: run operators' commands under a lease, and inspect leases and voters.

A command runs only while the lease is held: if it cannot be renewed, the command is terminated before another
process can acquire the lease.

Exit codes of `hold`: the command's own if it exits while the lease is held (128 plus the signal's number if a
signal ended it); 70 if the lease could not be renewed and SIGTERM ended the command; 71 if that took SIGKILL;
75 if the lease was not acquired in the given time; 2 for invalid arguments.
"""

import os
import signal
import subprocess
import sys
from contextlib import suppress
from random import Random

import click
import msgspec

from ..net.logs import configure, log_event, log_warning
from ..net.sockets import Reactor
from ..net.system import System
from ..net.tables import Deadlines
from ..values import SECOND, to_ticks_floor
from .lease import Lease
from .sites import Name
from .status_cli import exit_invalid, fleet_file, query_planner
from .voter_file import VoterFile

LEASE_LOST_TERM, LEASE_LOST_KILL, NOT_ACQUIRED = 70, 71, 75
TERM_PARTS, KILL_PARTS = 4, 12  # SIGTERM and SIGKILL are sent with 1 / PARTS of the lease left
POLLS_PER_S = 50
NUMBER_VARIABLE = 'LILACDYKE_TASK_NUMBER'  # in the command's environment


class Holding:
    """Acquires the lease of a task and runs a command while it is held."""

    def __init__(self, fleet, task, command, wait, reactor):
        self.command, self.reactor = command, reactor
        self.zero, self.uniform = System.elapsed() - 1, Random(os.urandom(8)).random
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.task, self.popen, self.code, self.term_sent = task, None, None, False
        self.lease = Lease(
            reactor, self.deadlines, self.clock, fleet, task, self.uniform, self.got, self.lost
        )
        if wait is not None:
            self.deadlines.at(self.clock() + to_ticks_floor(wait), self.wait_expired, 0)
        self.lease.acquire()

    def clock(self):
        return int((System.elapsed() - self.zero) * SECOND)

    def got(self, number):
        """Start the command, unless the lease has expired already."""
        log_event('lease acquired', task=self.task, number=number)
        if self.popen is None and self.code is None and self.lease.held():
            try:
                self.popen = subprocess.Popen(
                    self.command,
                    env=dict(os.environ, **{NUMBER_VARIABLE: str(number)}),
                    start_new_session=True,
                )
            except OSError as err:
                log_warning('cannot run the command', reason=err)
                return self.finish(2)
            self.poll_command(0)

    def lost(self, number):
        """Kill the command: the lease has expired or was released."""
        log_event('lease ended', task=self.task, number=number)
        if self.popen is not None and self.code is None:
            self.kill(LEASE_LOST_KILL)

    def poll_command(self, _):
        """Check whether the command has exited, or must be terminated as the lease runs out."""
        if self.code is not None:
            return
        status = self.popen.poll()
        if status is not None:
            return self.finish(LEASE_LOST_TERM if self.term_sent else status if status >= 0 else 128 - status)
        left, span = self.lease.left(), self.lease.span
        if left < span // KILL_PARTS:
            return self.kill(LEASE_LOST_KILL)
        if left < span // TERM_PARTS and not self.term_sent:
            self.term_sent = True
            log_warning(
                'lease is expiring, terminating the command', task=self.task, number=self.lease.number
            )
            self.signal(signal.SIGTERM)
        self.deadlines.at(self.clock() + SECOND // POLLS_PER_S, self.poll_command, 0)

    def signal(self, number):
        """Send a signal to the command's process group."""
        with suppress(ProcessLookupError):
            os.killpg(self.popen.pid, number)

    def kill(self, code):
        """Kill the command's process group and finish with this exit code."""
        self.signal(signal.SIGKILL)
        self.popen.wait()
        self.finish(code)

    def wait_expired(self, _):
        if self.popen is None:
            self.finish(NOT_ACQUIRED)

    def stop(self):
        """Handle a request to stop: terminate the command first, then release the lease."""
        if self.popen is None:
            self.finish(NOT_ACQUIRED)
        elif self.code is None:
            self.signal(signal.SIGTERM)

    def finish(self, code):
        """Release the lease and exit with this code once the release has been sent."""
        if self.code is None:
            self.code = code
            if self.popen is not None:
                self.signal(signal.SIGKILL)  # processes that the command left behind
            self.lease.release()
            self.reactor.callLater(0.05, self.reactor.stop)


@click.group()
def task():
    """Tasks that one process does for the whole fleet."""


def read(path):
    """Return the fleet file's settings. Exit with status 2 unless it is enabled and has tasks."""
    if not fleet_file(path).enabled:
        exit_invalid(path, 'enabled: is false')
    return fleet_file(path, 'tasks')


@task.command(context_settings={'ignore_unknown_options': True})
@click.argument('name')
@click.argument('command', nargs=-1, required=True, type=click.UNPROCESSED)
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--wait', type=click.FloatRange(0), help='Seconds to wait for the lease; default: no limit.')
def hold(name, command, path, wait):
    """Run a command while holding a task's lease; LILACDYKE_TASK_NUMBER has its number."""
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        exit_invalid('task', 'invalid name: %.60r' % name)
    fleet = read(path)
    configure('info')
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    installReactor(reactor)
    holding = Holding(fleet, name, command, wait, reactor)
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: reactor.callFromThread(holding.stop))
    reactor.run(installSignalHandlers=False)
    sys.exit(holding.code if holding.code is not None else NOT_ACQUIRED)


@task.command('list')
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
def list_(path):
    """List voters, lease holders, lease numbers and the time left."""
    fleet, seen, voting = read(path), {}, []
    for row in fleet.planner:
        found = query_planner(row)
        if found is None or row.name not in fleet.voters:
            continue
        voting.append('%s %s' % (row.name, 'votes' if found['votes'] else 'does not vote'))
        for name, life, number, left in found['tasks']:
            seen.setdefault((name, life), []).append((number, left))
    click.echo('voters: %s; %d of %d answer' % (', '.join(voting) or 'none', len(voting), len(fleet.voters)))
    for (name, life), rows in sorted(seen.items()):
        held = len(rows) > len(fleet.voters) // 2 and any(number is not None for number, _ in rows)
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
    sys.exit(0 if 2 * len(voting) > len(fleet.voters) else 1)


@task.command()
@click.option('--file', 'path', type=click.Path(), required=True, help='The fleet file.')
@click.option('--name', required=True, help='Name of this planner.')
@click.option(
    '--above',
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help='A number above all issued before, if the old file is lost.',
)
def voter(path, name, above):
    """Create the voter's number file, once, on the planner's host."""
    fleet = read(path)
    voter_file = VoterFile(fleet.tasks.folder, name)
    if name not in fleet.voters or os.path.exists(voter_file.path):
        click.echo(
            'lilacdyke: %s'
            % (
                '%s: exists already' % voter_file.path
                if name in fleet.voters
                else '%s: tasks: no voter %s' % (path, name)
            ),
            err=True,
        )
        sys.exit(2)
    try:
        voter_file.write(above, fleet.voters, fleet.task_lease)
    except OSError as err:
        click.echo('lilacdyke: %s: %s' % (voter_file.path, err.strerror), err=True)
        sys.exit(2)
