"""Measures how long a task has no lease holder after each kind of fault, and the load of many seekers on
voters.

Runs scripted faults on the setup of holders.py and prints the results; it checks no rule.

    python -m lilacdyke.trial.gaps gaps [--times N]
    python -m lilacdyke.trial.gaps load [--seekers N] [--tasks N] [--seconds N] [--lease S]
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from random import Random

import click

from ..lab.loopback import write_fleet
from ..net.sockets import Reactor
from ..net.tables import Deadlines
from ..plan import limits
from ..plan.lease import Lease, ToVoter
from ..values import SECOND
from .holders import VOTERS, LeaseTrial
from .load import process_usage

KINDS = ('release', 'kill', 'cut', 'one way', 'voter', 'roll')


class ScriptedTrial(LeaseTrial):
    """Injects the same fault repeatedly, each time on the current holder."""

    def __init__(self, kind, times, folder, reactor):
        self.kind, self.times, self.keep_probability = kind, times, 0.0 if kind == 'release' else 2.0
        super().__init__(1, folder, reactor)
        self.fault_times = []

    def draw_clock_faults(self):
        return {}

    def begin(self):
        for name in self.names():
            self.start(name)
        every = 1.0 if self.kind == 'release' else 4.5 * self.lease + 0.6
        for number in range(self.times):
            self.reactor.callLater(3 + every * number, self.inject)
        self.reactor.callLater(3 + every * self.times, self.end)

    def holder(self):
        return next((row[3] for row in reversed(self.resource.rows) if row[1] == 'begin' and row[4]), 's0')

    def inject(self):
        name = self.holder()
        self.fault_times.append(time.monotonic())
        if self.kind == 'kill':
            self.kill(name)
            self.reactor.callLater(0.3, self.start, name)
        elif self.kind in ('cut', 'one way'):
            self.apply_for(
                lambda relay: [
                    setattr(direction, 'cut', True)
                    for direction in relay.directions[self.kind == 'one way' :]
                ],
                3 * self.lease,
                [self.relays[name, 'p%d' % number] for number in range(VOTERS)],
            )
        elif self.kind in ('voter', 'roll'):
            voter = 'p%d' % (len(self.fault_times) % VOTERS)
            self.kill(voter)
            self.reactor.callLater(0.1 if self.kind == 'roll' else 2 * self.lease, self.start, voter)

    def measured(self):
        """Return the gap of each fault in seconds: up to the next holder's first act (kill, cut, one way),
        between two holders (release), or the longest time between two acts after the fault (the others)."""
        acts = [(row[0], row[2]) for row in self.resource.rows if row[1] == 'begin' and row[4]]
        if self.kind in ('kill', 'cut', 'one way'):
            numbers_before = [
                max((number for at, number in acts if at <= mark), default=0) for mark in self.fault_times
            ]
            return [
                next((at - mark for at, number in acts if number > before), float('inf'))
                for mark, before in zip(self.fault_times, numbers_before)
            ]
        if self.kind == 'release':
            return [
                later[0] - at
                for (at, number), later in zip(acts, acts[1:])
                if later[1] != number and at > self.fault_times[0]
            ]
        spans = zip(self.fault_times, [*self.fault_times[1:], self.fault_times[-1] + 4 * self.lease])
        return [
            max(
                (later[0] - at for (at, _), later in zip(acts, acts[1:]) if begin <= later[0] <= end),
                default=float('inf'),
            )
            for begin, end in spans
        ]


@click.group()
def main():
    """Measure leases of tasks."""


@main.command()
@click.option('--times', type=click.IntRange(1, 500), default=15, show_default=True)
@click.option(
    '--kind', type=click.Choice(KINDS), help='Measure one kind in this process; by default all, concurrently.'
)
def gaps(times, kind):
    """Measure the time without a holder, with leases of 0.4 s."""
    if kind is None:
        for running in [
            subprocess.Popen(
                [sys.executable, '-m', 'lilacdyke.trial.gaps', 'gaps', '--times', str(times), '--kind', name]
            )
            for name in KINDS
        ]:
            running.wait()
        return
    reactor = Reactor()
    with tempfile.TemporaryDirectory() as folder:
        trial = ScriptedTrial(kind, times, folder, reactor)
        reactor.callWhenRunning(trial.begin)
        reactor.run()
        measured = sorted(trial.measured())
    click.echo(
        '%-8s %4d times: median %.3f s, 99th %.3f s, most %.3f s'
        % (
            kind,
            len(measured),
            measured[len(measured) // 2],
            measured[min(len(measured) - 1, len(measured) * 99 // 100)],
            measured[-1],
        )
    )


@main.command()
@click.option('--seekers', type=click.IntRange(1, 500), default=300, show_default=True)
@click.option('--tasks', type=click.IntRange(1, 200), default=1, show_default=True)
@click.option('--seconds', type=click.FloatRange(1, 120), default=10.0, show_default=True)
@click.option('--lease', type=click.FloatRange(0.2, 60), default=5.0, show_default=True)
def load(seekers, tasks, seconds, lease):
    """Measure messages and CPU time of three voters, and leases lost to stalls of the machine."""
    reactor = Reactor()
    with tempfile.TemporaryDirectory() as folder:
        path, port, planners = os.path.join(folder, 'fleet.toml'), 20_000 + os.getpid() % 20_000, []
        write_fleet(
            path,
            {
                'enabled': True,
                'installation': 'load',
                'seats': 1,
                'tasks': {'folder': folder, 'lease_s': lease},
                'planner': [
                    {'name': 'p%d' % number, 'address': '127.0.0.1:%d' % (port + number)}
                    for number in range(VOTERS)
                ],
            },
        )
        for number in range(VOTERS):
            subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'lilacdyke',
                    'task',
                    'voter',
                    '--file',
                    path,
                    '--name',
                    'p%d' % number,
                ],
                check=True,
            )
            planners.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        'lilacdyke.trial.launch',
                        '{}',
                        'plan',
                        '--file',
                        path,
                        '--name',
                        'p%d' % number,
                    ],
                    stderr=subprocess.DEVNULL,
                )
            )
        counts, original = Counter(), ToVoter.dataReceived

        def counting(self, data):
            counts['frames'] += 1
            original(self, data)

        ToVoter.dataReceived = counting
        try:
            time.sleep(1.5)
            fleet, zero = limits.read(path), time.monotonic() - 1
            deadlines = Deadlines(lambda: int((time.monotonic() - zero) * SECOND), reactor.callLater)
            uniform, measured = Random(1).random, {}
            for number in range(seekers):
                Lease(
                    reactor,
                    deadlines,
                    deadlines.clock,
                    fleet,
                    'task-%d' % (number % tasks),
                    uniform,
                    lambda number: counts.update(['got']),
                    lambda number: counts.update(['lost']),
                ).acquire()

            def begin():
                counts.clear()
                measured.update(
                    {planner.pid: process_usage(planner.pid)[0] for planner in planners}, at=time.monotonic()
                )

            def end():
                elapsed = time.monotonic() - measured['at']
                each = [
                    100 * (process_usage(planner.pid)[0] - measured[planner.pid]) / elapsed
                    for planner in planners
                ]
                click.echo(
                    '%d seekers, %d tasks, leases of %g s: %.0f answers a second from three voters, '
                    'each at %.1f%% of a core; %d leases lost, %d got'
                    % (
                        seekers,
                        tasks,
                        lease,
                        counts['frames'] / elapsed,
                        sum(each) / len(each),
                        counts['lost'],
                        counts['got'],
                    )
                )
                reactor.stop()

            reactor.callLater(2 * lease + 2, begin)
            reactor.callLater(2 * lease + 2 + seconds, end)
            reactor.run()
        finally:
            for planner in planners:
                planner.send_signal(signal.SIGKILL)
                planner.wait()


if __name__ == '__main__':
    main()
