"""The trial's environment: the lab's stand-ins on loopback, the program's own processes, and a relay on every
link between them.

Owns the relays, what each process is bent by, and the witness of the machine's own standstills. Must never
leave a process behind: each asks the kernel to be killed with this one (launch.py).
"""

import json
import os
import subprocess
import sys

from ..lab import loopback
from .faults import Troubles
from .relay import Relay

BEHIND = 100  # what is added to an address's second byte for who stands behind a relay
STILL = 0.25  # seconds that the machine may stand still in a sound run


class Stillness:
    """A process that does nothing but look at the clock: the longest that the machine kept it from that."""

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
        """End it; seconds."""
        with open(self.end, 'w', encoding='ascii'):
            pass
        return float(self.process.communicate(timeout=10)[0])


class Planning(loopback.Planning):
    """A planner process that may die by itself, at a step; it is started again a moment later, with nothing
    and no such step."""

    def __init__(self, environment, planner_slot):
        super().__init__(environment, planner_slot)
        self.look()

    def look(self):
        """Whether it has died."""
        stage = self.environment.stage
        if self.planner_slot.running not in (None, self) or stage.closing:
            return
        if self.popen.poll() is not None and self.planner_slot.running is self:
            stage.record_event('planner', self.planner_slot.name, 'died')
            self.environment.bends.get(self.planner_slot.name, {}).pop('dies', None)
            self.planner_slot.running = None
            self.environment.later(300_000, stage.start_planner, self.planner_slot)
        else:
            self.environment.later(50_000, self.look)


class Environment(loopback.Environment):
    """Real processes with faults between them. bends: by a process's name, what launch.py does to it."""

    def __init__(self, scenario, seed, reactor, bends=None, mutant=None):
        super().__init__(scenario, seed, reactor)
        self.bends, self.mutant = bends or {}, mutant
        self.relays = {}  # by node and by who it reaches

    def faults(self, stage):
        return Troubles(stage)

    def start_planner(self, planner_slot):
        return Planning(self, planner_slot)

    def program(self, name):
        told = dict(self.bends.get(name, {}), history=os.path.join(self.folder, name + '.history'))
        if self.scenario.planning.span_s and name[0] == 'n':
            told['eyes'] = True
        if self.mutant:
            told['mutant'] = self.mutant
        return [sys.executable, '-m', 'lilacdyke.trial.launch', json.dumps(told)]

    # --- links ------------------------------------------------------------------------------------------

    @staticmethod
    def behind(host):
        """Where the one stands whom a relay at this address reaches."""
        first, second, rest = host.split('.', 2)
        return '%s.%d.%s' % (first, int(second) + BEHIND, rest)

    def node_of(self, transport):
        return 'n%d' % (int(transport.getHost().host.split('.')[1]) - 32 - BEHIND)

    def listen(self, factory, address):
        if address[0].startswith('127.2.'):
            made = []
            for place in self.stage.places:
                host, _, port = self.seen_as(place.number, address).rpartition(':')
                made.append(self.reactor.listenTCP(int(port), factory, 1024, self.behind(host)))
                self.relay(place.name, factory.name, (host, int(port)))
            return loopback.Ports(made)
        if address[0].startswith('127.3.'):
            here = (address[0], self.port(address[1]))
            self.relay(factory.node, 'agent', here)
            return self.reactor.listenTCP(here[1], factory, 1024, self.behind(here[0]))
        return super().listen(factory, address)

    def relay(self, name, other, here, there=None):
        """The relay between two, made when it is first needed."""
        made = self.relays.get((name, other))
        if made is None or made.here != here:
            if made is not None:
                made.refuse()
            made = self.relays[name, other] = Relay(
                self, '%s>%s' % (name, other), here, there or (self.behind(here[0]), here[1])
            )
            made.open()
        return made

    def planner_for(self, place, planner_slot):
        here = (
            '127.%d.%d.1' % (64 + place.number, planner_slot.number + 1),
            self.port(planner_slot.address[1]),
        )
        self.relay(place.name, planner_slot.name, here, (planner_slot.address[0], here[1]))
        return '%s:%d' % here

    def histories(self):
        """What forwarders wrote of servers, as rows: their stamps are of this machine's one clock, and so is
        the run's."""
        rows = []
        for place in self.stage.places:
            path = os.path.join(self.folder, place.name + '.history')
            if os.path.exists(path):
                with open(path, encoding='utf-8') as file:
                    told = [json.loads(line) for line in file]
                rows += [
                    (line['row'][0], int((line['at'] - self.zero) * 1e6), *line['row'][1:])
                    for line in told
                    if line['what'] == 'eyes'
                ]
        return rows


def play(scenario, seed, bends=None, mutant=None):
    """Play on real processes; (Stage, seconds that the machine stood still at the longest)."""
    made = []

    def build(*given):
        made.append(Environment(*given, bends, mutant))
        return made[0]

    stage = loopback.play(scenario, seed, build=build, around=Stillness)
    return stage, made[0].still
