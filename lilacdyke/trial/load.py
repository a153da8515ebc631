"""What the links cost: one real planner process and many forwarders' links to it, on loopback.

Owns the stand-ins for nodes that those links belong to; the links, ledgers and decisions are the program's
own. Must never run for longer than it was told.

python -m lilacdyke.trial.load --forwarders 300 --seconds 20
"""

import os
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
from ..plan.fleet import FleetMember
from ..plan.link import FrameProtocol
from ..terms import IDEMPOTENT, Profile
from ..values import SECOND

TICKS = os.sysconf('SC_CLK_TCK')


class Nobody:
    """As much of a node as its share asks: nothing is sent, some is asked for."""

    handed, caches, router = False, None, None

    def __init__(self, number, reactor, profile):
        self.reactor, self.number = reactor, number
        self.zero = time.monotonic()
        self.uniform = Random(number).random
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.system = self.config = self.terms = self
        self.rank, self.name, self.profiles = number, 'n%d' % number, [profile]
        self.caches = self.router = self
        self.fleet_limits, self.counts = None, Counter()

    def clock(self):
        return int((time.monotonic() - self.zero) * SECOND) + SECOND

    def hold(self, name):
        return name

    def count(self, what):
        self.counts[what] += 1

    def fault(self, failure):
        raise failure.value

    def __iter__(self):
        return iter(())

    def ask(self, _):
        """Clients ask, at some forwarders more than its part."""
        for _ in range(1 + self.number % 3):
            if self.fleet_limits.admit(self.clock(), self.profiles[0]) is None:
                self.count('admitted')
        self.deadlines.at(self.clock() + SECOND // 2, self.ask, 0)


def processor(pid):
    """Seconds of processor time, and the most memory in KB, of a process."""
    with open('/proc/%d/stat' % pid, encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    with open('/proc/%d/status' % pid, encoding='ascii') as file:
        memory = next(int(row.split()[1]) for row in file if row.startswith('VmHWM'))
    return (int(fields[11]) + int(fields[12])) / TICKS, memory


@click.command()
@click.option('--forwarders', type=click.IntRange(1, 1_000), default=300, show_default=True)
@click.option('--seconds', type=click.FloatRange(1, 120), default=20.0, show_default=True)
@click.option('--lease', default=2.0, show_default=True)
def main(forwarders, seconds, lease):
    """Processor time, bytes and memory of one planner and of a forwarder's links."""
    reactor = Reactor()
    with tempfile.TemporaryDirectory() as folder:
        path, port = os.path.join(folder, 'fleet.toml'), 20_000 + os.getpid() % 20_000
        write_fleet(
            path,
            {
                'enabled': True,
                'installation': 'load',
                'seats': forwarders,
                'lease_s': lease,
                'longest_s': 1.0,
                'planner': [{'name': 'p0', 'address': '127.0.0.1:%d' % port}],
                'limit': [
                    {'name': 'all', 'what': 'requests', 'most': 4.0 * forwarders},
                    {'name': 'open', 'what': 'open', 'most': 2.0 * forwarders},
                ],
            },
        )
        planner = subprocess.Popen(
            [sys.executable, '-m', 'lilacdyke.trial.launch', '{}', 'plan', '--file', path, '--name', 'p0'],
            stderr=subprocess.DEVNULL,
        )
        heard, usual = Counter(), FrameProtocol.dataReceived

        def counting(self, data):
            heard['bytes'] += len(data)
            heard['frames'] += 1
            usual(self, data)

        FrameProtocol.dataReceived = counting
        try:
            time.sleep(1.0)
            fleet, profile = limits.read(path), Profile('read', IDEMPOTENT, 'all', 0, 5000, 0, 10_000)
            nobodies = [Nobody(number, reactor, profile) for number in range(forwarders)]
            for nobody in nobodies:
                nobody.fleet = FleetMember(nobody, fleet)
                nobody.ask(0)
            found = {}

            def begin():
                heard.clear()
                found['planner'], found['own'], found['at'] = (
                    processor(planner.pid),
                    time.process_time(),
                    time.monotonic(),
                )

            def end():
                took, (cpu, memory) = time.monotonic() - found['at'], processor(planner.pid)
                alone = sum(nobody.fleet.forwarder.alone(nobody.clock()) for nobody in nobodies)
                click.echo(
                    '%d forwarders, leases of %g s, %.0f s: planner %.1f%% of a core, %d MB; a forwarder and its link %.3f%% of a core, '
                    '%.0f bytes and %.1f plans a second; %d alone'
                    % (
                        forwarders,
                        lease,
                        took,
                        100 * (cpu - found['planner'][0]) / took,
                        memory // 1_024,
                        100 * (time.process_time() - found['own']) / took / forwarders,
                        heard['bytes'] / took / forwarders,
                        heard['frames'] / took / forwarders,
                        alone,
                    )
                )
                reactor.stop()

            reactor.callLater(4 * lease, begin)
            reactor.callLater(4 * lease + seconds, end)
            reactor.run()
        finally:
            planner.kill()
            planner.wait()


if __name__ == '__main__':
    main()
