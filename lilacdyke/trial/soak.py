"""The soak: some dozens of real processes with random, overlapping faults between, within and beneath them,
judged from histories by the invariants.

Owns what a seed draws, the boards of the processes' shims (shim.py), the writer's part, and the verdict.
Nodes, planners and their links are the trial's (environment.py, faults.py). Must never judge by timing alone:
what a machine under load makes late is given the slack of the lab's runs on loopback.

    python -m lilacdyke.trial.soak '[SEED, SECONDS, NODES]'    # one run in this process: its verdict
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
from .environment import Stillness
from .faults import Troubles
from .shim import Board

# What the timeline is drawn from, with how often; those of the machine come beneath the libraries.
KINDS = {
    **{'step': 6, 'calls': 6, 'short': 3, 'disk': 5, 'kill_writer': 2, 'stop_writer': 1},
    **{'way_cut': 3, 'way_tear': 1, 'way_late': 2, 'way_thin': 1, 'way_reset': 3, 'way_refuse': 1},
    **{'kill_planner': 3, 'stop_planner': 2, 'part_planner': 1, 'late_planner': 1},
    **{'kill': 4, 'term': 3, 'standstill': 3, 'hup': 2, 'crash': 2, 'slow': 2, 'hung': 1, 'drain': 3},
    **{'cut': 1, 'delay': 2, 'cut_watch': 2, 'silence': 1},
}
OWN = frozenset(('short', 'disk', 'kill_writer', 'stop_writer'))  # that scenarios of the lab do not have
NEEDED_MOST = 400_000  # microseconds for which a call fails without which nobody can be answered
EVERY_S = 1.5  # between two troubles, in the mean
DISK = (
    *(('write', number) for number in (errno.ENOSPC, errno.EIO)),
    *(('fsync', number) for number in (errno.EIO, errno.ENOSPC)),
    ('open', errno.ENFILE),
)
CHANGES = """
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
RELAY = """[[process]]
name = "r%d"
role = "relay"
address = "127.0.0.1:%d"
above = ["w0"]
"""
RELAYS = 4


class Trouble(msgspec.Struct, frozen=True):
    """One trouble of this module's own."""

    at_s: float
    kind: str
    for_s: float
    size: int


class Verdict(msgspec.Struct, kw_only=True):
    """What came of one run. broken: [(rule, seconds, text)]; faults: what was played, for a failing seed."""

    seed: int
    broken: list[tuple[str, float, str]] = []
    still: float = 0.0
    asked: int = 0
    served: int = 0
    kept: int = 0
    processes: int = 0
    faults: list[str] = []


def drawn_size(kind, rng):
    """The size of a trouble of this kind."""
    if kind == 'step':
        return rng.choice(STEPS_S)
    if kind == 'calls':
        return rng.randint(1, len(OWN_FAILURES))
    return round(rng.uniform(*draw.SIZES.get(kind, (4, 4))), 2)


def drawn(seed, seconds, nodes):
    """(the scenario of a seed, the troubles of this module's own)."""
    rng = Random('soak/%d' % seed)
    base, events, own = draw.scenario(seed), [], []
    for _ in range(max(2, int(seconds / EVERY_S))):
        kind = rng.choices(sorted(KINDS), [KINDS[name] for name in sorted(KINDS)])[0]
        at, span = round(rng.uniform(0.5, seconds * 0.85), 2), round(rng.uniform(0.1, 3.0), 2)
        if kind in OWN:
            own.append(Trouble(at, kind, span, rng.randrange(1, 100)))
            continue
        count, size = rng.choice((1, 1, 2, 3)), drawn_size(kind, rng)
        events.append(Event(at_s=at, kind=kind, count=count, for_s=span, size=size))
    made = replace(
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
    return check(made), sorted(own, key=lambda trouble: trouble.at_s)


class SoakTroubles(Troubles):
    """The trial's troubles, and those of the machines beneath the processes."""

    def plays(self, kind):
        return kind in ('step', 'calls') or super().plays(kind)

    def do_step(self, index, event, what, span, rng):
        for place in self.places(what):
            self.stage.environment.machine(place.name).step(event.size)

    def do_calls(self, index, event, what, span, rng):
        call, number = OWN_FAILURES[(int(event.size) - 1) % len(OWN_FAILURES)]
        if call in NEEDED:
            span = min(span, NEEDED_MOST)
        for place in self.places(what):
            self.stage.environment.machine(place.name).fail(span, {'call': call, 'errno': number})


class Machine:
    """What a process's shim plays now: all faults that overlap, on one board."""

    def __init__(self, environment, path):
        self.environment, self.board = environment, Board(path)
        self.wall_s, self.calls = 0.0, []

    def put(self):
        self.board.put(self.wall_s, self.calls)

    def step(self, seconds):
        """The wall clock is ahead by so much more."""
        self.wall_s += seconds
        self.put()

    def fail(self, span, *rules):
        """These calls fail for so many microseconds."""
        self.calls += rules
        self.put()
        self.environment.later(span, self.heal, rules)

    def heal(self, rules):
        self.calls = [rule for rule in self.calls if rule not in rules]
        self.put()


class Environment(TrialEnvironment):
    """The trial's environment with a shim beneath each process."""

    def __init__(self, scenario, seed, reactor, own, seconds):
        super().__init__(scenario, seed, reactor)
        self.own, self.machines, self.seconds, self.writing = own, {}, seconds, None

    def faults(self, stage):
        self.writing = Writing(self, self.seconds)
        for trouble in self.own:
            self.later(int(trouble.at_s * 1e6), self.play_own, trouble)
        return SoakTroubles(stage)

    def machine(self, name):
        """The machine of the process of this name."""
        if name not in self.machines:
            self.machines[name] = Machine(self, os.path.join(self.folder, name + '.board'))
        return self.machines[name]

    def program(self, name):
        return [sys.executable, '-m', 'lilacdyke.trial.shim', self.machine(name).board.path]

    def play_own(self, trouble):
        """A trouble that the lab's scenarios do not have."""
        span = int(trouble.for_s * 1e6)
        if trouble.kind == 'short':
            name = 'n%d' % (trouble.size % self.scenario.nodes)
            call = ('send', 'recv')[trouble.size % 2]
            self.machine(name).fail(span, {'call': call, 'size': 1 + trouble.size % 50})
        elif trouble.kind == 'disk':
            call, number = DISK[trouble.size % len(DISK)]
            short = {'call': 'write', 'size': trouble.size, 'count': 1}
            self.machine('w0').fail(span, short, {'call': call, 'errno': number})
        elif self.writing is not None:
            self.writing.trouble(trouble.kind, span)


class Writing:
    """The writer, its relays, and the process that puts changes and notes what it was told."""

    def __init__(self, environment, seconds):
        self.environment, self.processes = environment, {}
        ports = free_ports(1 + RELAYS)
        self.path = os.path.join(environment.folder, 'changes.toml')
        relays = ''.join(RELAY % (number, ports[1 + number]) for number in range(RELAYS))
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(CHANGES % (ports[0], environment.folder, relays))
        for name in ('w0', *('r%d' % number for number in range(RELAYS))):
            self.start(name)
        self.told = os.path.join(environment.folder, 'told.jsonl')
        self.staff = subprocess.Popen(
            [sys.executable, '-m', 'lilacdyke.trial.putter', self.path, self.told, str(seconds)]
        )

    def start(self, name):
        command = ('change', 'run', '--file', self.path, '--name', name, '--log-level', 'error')
        with open(os.path.join(self.environment.folder, name + '.log'), 'ab') as log:
            self.processes[name] = subprocess.Popen([*self.environment.program(name), *command], stderr=log)

    def trouble(self, kind, span):
        """The writer is killed, and started anew later, or stands still."""
        writer = self.processes['w0']
        if kind == 'kill_writer':
            writer.kill()
            writer.wait()
            self.environment.later(span, self.start, 'w0')
        else:
            writer.send_signal(signal.SIGSTOP)
            self.environment.later(span, writer.send_signal, signal.SIGCONT)

    def end(self):
        """End all; (how many were told as kept, what is wrong with the writer's file or None)."""
        self.staff.wait(20)
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        return self.judged()

    def judged(self):
        """What staff were told, against the file."""
        with open(self.told, encoding='utf-8') as file:
            rows = [json.loads(line) for line in file]
        kept = [row['value'] for row in rows if row['told'] == 'kept']
        refused = {row['value'] for row in rows if row['told'] == 'refused'}
        lines = store.read(settings.read(self.path).named('w0').folder)
        shown = [int(line.change.items[0].value) for line in lines if isinstance(line, ChangePut)]
        missing, extra = set(kept) - set(shown), refused & set(shown)
        if missing or extra or shown != sorted(shown):
            wrong = 'told as kept and not there: %s; told as refused and there: %s' % (
                sorted(missing)[:5],
                sorted(extra)[:5],
            )
            return len(kept), wrong
        return len(kept), None


def once(seed, seconds, nodes):
    """Play and judge one run in this process: a reactor runs but once."""
    given, own = drawn(seed, seconds, nodes)
    given = real(given)
    made = []

    def build(scenario, seed_, reactor):
        made.append(Environment(scenario, seed_, reactor, own, seconds))
        return made[0]

    ended = []

    def around(folder):
        watching = Stillness(folder)
        longest = watching.longest
        watching.longest = lambda: ended.append(made[0].writing.end()) or longest()
        return watching

    stage = loopback.play(given, seed, build=build, around=around)
    rows = stage.recorder.rows
    broken = judge(given, rows)
    kept, wrong = ended[0]
    told = [(found.rule, found.when / 1e6, found.text) for found in broken]
    if wrong:
        told.append(('kept', seconds, wrong))
    return Verdict(
        seed=seed,
        broken=told,
        still=made[0].still,
        asked=sum(row[0] == 'ask' for row in rows),
        served=sum(row[0] == 'answer' and row[3] == 200 for row in rows),
        kept=kept,
        processes=nodes + given.planning.planners + 1 + RELAYS,
        faults=[
            '%6.2f s %s %s for %.2f s, size %g'
            % (event.at_s, event.kind, event.what or '', event.for_s, event.size)
            for event in sorted([*given.events, *own_events(own)], key=lambda event: event.at_s)
        ],
    )


def own_events(own):
    """This module's own troubles in the form of the lab's, for printing."""

    class Shown(msgspec.Struct):
        at_s: float
        kind: str
        for_s: float
        size: float
        what: tuple = ()

    return [Shown(trouble.at_s, trouble.kind, trouble.for_s, trouble.size) for trouble in own]


def one(seed, seconds, nodes):
    """One run in a process of its own; its Verdict."""
    told = subprocess.run(
        [sys.executable, '-m', 'lilacdyke.trial.soak', json.dumps([seed, seconds, nodes])],
        capture_output=True,
        timeout=3 * seconds + 60,
        check=False,
    )
    if told.returncode:
        why = told.stderr.decode(errors='replace').strip()[-400:]
        return Verdict(seed=seed, broken=[('crashed', 0.0, why)])
    return msgspec.json.decode(told.stdout.splitlines()[-1], type=Verdict)


def main():
    begun = time.monotonic()
    found = once(*json.loads(sys.argv[1]))
    print('%.0f s' % (time.monotonic() - begun), file=sys.stderr)
    print(msgspec.json.encode(found).decode())


if __name__ == '__main__':
    main()
