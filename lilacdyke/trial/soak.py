"""The soak test: dozens of real processes with random, overlapping faults of links, processes and system
calls, checked against the invariants.

Adds to the trials (environment.py, faults.py) the boards of the processes' shims (shim.py) and a writer with
relays. Must never fail a run by timing alone: time bounds have the slack of the lab's runs on loopback.

    python -m lilacdyke.trial.soak '[SEED, SECONDS, NODES]'    # one run in this process; prints its verdict
"""

import errno
import json
import os
import signal
import subprocess
import sys
import time
from random import Random

import msgspec
from msgspec.structs import replace

from ..changes import settings, store
from ..changes.writer import ChangePut
from ..lab import loopback
from ..lab.callsweep import NEEDED
from ..lab.draw import STEPS_S
from ..lab.faults import OWN_FAILURES
from ..lab.judges import judge
from ..lab.loopback import real
from ..lab.scenario import Event, check
from ..scale.fleet_run import free_ports
from . import draw
from .environment import Environment as TrialEnvironment
from .environment import StallMonitor
from .faults import TrialFaults
from .shim import Board

# Weight of each kind of fault in the timeline.
KINDS = {
    **{'step': 6, 'calls': 6, 'short': 3, 'disk': 5, 'kill_writer': 2, 'stop_writer': 1},
    **{'way_cut': 3, 'way_tear': 1, 'way_late': 2, 'way_thin': 1, 'way_reset': 3, 'way_refuse': 1},
    **{'kill_planner': 3, 'stop_planner': 2, 'part_planner': 1, 'late_planner': 1},
    **{'kill': 4, 'term': 3, 'standstill': 3, 'hup': 2, 'crash': 2, 'slow': 2, 'hung': 1, 'drain': 3},
    **{'cut': 1, 'delay': 2, 'cut_watch': 2, 'silence': 1},
}
# Kinds that lab scenarios do not have.
EXTRA_KINDS = frozenset(('short', 'disk', 'kill_writer', 'stop_writer'))
MAX_NEEDED_FAILURE_US = 400_000  # for calls without which no request can be answered
MEAN_INTERVAL_S = 1.5  # between two faults
DISK_FAILURES = (
    *(('write', number) for number in (errno.ENOSPC, errno.EIO)),
    *(('fsync', number) for number in (errno.EIO, errno.ENOSPC)),
    ('open', errno.ENFILE),
)
CHANGES_FILE = """
enabled = true
installation = "soak"
stale_after_s = 3.0
[[process]]
name = "w0"
role = "writer"
address = "127.0.0.1:%d"
folder = "%s"
%s
[keys]
limit = "number"
"""
RELAY_ENTRY = """[[process]]
name = "r%d"
role = "relay"
address = "127.0.0.1:%d"
above = ["w0"]
"""
RELAYS = 4


class ExtraFault(msgspec.Struct, frozen=True):
    """A fault of this module, which lab scenarios do not have."""

    at_s: float
    kind: str
    for_s: float
    size: int


class Verdict(msgspec.Struct, kw_only=True):
    """The result of one run. broken: [(rule, seconds, text)]; faults: the injected faults, for a failing
    seed."""

    seed: int
    broken: list[tuple[str, float, str]] = []
    still: float = 0.0
    asked: int = 0
    served: int = 0
    kept: int = 0
    processes: int = 0
    faults: list[str] = []


def draw_size(kind, rng):
    """Draw the size of a fault of this kind."""
    if kind == 'step':
        return rng.choice(STEPS_S)
    if kind == 'calls':
        return rng.randint(1, len(OWN_FAILURES))
    return round(rng.uniform(*draw.SIZE_RANGES.get(kind, (4, 4))), 2)


def draw_run(seed, seconds, nodes):
    """Return (scenario, extra faults) of a seed."""
    rng = Random('soak/%d' % seed)
    base, events, extra_faults = draw.scenario(seed), [], []
    for _ in range(max(2, int(seconds / MEAN_INTERVAL_S))):
        kind = rng.choices(sorted(KINDS), [KINDS[name] for name in sorted(KINDS)])[0]
        at, span = round(rng.uniform(0.5, seconds * 0.85), 2), round(rng.uniform(0.1, 3.0), 2)
        if kind in EXTRA_KINDS:
            extra_faults.append(ExtraFault(at, kind, span, rng.randrange(1, 100)))
            continue
        count, size = rng.choice((1, 1, 2, 3)), draw_size(kind, rng)
        events.append(Event(at_s=at, kind=kind, count=count, for_s=span, size=size))
    scenario = replace(
        base,
        name='soak-%d' % seed,
        length_s=seconds,
        nodes=nodes,
        zones=3,
        kinds=[replace(base.kinds[0], count=6)],
        load=replace(base.load, rate=8.0 * nodes),
        planning=replace(base.planning, seats=nodes, bounds=[replace(base.planning.bounds[0], most=5_000.0)]),
        events=sorted(events, key=lambda event: event.at_s),
    )
    return check(scenario), sorted(extra_faults, key=lambda fault: fault.at_s)


class SoakFaults(TrialFaults):
    """The trial's faults, and clock steps and failing calls through the shims."""

    def plays(self, kind):
        return kind in ('step', 'calls') or super().plays(kind)

    def do_step(self, index, event, what, span, rng):
        for place in self.places(what):
            self.stage.environment.process_shim(place.name).step(event.size)

    def do_calls(self, index, event, what, span, rng):
        call, number = OWN_FAILURES[(int(event.size) - 1) % len(OWN_FAILURES)]
        if call in NEEDED:
            span = min(span, MAX_NEEDED_FAILURE_US)
        for place in self.places(what):
            self.stage.environment.process_shim(place.name).fail(span, {'call': call, 'errno': number})


class ProcessShim:
    """Controls the shim of one process: combines overlapping faults on one board."""

    def __init__(self, environment, path):
        self.environment, self.board = environment, Board(path)
        self.wall_s, self.calls = 0.0, []

    def put(self):
        self.board.put(self.wall_s, self.calls)

    def step(self, seconds):
        """Step the wall clock by so many more seconds."""
        self.wall_s += seconds
        self.put()

    def fail(self, span, *rules):
        """Apply call rules for so many microseconds."""
        self.calls += rules
        self.put()
        self.environment.later(span, self.heal, rules)

    def heal(self, rules):
        self.calls = [rule for rule in self.calls if rule not in rules]
        self.put()


class Environment(TrialEnvironment):
    """The environment of a trial, with a shim in each process."""

    def __init__(self, scenario, seed, reactor, extra_faults, seconds):
        super().__init__(scenario, seed, reactor)
        self.extra_faults, self.process_shims, self.seconds, self.writing = extra_faults, {}, seconds, None

    def faults(self, stage):
        self.writing = WriterProcesses(self, self.seconds)
        for fault in self.extra_faults:
            self.later(int(fault.at_s * 1e6), self.inject_extra, fault)
        return SoakFaults(stage)

    def process_shim(self, name):
        """Return the shim control of the process of this name."""
        if name not in self.process_shims:
            self.process_shims[name] = ProcessShim(self, os.path.join(self.folder, name + '.board'))
        return self.process_shims[name]

    def program(self, name):
        return [sys.executable, '-m', 'lilacdyke.trial.shim', self.process_shim(name).board.path]

    def inject_extra(self, fault):
        """Inject a fault that lab scenarios do not have."""
        span = int(fault.for_s * 1e6)
        if fault.kind == 'short':
            name = 'n%d' % (fault.size % self.scenario.nodes)
            call = ('send', 'recv')[fault.size % 2]
            self.process_shim(name).fail(span, {'call': call, 'size': 1 + fault.size % 50})
        elif fault.kind == 'disk':
            call, number = DISK_FAILURES[fault.size % len(DISK_FAILURES)]
            short = {'call': 'write', 'size': fault.size, 'count': 1}
            self.process_shim('w0').fail(span, short, {'call': call, 'errno': number})
        elif self.writing is not None:
            self.writing.inject(fault.kind, span)


class WriterProcesses:
    """The writer, its relays, and the process that sends changes and records their results."""

    def __init__(self, environment, seconds):
        self.environment, self.processes = environment, {}
        ports = free_ports(1 + RELAYS)
        self.path = os.path.join(environment.folder, 'changes.toml')
        relays = ''.join(RELAY_ENTRY % (number, ports[1 + number]) for number in range(RELAYS))
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(CHANGES_FILE % (ports[0], environment.folder, relays))
        for name in ('w0', *('r%d' % number for number in range(RELAYS))):
            self.start(name)
        self.results_path = os.path.join(environment.folder, 'told.jsonl')
        self.putter = subprocess.Popen(
            [sys.executable, '-m', 'lilacdyke.trial.putter', self.path, self.results_path, str(seconds)]
        )

    def start(self, name):
        command = ('change', 'run', '--file', self.path, '--name', name, '--log-level', 'error')
        with open(os.path.join(self.environment.folder, name + '.log'), 'ab') as log:
            self.processes[name] = subprocess.Popen([*self.environment.program(name), *command], stderr=log)

    def inject(self, kind, span):
        """Kill the writer and restart it later, or stop it for a while."""
        writer = self.processes['w0']
        if kind == 'kill_writer':
            writer.kill()
            writer.wait()
            self.environment.later(span, self.start, 'w0')
        else:
            writer.send_signal(signal.SIGSTOP)
            self.environment.later(span, writer.send_signal, signal.SIGCONT)

    def end(self):
        """End all processes; return (number of changes reported as kept, error in the writer's file or
        None)."""
        self.putter.wait(20)
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        return self.evaluate()

    def evaluate(self):
        """Compare the recorded results with the writer's file; return as end() does."""
        with open(self.results_path, encoding='utf-8') as file:
            rows = [json.loads(line) for line in file]
        kept = [row['value'] for row in rows if row['told'] == 'kept']
        refused = {row['value'] for row in rows if row['told'] == 'refused'}
        lines = store.read(settings.read(self.path).named('w0').folder)
        stored = [int(line.change.items[0].value) for line in lines if isinstance(line, ChangePut)]
        missing, extra = set(kept) - set(stored), refused & set(stored)
        if missing or extra or stored != sorted(stored):
            wrong = 'reported as kept but missing: %s; reported as refused but present: %s' % (
                sorted(missing)[:5],
                sorted(extra)[:5],
            )
            return len(kept), wrong
        return len(kept), None


def run_in_process(seed, seconds, nodes):
    """Run and check one soak in this process, which can run no second one: a reactor cannot be restarted."""
    scenario, extra_faults = draw_run(seed, seconds, nodes)
    scenario = real(scenario)
    environments = []

    def build(real_scenario, seed_, reactor):
        environments.append(Environment(real_scenario, seed_, reactor, extra_faults, seconds))
        return environments[0]

    ended = []

    def around(folder):
        monitor = StallMonitor(folder)
        longest = monitor.longest
        monitor.longest = lambda: ended.append(environments[0].writing.end()) or longest()
        return monitor

    stage = loopback.play(scenario, seed, build=build, around=around)
    rows = stage.recorder.rows
    broken = judge(scenario, rows)
    kept, wrong = ended[0]
    violations = [(found.rule, found.when / 1e6, found.text) for found in broken]
    if wrong:
        violations.append(('kept', seconds, wrong))
    return Verdict(
        seed=seed,
        broken=violations,
        still=environments[0].still,
        asked=sum(row[0] == 'ask' for row in rows),
        served=sum(row[0] == 'answer' and row[3] == 200 for row in rows),
        kept=kept,
        processes=nodes + scenario.planning.planners + 1 + RELAYS,
        faults=[
            '%6.2f s %s %s for %.2f s, size %g'
            % (event.at_s, event.kind, event.what or '', event.for_s, event.size)
            for event in sorted([*scenario.events, *as_events(extra_faults)], key=lambda event: event.at_s)
        ],
    )


def as_events(extra_faults):
    """Return extra faults in the form of lab events, for printing."""

    class Shown(msgspec.Struct):
        at_s: float
        kind: str
        for_s: float
        size: float
        what: tuple = ()

    return [Shown(fault.at_s, fault.kind, fault.for_s, fault.size) for fault in extra_faults]


def run_in_subprocess(seed, seconds, nodes):
    """Run one soak in a process of its own; return its Verdict."""
    finished = subprocess.run(
        [sys.executable, '-m', 'lilacdyke.trial.soak', json.dumps([seed, seconds, nodes])],
        capture_output=True,
        timeout=3 * seconds + 60,
        check=False,
    )
    if finished.returncode:
        why = finished.stderr.decode(errors='replace').strip()[-400:]
        return Verdict(seed=seed, broken=[('crashed', 0.0, why)])
    return msgspec.json.decode(finished.stdout.splitlines()[-1], type=Verdict)


def main():
    begun = time.monotonic()
    found = run_in_process(*json.loads(sys.argv[1]))
    print('%.0f s' % (time.monotonic() - begun), file=sys.stderr)
    print(msgspec.json.encode(found).decode())


if __name__ == '__main__':
    main()
