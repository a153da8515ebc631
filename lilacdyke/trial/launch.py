"""Starts the program as it ships, with its clock bent, stopped at named steps, and its steps written down.

    python -m lilacdyke.trial.launch BENDS COMMAND ...

Owns what a trial changes in a process before the program's own command line runs: the clock that `net/system.py` gives, a
signal at a step, a mutant. The shipped program knows nothing of it. Must never be imported by the program.

BENDS is a JSON object:
    rate     how fast the process's clock runs, 1.05 for 5 % too fast
    jumps    [[after s, by s], ...]: Unix time steps by so much then; the monotonic clock never does
    stops    {step: times}: the process stops itself (SIGSTOP) that often when it comes to a step
    dies     {step: times}: it is killed there, the so-manieth time
    eyes     true: what it saw of servers, and the words that act there, are in its history (lab/eyes.py)
    history  a file: what the process did, a JSON line each, stamped with this machine's monotonic clock
    mutant   a broken form of the program that judges must catch, by its name in lab/mutants.py
A step is `module:Class.method` under lilacdyke, with `<` before it for its begin and `>` for its end.
"""

import importlib
import json
import os
import signal
import sys
import time
from functools import wraps

MACHINE = time.monotonic  # the one true clock: no bend reaches it


class History:
    """What one process did. A line is written whole by one call to the system, so that a kill leaves no
    half."""

    def __init__(self, path):
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if path else None

    def tell(self, what, **more):
        """One line."""
        if self.fd is not None:
            os.write(
                self.fd, json.dumps(dict(more, at=MACHINE(), pid=os.getpid(), what=what)).encode() + b'\n'
            )


def bend(bends):
    """The clocks of this process, from here on; the wall clock beneath the libraries, which are not imported
    yet."""
    start, rate = MACHINE(), bends.get('rate', 1.0)
    jumps = sorted(bends.get('jumps', []))
    wall = time.time() - start  # noqa: TID251

    def elapsed():
        return start + (MACHINE() - start) * rate

    def stepped():
        return wall + elapsed() + sum(by for after, by in jumps if MACHINE() - start >= after)

    time.time = stepped  # noqa: TID251
    from ..net.system import System

    System.elapsed, System.wall = staticmethod(elapsed), staticmethod(stepped)


def find(step):
    """Whose method a step is: (class, its name)."""
    module, _, path = step.partition(':')
    owner = importlib.import_module('lilacdyke.' + module)
    *outer, name = path.split('.')
    for part in outer:
        owner = getattr(owner, part)
    return owner, name


class Step:
    """One step of the program, at which something may happen."""

    def __init__(self, step, history, stops, dies):
        self.step, self.history, self.stops, self.dies = step, history, stops, dies

    def reached(self):
        """The process is there."""
        self.history.tell('step', step=self.step)
        if self.dies == 1:
            os.kill(os.getpid(), signal.SIGKILL)
        self.dies -= 1
        if self.stops > 0:
            self.stops -= 1
            os.kill(os.getpid(), signal.SIGSTOP)


def watch(step, history, stops, dies):
    """Have a step noticed."""
    owner, name = find(step[1:])
    there, whole = Step(step, history, stops, dies), getattr(owner, name)

    @wraps(whole)
    def noticed(*given, **named):
        if step[0] == '<':
            there.reached()
        made = whole(*given, **named)
        if step[0] == '>':
            there.reached()
        return made

    setattr(owner, name, noticed)


def bound_to_parent():
    """Have the kernel kill this process with the one that started it, however that one ends."""
    import ctypes

    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))
    if os.getppid() == 1:
        sys.exit(1)


def mutate(name):
    """Break the program of this process."""
    from random import Random

    from .holders import BROKEN

    if name in BROKEN:
        return BROKEN[name](setattr)
    from ..lab.mutants import MUTANTS

    MUTANTS[name].build(setattr, Random(name).random)


def prepare(bends):
    """All that the bends ask for; the history."""
    bound_to_parent()
    if 'rate' in bends or 'jumps' in bends:
        bend(bends)
    if 'mutant' in bends:
        mutate(bends['mutant'])
    history = History(bends.get('history'))
    if bends.get('eyes'):
        from ..lab import eyes

        eyes.open_up(setattr, lambda kind, *fields: history.tell('eyes', row=[kind, *fields]))
    stops, dies = bends.get('stops', {}), bends.get('dies', {})
    for step in dict.fromkeys([*stops, *dies, *bends.get('steps', [])]):
        watch(step, history, stops.get(step, 0), dies.get(step, 0))
    return history


def main():
    """Prepare, then run the program's own command line."""
    prepare(json.loads(sys.argv[1]))
    if sys.argv[2] == 'seek':
        from .seeker import main as seek  # the program's own lease, with acts of the trial's

        return seek(*sys.argv[3:])
    from ..__main__ import main as program

    program(sys.argv[2:], prog_name='lilacdyke')


if __name__ == '__main__':
    main()
