"""The sweep of files: a short scenario of a writer's or a voter's file, again and again, each time with one
call failing, falling short, or being where the process is killed.

Owns the scenarios, the points and the judging, in the manner of SQLite's tests of I/O errors. A run that
fails is told by its point alone. Must never pass a run whose file cannot be read again, or lacks what was
told as kept, or has what was told as refused.
"""

import contextlib
import tempfile
from unittest import mock

import attrs

from ..changes import store
from ..changes.replica import Replica
from ..changes.writer import ChangePut, NotStoredError, Writer
from ..plan.voter_file import VoterFile
from ..values import InvalidValueError
from . import bentfiles
from .callfaults import ERRNOS, FILE_CALLS, CallFault, CallFaults

KEYS = {'limit': 'number'}
SHORT_FILE = 4  # lines from which the scenario's writer shortens its file
ONCE, ON, KILL = 'once', 'on', 'kill'


class Killed(BaseException):  # noqa: N818  it ends a process and is no error of the program
    """The process ends here."""


@attrs.frozen
class Point:
    """Which call, the how-manieth of its kind, and how it fails: ONCE, ON from there on, or KILL.

    errno: what it fails with; 0 where the process is killed. prefix: bytes that a write still takes before
    that; None: the call itself fails.
    """

    scenario: str
    call: str
    number: int
    errno: int
    how: str
    prefix: int | None = None

    def rules(self):
        """The rules that bring it about."""
        first = self.number
        if self.prefix is not None:
            yield CallFault('write', size=self.prefix, first=first, count=1)
            first += 1
        count = None if self.how == ON else 1
        yield CallFault(self.call, self.errno, first, count, kill=self.how == KILL)


class SweepFaults:
    """What bentfiles asks: the rules of a point, and the sizes of the writes of a run without one."""

    def __init__(self, rules=()):
        self.calls = CallFaults()
        self.calls.put(rules)

    def fail(self, call):
        rule = self.calls.check(call)
        if rule is None:
            return None
        if rule.kill:
            raise Killed
        if rule.errno:
            raise OSError(rule.errno, 'injected')
        return rule.size

    @contextlib.contextmanager
    def beneath(self):
        """These faults beneath the file calls of this process meanwhile."""
        held = bentfiles.saved()
        bentfiles.bend_files(self)
        try:
            yield
        finally:
            bentfiles.restore(held)


class WriterSweep:
    """A writer that starts on a file, shortens it, and puts changes."""

    name, most_prefix = 'writer', 100

    def __init__(self, folder):
        self.folder, self.kept, self.unsure = folder, [], []
        self.limit = mock.patch.object(store, 'COMPACT_FROM_LINES', SHORT_FILE)
        with self.limit:
            self.live((1, 2, 3))

    def live(self, values):
        """One life of the writer."""
        opened = store.Store(self.folder)
        try:
            writer = Writer(Replica('w', 'w'), KEYS, opened.append_record, opened.lines)
            for value in values:
                self.put(writer, value)
        finally:
            opened.close()

    def put(self, writer, value):
        self.unsure.append(value)  # until it is told, as the process may end
        try:
            writer.put('config', [('limit', str(value))], value)
        except NotStoredError as err:
            if 'may come back' not in str(err):
                self.unsure.remove(value)
        else:
            self.unsure.remove(value)
            self.kept.append(value)

    def run(self):
        """What happens under faults."""
        with self.limit, contextlib.suppress(InvalidValueError):  # a start that fails says so in one line
            self.live((4, 5, 6))

    def broken(self):
        """What is wrong with the file afterwards, or None."""
        with self.limit:
            self.live((7,))
        shown = self.values(store.read(self.folder))
        if [value for value in shown if value not in self.unsure] != self.expected(shown):
            return 'file has %s, told as kept %s, unsure %s' % (shown, self.kept, self.unsure)
        return None

    def expected(self, shown):
        """What was told as kept, less what a shortening, which always keeps the newest, took together."""
        lost = [value for value in self.kept if value not in shown]
        whole = not lost or shown and max(lost) < min(shown)
        return [value for value in self.kept if value not in lost] if whole else self.kept

    @staticmethod
    def values(lines):
        """The values that a file holds, in order."""
        found = []
        for line in lines:
            if isinstance(line, ChangePut):
                found.append(int(line.change.items[0].value))
            elif hasattr(line, 'configuration') and line.configuration:
                found.append(int(line.configuration['limit']))
        return found


class VoterSweep:
    """A voter that writes down ever higher bounds."""

    name, most_prefix = 'voter', 80

    def __init__(self, folder):
        self.folder, self.told, self.most = folder, 1, 1
        VoterFile(folder, 'p0').write(1, ['p0'], 1)

    def run(self):
        """What happens under faults."""
        voter_file = VoterFile(self.folder, 'p0')
        with contextlib.suppress(InvalidValueError):
            voter_file.read()
            for bound in (1_001, 2_001, 3_001):
                self.most = bound
                with contextlib.suppress(OSError):
                    voter_file.write(bound, ['p0'], 1)
                    self.told = bound

    def broken(self):
        """What is wrong with the file afterwards, or None."""
        found = VoterFile(self.folder, 'p0').read().bound
        if not self.told <= found <= self.most:
            return 'file has %d, told as kept %d' % (found, self.told)
        return None


SCENARIOS = {kind.name: kind for kind in (WriterSweep, VoterSweep)}


def play(point):
    """Play a scenario with a point's fault; what is broken, or None."""
    with tempfile.TemporaryDirectory() as folder:
        made = SCENARIOS[point.scenario](folder)
        try:
            with SweepFaults(point.rules()).beneath():
                made.run()
        except Killed:
            pass
        except Exception as err:
            return 'raised %s: %s' % (type(err).__name__, str(err).replace(folder, ''))
        try:
            return made.broken()
        except (InvalidValueError, OSError) as err:
            return 'cannot be read again: %s' % str(err).replace(folder, '')


def counted(scenario):
    """How many calls of each kind a run without faults makes."""
    with tempfile.TemporaryDirectory() as folder:
        made, faults = SCENARIOS[scenario](folder), SweepFaults()
        with faults.beneath():
            made.run()
    return {call: faults.calls.made[call] for call in FILE_CALLS if faults.calls.made[call]}


def points(scenario, every=1):
    """All points of a scenario; every: only each so-manieth prefix of a write."""
    for call, most in counted(scenario).items():
        for number in range(1, most + 1):
            yield Point(scenario, call, number, 0, KILL)
            for error in ERRNOS[call]:
                yield Point(scenario, call, number, error, ONCE)
                yield Point(scenario, call, number, error, ON)
            if call == 'write':
                for prefix in range(1, SCENARIOS[scenario].most_prefix, every):
                    yield Point(scenario, call, number, 0, KILL, prefix)
                    yield Point(scenario, call, number, ERRNOS[call][0], ONCE, prefix)


def sweep(scenario, every=1):
    """Play all points: (how many, [(point, what is broken)])."""
    found, count = [], 0
    for point in points(scenario, every):
        count += 1
        wrong = play(point)
        if wrong is not None:
            found.append((point, wrong))
    return count, found
