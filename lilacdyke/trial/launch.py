"""Starts the shipped program with injected faults: clock skew, stops and kills at named steps, a mutant.

    python -m lilacdyke.trial.launch FAULTS COMMAND ...

The faults are set up before the program's own command line runs. Must never be imported by the program.

FAULTS is a JSON object:
    rate     speed of the process's clock; 1.05 is 5 % fast
    jumps    [[after s, by s], ...]: steps of the wall clock; the monotonic clock never steps
    stops    {step: times}: the process stops itself (SIGSTOP) the first so many times it reaches the step
    dies     {step: n}: the process is killed (SIGKILL) the n-th time it reaches the step
    steps    [step, ...]: steps that are only recorded in the history
    eyes     true: record in the history what the process observes of servers (lab/observations.py)
    history  path of a file that gets a JSON line per event, stamped with the machine's monotonic clock
    mutant   name of a mutant in lab/mutants.py or holders.py
A step is `module:Class.method` under lilacdyke, prefixed with `<` for its entry or `>` for its return.
"""

import importlib
import json
import os
import signal
import sys
import time
from functools import wraps

MACHINE_CLOCK = time.monotonic  # not affected by clock faults


class History:
    """The event log of one process. Each line is written by a single system call, so that a kill cannot
    truncate it."""

    def __init__(self, path):
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if path else None

    def record(self, what, **more):
        """Append one event."""
        if self.fd is not None:
            os.write(
                self.fd,
                json.dumps(dict(more, at=MACHINE_CLOCK(), pid=os.getpid(), what=what)).encode() + b'\n',
            )


def skew_clocks(process_faults):
    """Skew the clocks of this process. Must run before any library that reads the wall clock is imported."""
    start, rate = MACHINE_CLOCK(), process_faults.get('rate', 1.0)
    jumps = sorted(process_faults.get('jumps', []))
    wall = time.time() - start  # noqa: TID251

    def elapsed():
        return start + (MACHINE_CLOCK() - start) * rate

    def wall_clock():
        return wall + elapsed() + sum(by for after, by in jumps if MACHINE_CLOCK() - start >= after)

    time.time = wall_clock  # noqa: TID251
    from ..net.system import System

    System.elapsed, System.wall = staticmethod(elapsed), staticmethod(wall_clock)


def resolve_step(step):
    """Return (class, method name) of a step."""
    module, _, path = step.partition(':')
    owner = importlib.import_module('lilacdyke.' + module)
    *outer, name = path.split('.')
    for part in outer:
        owner = getattr(owner, part)
    return owner, name


class StepHook:
    """Records that the program reaches a step, and stops or kills the process there."""

    def __init__(self, step, history, stops, dies):
        self.step, self.history, self.stops, self.dies = step, history, stops, dies

    def on_reached(self):
        """Record the step, then kill or stop the process if its turn has come."""
        self.history.record('step', step=self.step)
        if self.dies == 1:
            os.kill(os.getpid(), signal.SIGKILL)
        self.dies -= 1
        if self.stops > 0:
            self.stops -= 1
            os.kill(os.getpid(), signal.SIGSTOP)


def hook_step(step, history, stops, dies):
    """Wrap the method of a step with a StepHook."""
    owner, name = resolve_step(step[1:])
    hook, original = StepHook(step, history, stops, dies), getattr(owner, name)

    @wraps(original)
    def hooked(*given, **named):
        if step[0] == '<':
            hook.on_reached()
        result = original(*given, **named)
        if step[0] == '>':
            hook.on_reached()
        return result

    setattr(owner, name, hooked)


def die_with_parent():
    """Have the kernel kill this process when its parent ends in any way."""
    import ctypes

    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))
    if os.getppid() == 1:
        sys.exit(1)


def apply_mutant(name):
    """Apply a mutant to the program in this process."""
    from random import Random

    from .holders import LEASE_MUTANTS

    if name in LEASE_MUTANTS:
        return LEASE_MUTANTS[name](setattr)
    from ..lab.mutants import MUTANTS

    MUTANTS[name].build(setattr, Random(name).random)


def prepare(process_faults):
    """Set up these faults and return the History."""
    die_with_parent()
    if 'rate' in process_faults or 'jumps' in process_faults:
        skew_clocks(process_faults)
    if 'mutant' in process_faults:
        apply_mutant(process_faults['mutant'])
    history = History(process_faults.get('history'))
    if process_faults.get('eyes'):
        from ..lab import observations

        observations.open_up(setattr, lambda kind, *fields: history.record('eyes', row=[kind, *fields]))
    stops, dies = process_faults.get('stops', {}), process_faults.get('dies', {})
    for step in dict.fromkeys([*stops, *dies, *process_faults.get('steps', [])]):
        hook_step(step, history, stops.get(step, 0), dies.get(step, 0))
    return history


def main():
    """Set up the faults, then run the program's own command line."""
    prepare(json.loads(sys.argv[1]))
    if sys.argv[2] == 'seek':
        from .seeker import main as seek

        return seek(*sys.argv[3:])
    from ..__main__ import main as program

    program(sys.argv[2:], prog_name='lilacdyke')


if __name__ == '__main__':
    main()
