"""The environment of a trial: the lab's stand-ins on loopback, real processes of the program, and a relay on
every link between them.

Also measures stalls of the machine. Must never leave a process behind: each asks the kernel to be killed
together with this one (launch.py).
"""

import json
import os
import subprocess
import sys

from ..lab import loopback
from .faults import TrialFaults
from .relay import Relay

TARGET_OFFSET = 100  # added to the second byte of the address of a server behind a relay
MAX_STALL_S = 0.25  # a run with a longer stall of the machine is void


class StallMonitor:
    """Measures the longest stall of the machine, in a process that only sleeps and reads the clock."""

    CODE = (
        'import ctypes, os, sys, time\n'
        'ctypes.CDLL(None).prctl(1, 9)\n'
        'if os.getppid() == 1: sys.exit()\n'
        'last = worst = 0.0\n'
        'last = time.monotonic()\n'
        'while not os.path.exists(sys.argv[1]):\n'
        '    time.sleep(0.005)\n'
        '    now = time.monotonic()\n'
        '    worst, last = max(worst, now - last), now\n'
        'print(worst)\n'
    )

    def __init__(self, folder):
        self.end = os.path.join(folder, 'end')
        self.process = subprocess.Popen(
            [sys.executable, '-c', self.CODE, self.end], stdout=subprocess.PIPE, text=True
        )

    def longest(self):
        """End the process and return the longest stall in seconds."""
        with open(self.end, 'w', encoding='ascii'):
            pass
        return float(self.process.communicate(timeout=10)[0])


class Planning(loopback.Planning):
    """A planner process that may be killed at a step; it is then restarted without its state and without that
    fault."""

    def __init__(self, environment, planner_slot):
        super().__init__(environment, planner_slot)
        self.check_exit()

    def check_exit(self):
        """Restart the planner if its process has exited."""
        stage = self.environment.stage
        if self.planner_slot.running not in (None, self) or stage.closing:
            return
        if self.popen.poll() is not None and self.planner_slot.running is self:
            stage.record_event('planner', self.planner_slot.name, 'died')
            self.environment.process_faults.get(self.planner_slot.name, {}).pop('dies', None)
            self.planner_slot.running = None
            self.environment.later(300_000, stage.start_planner, self.planner_slot)
        else:
            self.environment.later(50_000, self.check_exit)


class Environment(loopback.Environment):
    """Real processes with relays between them. process_faults: launch.py's faults by process name."""

    def __init__(self, scenario, seed, reactor, process_faults=None, mutant=None):
        super().__init__(scenario, seed, reactor)
        self.process_faults, self.mutant = process_faults or {}, mutant
        self.relays = {}  # by (node, peer)

    def faults(self, stage):
        return TrialFaults(stage)

    def start_planner(self, planner_slot):
        return Planning(self, planner_slot)

    def program(self, name):
        options = dict(
            self.process_faults.get(name, {}), history=os.path.join(self.folder, name + '.history')
        )
        if self.scenario.planning.span_s and name[0] == 'n':
            options['eyes'] = True
        if self.mutant:
            options['mutant'] = self.mutant
        return [sys.executable, '-m', 'lilacdyke.trial.launch', json.dumps(options)]

    # --- links ------------------------------------------------------------------------------------------

    @staticmethod
    def target_host(host):
        """Return the address of the server behind the relay at this address."""
        first, second, rest = host.split('.', 2)
        return '%s.%d.%s' % (first, int(second) + TARGET_OFFSET, rest)

    def node_of(self, transport):
        return 'n%d' % (int(transport.getHost().host.split('.')[1]) - 32 - TARGET_OFFSET)

    def listen(self, factory, address):
        if address[0].startswith('127.2.'):
            ports = []
            for place in self.stage.places:
                host, _, port = self.seen_as(place.number, address).rpartition(':')
                ports.append(self.reactor.listenTCP(int(port), factory, 1024, self.target_host(host)))
                self.relay_between(place.name, factory.name, (host, int(port)))
            return loopback.Ports(ports)
        if address[0].startswith('127.3.'):
            listen_address = (address[0], self.port(address[1]))
            self.relay_between(factory.node, 'agent', listen_address)
            return self.reactor.listenTCP(
                listen_address[1], factory, 1024, self.target_host(listen_address[0])
            )
        return super().listen(factory, address)

    def relay_between(self, name, other, listen_address, target=None):
        """Return the relay between two processes, creating it on first use."""
        relay = self.relays.get((name, other))
        if relay is None or relay.listen_address != listen_address:
            if relay is not None:
                relay.refuse()
            relay = self.relays[name, other] = Relay(
                self,
                '%s>%s' % (name, other),
                listen_address,
                target or (self.target_host(listen_address[0]), listen_address[1]),
            )
            relay.open()
        return relay

    def planner_for(self, place, planner_slot):
        listen_address = (
            '127.%d.%d.1' % (64 + place.number, planner_slot.number + 1),
            self.port(planner_slot.address[1]),
        )
        self.relay_between(
            place.name, planner_slot.name, listen_address, (planner_slot.address[0], listen_address[1])
        )
        return '%s:%d' % listen_address

    def histories(self):
        """Return what forwarders recorded of servers, as rows stamped relative to the run's start."""
        rows = []
        for place in self.stage.places:
            path = os.path.join(self.folder, place.name + '.history')
            if os.path.exists(path):
                with open(path, encoding='utf-8') as file:
                    recorded = [json.loads(line) for line in file]
                rows += [
                    (line['row'][0], int((line['at'] - self.zero) * 1e6), *line['row'][1:])
                    for line in recorded
                    if line['what'] == 'eyes'
                ]
        return rows


def play(scenario, seed, process_faults=None, mutant=None):
    """Run a scenario on real processes; return (Stage, longest stall of the machine in seconds)."""
    environments = []

    def build(*given):
        environments.append(Environment(*given, process_faults, mutant))
        return environments[0]

    stage = loopback.play(scenario, seed, build=build, around=StallMonitor)
    return stage, environments[0].still
