"""Sweep of file faults: plays a short scenario of a writer's or a voter's file repeatedly, each time with one
call that fails, writes only a part, or at which the process is killed.

Similar to SQLite's I/O error tests. A failing run is identified by its point alone. A run fails if its file
cannot be read again, lacks what was acknowledged, or contains what was refused.
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
from . import file_faults
from .callfaults import ERRNOS, FILE_CALLS, CallFault, CallFaults

KEYS = {'limit': 'number'}
COMPACT_LINES = 4  # lines from which the scenario's writer compacts its file
ONCE, ON, KILL = 'once', 'on', 'kill'


class Killed(BaseException):  # noqa: N818  not an error: ends the simulated process
    """The process is killed."""


@attrs.frozen
class Point:
    """The n-th call of one kind and how it fails: ONCE, ON (all from it on), or KILL.

    errno: the error; 0 where the process is killed. prefix: bytes that a write accepts before the failure;
    None: the call itself fails.
    """

    scenario: str
    call: str
    number: int
    errno: int
    how: str
    prefix: int | None = None

    def rules(self):
        """Yield the rules that inject the fault."""
        first = self.number
        if self.prefix is not None:
            yield CallFault('write', size=self.prefix, first=first, count=1)
            first += 1
        count = None if self.how == ON else 1
        yield CallFault(self.call, self.errno, first, count, kill=self.how == KILL)


class SweepFaults:
    """The faults of a point, in the form that file_faults.py consults; also counts calls."""

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
    def injected(self):
        """Inject these faults into the file calls of this process."""
        originals = file_faults.current_functions()
        file_faults.bend_files(self)
        try:
            yield
        finally:
            file_faults.restore_functions(originals)


class WriterScenario:
    """A writer that opens its file, compacts it, and stores changes."""

    name, max_prefix = 'writer', 100

    def __init__(self, folder):
        self.folder, self.acknowledged, self.unacknowledged = folder, [], []
        self.limit = mock.patch.object(store, 'COMPACT_FROM_LINES', COMPACT_LINES)
        with self.limit:
            self.run_lifetime((1, 2, 3))

    def run_lifetime(self, values):
        """Run one process lifetime of the writer."""
        opened = store.Store(self.folder)
        try:
            writer = Writer(Replica('w', 'w'), KEYS, opened.append_record, opened.lines)
            for value in values:
                self.put(writer, value)
        finally:
            opened.close()

    def put(self, writer, value):
        self.unacknowledged.append(value)  # until acknowledged, since the process may end
        try:
            writer.put('config', [('limit', str(value))], value)
        except NotStoredError as err:
            if 'may come back' not in str(err):
                self.unacknowledged.remove(value)
        else:
            self.unacknowledged.remove(value)
            self.acknowledged.append(value)

    def run(self):
        """Run with faults injected."""
        with self.limit, contextlib.suppress(InvalidValueError):  # raised by a failing start
            self.run_lifetime((4, 5, 6))

    def find_damage(self):
        """Return what is wrong with the file afterwards, or None."""
        with self.limit:
            self.run_lifetime((7,))
        shown = self.values(store.read(self.folder))
        if [value for value in shown if value not in self.unacknowledged] != self.expected_values(shown):
            return 'file has %s, acknowledged %s, unacknowledged %s' % (
                shown,
                self.acknowledged,
                self.unacknowledged,
            )
        return None

    def expected_values(self, shown):
        """Return the acknowledged values, without those that compaction, which keeps the newest, dropped."""
        lost = [value for value in self.acknowledged if value not in shown]
        whole = not lost or shown and max(lost) < min(shown)
        return [value for value in self.acknowledged if value not in lost] if whole else self.acknowledged

    @staticmethod
    def values(lines):
        """Return the values in a file, in order."""
        found = []
        for line in lines:
            if isinstance(line, ChangePut):
                found.append(int(line.change.items[0].value))
            elif hasattr(line, 'configuration') and line.configuration:
                found.append(int(line.configuration['limit']))
        return found


class VoterScenario:
    """A voter that stores increasing bounds."""

    name, max_prefix = 'voter', 80

    def __init__(self, folder):
        self.folder, self.acknowledged_bound, self.highest = folder, 1, 1
        VoterFile(folder, 'p0').write(1, ['p0'], 1)

    def run(self):
        """Run with faults injected."""
        voter_file = VoterFile(self.folder, 'p0')
        with contextlib.suppress(InvalidValueError):
            voter_file.read()
            for bound in (1_001, 2_001, 3_001):
                self.highest = bound
                with contextlib.suppress(OSError):
                    voter_file.write(bound, ['p0'], 1)
                    self.acknowledged_bound = bound

    def find_damage(self):
        """Return what is wrong with the file afterwards, or None."""
        found = VoterFile(self.folder, 'p0').read().bound
        if not self.acknowledged_bound <= found <= self.highest:
            return 'file has %d, acknowledged %d' % (found, self.acknowledged_bound)
        return None


SCENARIOS = {kind.name: kind for kind in (WriterScenario, VoterScenario)}


def play(point):
    """Play a scenario with a point's fault; return what is wrong, or None."""
    with tempfile.TemporaryDirectory() as folder:
        made = SCENARIOS[point.scenario](folder)
        try:
            with SweepFaults(point.rules()).injected():
                made.run()
        except Killed:
            pass
        except Exception as err:
            return 'raised %s: %s' % (type(err).__name__, str(err).replace(folder, ''))
        try:
            return made.find_damage()
        except (InvalidValueError, OSError) as err:
            return 'cannot be read again: %s' % str(err).replace(folder, '')


def count_calls(scenario):
    """Return the number of calls by kind in a run without faults."""
    with tempfile.TemporaryDirectory() as folder:
        made, faults = SCENARIOS[scenario](folder), SweepFaults()
        with faults.injected():
            made.run()
    return {call: faults.calls.made[call] for call in FILE_CALLS if faults.calls.made[call]}


def points(scenario, every=1):
    """Yield all points of a scenario, with every `every`-th prefix of a write."""
    for call, count in count_calls(scenario).items():
        for number in range(1, count + 1):
            yield Point(scenario, call, number, 0, KILL)
            for error in ERRNOS[call]:
                yield Point(scenario, call, number, error, ONCE)
                yield Point(scenario, call, number, error, ON)
            if call == 'write':
                for prefix in range(1, SCENARIOS[scenario].max_prefix, every):
                    yield Point(scenario, call, number, 0, KILL, prefix)
                    yield Point(scenario, call, number, ERRNOS[call][0], ONCE, prefix)


def sweep(scenario, every=1):
    """Play all points; return (number of points, [(point, what is wrong)])."""
    found, count = [], 0
    for point in points(scenario, every):
        count += 1
        damage = play(point)
        if damage is not None:
            found.append((point, damage))
    return count, found
