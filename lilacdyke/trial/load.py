"""Measures the cost of planner links: one real planner process and the links of many forwarders, on loopback.

The nodes are fakes; the links, ledgers and decisions are the program's own.

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


class FakeNode:
    """The part of a node that fleet limits use; it admits requests and forwards none."""

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

    def send_requests(self, _):
        """Admit requests, at some forwarders more than their share."""
        for _ in range(1 + self.number % 3):
            if self.fleet_limits.admit(self.clock(), self.profiles[0]) is None:
                self.count('admitted')
        self.deadlines.at(self.clock() + SECOND // 2, self.send_requests, 0)


def process_usage(pid):
    """Return (CPU time in seconds, peak memory in KB) of a process."""
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
    """Measure CPU time, traffic and memory of one planner and of forwarders' links."""
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
        received, original = Counter(), FrameProtocol.dataReceived

        def counted(self, data):
            received['bytes'] += len(data)
            received['frames'] += 1
            original(self, data)

        FrameProtocol.dataReceived = counted
        try:
            time.sleep(1.0)
            fleet, profile = limits.read(path), Profile('read', IDEMPOTENT, 'all', 0, 5000, 0, 10_000)
            fake_nodes = [FakeNode(number, reactor, profile) for number in range(forwarders)]
            for fake_node in fake_nodes:
                fake_node.fleet = FleetMember(fake_node, fleet)
                fake_node.send_requests(0)
            found = {}

            def begin():
                received.clear()
                found['planner'], found['own'], found['at'] = (
                    process_usage(planner.pid),
                    time.process_time(),
                    time.monotonic(),
                )

            def end():
                elapsed, (cpu, memory) = time.monotonic() - found['at'], process_usage(planner.pid)
                alone = sum(fake_node.fleet.forwarder.alone(fake_node.clock()) for fake_node in fake_nodes)
                click.echo(
                    '%d forwarders, leases of %g s, %.0f s: planner %.1f%% of a core, %d MB; '
                    'a forwarder and its link %.3f%% of a core, '
                    '%.0f bytes and %.1f plans a second; %d alone'
                    % (
                        forwarders,
                        lease,
                        elapsed,
                        100 * (cpu - found['planner'][0]) / elapsed,
                        memory // 1_024,
                        100 * (time.process_time() - found['own']) / elapsed / forwarders,
                        received['bytes'] / elapsed / forwarders,
                        received['frames'] / elapsed / forwarders,
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
