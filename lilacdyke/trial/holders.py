"""Trials of task leases among real processes: planners that vote, processes that seek the lease of one task
and act on a resource, a relay on every link, and faults drawn from a seed.

The resource rejects fencing numbers lower than the highest it has seen. Must never rely on what voters
report, nor leave a process behind.

python -m lilacdyke.trial.holders [--seeds N] [--first N] [--jobs N] [--mutant NAME]
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

import click
import msgspec
from twisted.internet.protocol import Factory, Protocol

from ..lab.loopback import write_fleet
from ..net.sockets import Reactor
from ..net.system import System
from ..plan.leases import Seeker, Voter
from ..plan.voter_file import VoterFile
from .environment import MAX_STALL_S, StallMonitor
from .relay import DOWN, UP, Relay

VOTERS, SEEKERS, LEASE, LENGTH_S = 3, 4, 0.4, 9.0
KEEP_PROBABILITY = 0.02  # of a holder that does not release the lease after a few acts
FAULT_WEIGHTS = {
    'kill_voter': 4,
    'all_voters': 1,
    'stop_voter': 2,
    'kill_seeker': 3,
    'stop_seeker': 3,
    'way_cut': 4,
    'way_late': 3,
    'way_tear': 2,
    'way_reset': 2,
    'way_replay': 2,
    'apart': 3,
}
STOP_KINDS = ('stop_seeker', 'stop_voter')
STEP = '<trial.seeker:Worker.before_act'


def votes_at_once(put):
    original = Voter.__init__

    def begin(self, now, *given):
        original(self, now, *given)
        self.silent_until = now - 1

    put(Voter, '__init__', begin)


def ignores_lease(put):
    original = Voter.ask
    put(
        Voter,
        'ask',
        lambda self, now, task, life, seq, number, mine: original(self, now, task, life, seq, number, None),
    )


def reuses_number(put):
    def most_ask(self, now):
        self.number = max(self.granted.values())
        self.holds()

    put(Seeker, 'most_ask', most_ask)


def ignores_file(put):
    original = VoterFile.read

    def read(self):
        original(self)
        self.bound = 0
        return self

    put(VoterFile, 'read', read)


def never_expires(put):
    put(Seeker, 'held', lambda self, now: self.until is not None)


def releases_for_any(put):
    original = Voter.released
    put(
        Voter,
        'released',
        lambda self, task, life, mine: original(self, task, mine.life if mine else life, mine),
    )


# Mutants that trials must catch; the search catches more of them (tests/plan/test_leases.py).
LEASE_MUTANTS = {
    'unsilent': votes_at_once,
    'forgetful': ignores_lease,
    'same-number': reuses_number,
    'bookless': ignores_file,
    'looks-once': never_expires,
    'anybody-releases': releases_for_any,
}


class Verdict(msgspec.Struct, kw_only=True):
    """The result of one trial. changes: how often the lease was acquired; longest: longest time without a
    holder; still: longest stall of the machine; both in seconds."""

    seed: int
    broken: list[tuple[str, float, str]] = []
    kinds: list[str] = []
    changes: int = 0
    acts: int = 0
    refused: int = 0
    longest: float = 0.0
    still: float = 0.0
    void: bool = False


class ResourceConnection(Protocol):
    """The connection of one process to the resource."""

    def __init__(self, resource):
        self.resource, self.rest = resource, b''

    def dataReceived(self, data):
        *lines, self.rest = (self.rest + data).split(b'\n')
        for line in lines:
            verb, number, name = line.split()
            answer = self.resource.handle(verb.decode(), int(number), name.decode())
            if answer is not None:
                self.transport.write(b'yes\n' if answer else b'no\n')


class Resource(Factory):
    """The resource that holders act on. rows: (time, verb, number, process, accepted)."""

    noisy = False

    def __init__(self):
        self.highest, self.rows = 0, []

    def buildProtocol(self, addr):
        return ResourceConnection(self)

    def handle(self, verb, number, name):
        taken = number >= self.highest
        if taken:
            self.highest = number
        self.rows.append((time.monotonic(), verb, number, name, taken))
        return taken if verb == 'begin' else None


class LeaseTrial:
    """The processes, links and faults of one trial."""

    keep_probability, lease = KEEP_PROBABILITY, LEASE

    def __init__(self, seed, folder, reactor, mutant=None):
        self.seed, self.folder, self.reactor, self.mutant = seed, folder, reactor, mutant
        self.zero, self.rng = time.monotonic(), Random('holders/%d' % seed)
        self.resource, self.relays, self.running, self.closing, self.kinds = Resource(), {}, {}, False, []
        while True:
            self.port = 20_000 + Random(os.urandom(4)).randrange(9_000) * 2
            self.kept = System.hold('lilacdyke-holders/%d' % self.port)
            if self.kept is not None:
                break
        reactor.listenTCP(self.port, self.resource, 64, '127.9.1.1')
        self.process_faults = {name: self.draw_clock_faults() for name in self.names()}
        for name in self.names():
            self.write(name)

    @staticmethod
    def names():
        return ['p%d' % number for number in range(VOTERS)] + ['s%d' % number for number in range(SEEKERS)]

    def draw_clock_faults(self):
        """Draw clock rates up to 5 % apart and steps of the wall clock of an hour either way."""
        found = {'rate': self.rng.choice([0.976, 1.0, 1.024])}
        if self.rng.random() < 0.3:
            found['jumps'] = [[self.rng.uniform(1, 6), self.rng.choice([-3600.0, 3600.0])]]
        return found

    # --- interface of relays ------------------------------------------------------------------------------

    def clock(self):
        return int((time.monotonic() - self.zero) * 1e6)

    def later(self, wait, call, *given):
        return self.reactor.callLater(max(0, wait) / 1e6, call, *given)

    def random_source(self, name):
        return Random('%d/%s' % (self.seed, name))

    # --- processes --------------------------------------------------------------------------------------

    def write(self, name):
        """Write the fleet file of a process; a seeker reaches each voter through a separate relay."""
        rows = []
        for number in range(VOTERS):
            voter_address = ('127.9.0.%d' % (number + 1), self.port)
            if name[0] == 's':
                relay_address = ('127.%d.%d.1' % (100 + int(name[1:]), number + 1), self.port)
                relay = self.relays[name, 'p%d' % number] = Relay(
                    self, '%s>p%d' % (name, number), relay_address, voter_address
                )
                relay.open()
            rows.append(
                {
                    'name': 'p%d' % number,
                    'address': '%s:%d' % (relay_address if name[0] == 's' else voter_address),
                }
            )
        folder = os.path.join(self.folder, name)
        os.mkdir(folder)
        write_fleet(
            folder + '.toml',
            {
                'enabled': True,
                'installation': 'holders',
                'seats': 1,
                'planner': rows,
                'tasks': {'folder': folder, 'lease_s': self.lease},
            },
        )
        if name[0] == 'p':
            subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'lilacdyke',
                    'task',
                    'voter',
                    '--file',
                    folder + '.toml',
                    '--name',
                    name,
                ],
                check=True,
                timeout=30,
            )

    def start(self, name, stops=0):
        """Start a process. stops: how often it stops itself between checking the lease and acting."""
        if self.closing or name in self.running:
            return
        process_faults = dict(self.process_faults[name], history=self.history(name))
        if self.mutant:
            process_faults['mutant'] = self.mutant
        if stops:
            process_faults['stops'] = {STEP: stops}
        path = os.path.join(self.folder, name + '.toml')
        words = (
            ['plan', '--file', path, '--name', name]
            if name[0] == 'p'
            else [
                'seek',
                path,
                name,
                '127.9.1.1',
                str(self.port),
                self.history(name),
                str(self.keep_probability),
            ]
        )
        with open(os.path.join(self.folder, name + '.log'), 'ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', 'lilacdyke.trial.launch', json.dumps(process_faults), *words],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def history(self, name):
        return os.path.join(self.folder, name + '.history')

    def kill(self, name):
        running = self.running.pop(name, None)
        if running is not None:
            running.kill()
            running.wait()

    def signal(self, name, number):
        running = self.running.get(name)
        if running is not None and running.poll() is None:
            running.send_signal(number)

    # --- faults -----------------------------------------------------------------------------------------

    def begin(self):
        for name in self.names():
            self.start(name)
        names = sorted(FAULT_WEIGHTS)
        for _ in range(self.rng.randint(3, 9)):
            kind = self.rng.choices(names, [FAULT_WEIGHTS[name] for name in names])[0]
            self.kinds.append(kind)
            self.reactor.callLater(
                self.rng.uniform(1.5, LENGTH_S - 2),
                getattr(self, 'do_' + kind),
                self.rng.uniform(0.05, 3 * LEASE),
            )

    def choose_process(self, letter):
        return self.rng.choice([name for name in self.names() if name[0] == letter])

    def do_kill_voter(self, span):
        name = self.choose_process('p')
        self.kill(name)
        self.reactor.callLater(span, self.start, name)

    def do_all_voters(self, span):
        for number in range(VOTERS):
            self.kill('p%d' % number)
            self.reactor.callLater(0.1, self.start, 'p%d' % number)

    def do_stop_voter(self, span):
        self.stop(self.choose_process('p'), span)

    def stop(self, name, span):
        self.signal(name, signal.SIGSTOP)
        self.reactor.callLater(span, self.signal, name, signal.SIGCONT)

    def do_kill_seeker(self, span):
        """Kill and restart a seeker; in half of the cases it then stops itself between checking the lease and
        acting."""
        name = self.choose_process('s')
        self.kill(name)
        if self.rng.random() < 0.5:
            self.kinds.append('stop_seeker')
            self.reactor.callLater(0.1, self.start, name, 2)
            for wait in (1.0, 1.5 + span, 2.5 + 2 * span):
                self.reactor.callLater(wait, self.signal, name, signal.SIGCONT)
        else:
            self.reactor.callLater(span, self.start, name)

    def do_stop_seeker(self, span):
        self.stop(self.choose_process('s'), span)

    def links(self):
        """Return a random subset of the links of one seeker or voter."""
        name = self.rng.choice(self.names())
        found = [relay for pair, relay in sorted(self.relays.items()) if name in pair]
        return self.rng.sample(found, self.rng.randint(1, len(found)))

    def apply_for(self, change, span, relays=None):
        relays = relays or self.links()
        for relay in relays:
            change(relay)
            relay.flush()
        self.reactor.callLater(span, lambda: [relay.heal() for relay in relays])

    def directions(self, relay):
        return self.rng.choice([relay.directions, relay.directions[DOWN:], relay.directions[: UP + 1]])

    def do_way_cut(self, span):
        self.apply_for(
            lambda relay: [setattr(direction, 'cut', True) for direction in self.directions(relay)], span
        )

    def do_apart(self, span):
        """Partition one seeker from all voters, in one direction or both."""
        name, which = (
            self.choose_process('s'),
            self.rng.choice([slice(None), slice(DOWN, None), slice(UP + 1)]),
        )
        self.apply_for(
            lambda relay: [setattr(direction, 'cut', True) for direction in relay.directions[which]],
            span,
            [self.relays[name, 'p%d' % number] for number in range(VOTERS)],
        )

    def do_way_late(self, span):
        def change(relay):
            for direction in relay.directions:
                direction.delay, direction.jitter = self.rng.randint(0, 300_000), self.rng.randint(0, 300_000)

        self.apply_for(change, span)

    def do_way_tear(self, span):
        self.apply_for(
            lambda relay: [
                setattr(direction, 'cut_after', self.rng.randint(1, 60))
                for direction in self.directions(relay)
            ],
            span,
        )

    def do_way_reset(self, span):
        self.apply_for(lambda relay: relay.reset(), span)

    def do_way_replay(self, span):
        def change(relay):
            relay.reset()
            relay.replays = True

        self.apply_for(change, span)

    def end(self):
        self.closing = True
        for name in list(self.running):
            self.kill(name)
        self.reactor.stop()

    # --- checks -----------------------------------------------------------------------------------------

    def lease_events(self):
        """Return the lease events that seekers recorded: [(time, name, pid, what, number)], ordered by
        time."""
        rows = []
        for name in self.names():
            path = self.history(name)
            if name[0] == 's' and os.path.exists(path):
                with open(path, encoding='utf-8') as file:
                    rows += [
                        (line['at'], name, line['pid'], line['what'], line['number'])
                        for line in map(json.loads, file)
                        if line['what'] in ('got', 'lost')
                    ]
        return sorted(rows)

    def evaluate(self):
        """Return (violations, number of acquisitions, longest time without a holder in seconds)."""
        broken, highest, last = [], 0, None
        for at, verb, number, name, taken in self.resource.rows:
            if taken and verb == 'begin':
                if number < highest or number == highest and name != last:
                    broken.append(
                        (
                            'acts',
                            at - self.zero,
                            '%s acts with %d after %s with %d' % (name, number, last, highest),
                        )
                    )
                highest, last = number, name
        holders_by_number, holder, free, longest, changes = {}, None, None, 0.0, 0
        stopped = any(kind in STOP_KINDS for kind in self.kinds)
        events = self.lease_events()
        for at, name, pid, what, number in events:
            if what == 'got':
                changes += 1
                if number in holders_by_number:
                    broken.append(
                        (
                            'number',
                            at - self.zero,
                            'number %d given to %s and to %s' % (number, holders_by_number[number], name),
                        )
                    )
                holders_by_number[number] = name
                # A killed holder records no loss.
                if (
                    holder is not None
                    and holder[0] != (name, pid)
                    and not stopped
                    and self.wrote_later(events, holder[0], at)
                ):
                    broken.append(
                        (
                            'two',
                            at - self.zero,
                            '%s got %d while %s held %d' % (name, number, holder[0][0], holder[1]),
                        )
                    )
                if free is not None:
                    longest = max(longest, at - free)
                holder, free = ((name, pid), number), None
            elif holder is not None and holder[0] == (name, pid):
                holder, free = None, at
        return broken, changes, longest

    @staticmethod
    def wrote_later(events, process, at):
        """Return whether the process recorded an event after this time."""
        name, pid = process
        later = [row for row in events if row[1] == name and row[0] > at]
        return bool(later) and later[0][2] == pid


def run_in_process(seed, mutant=None):
    """Run and check one trial in this process."""
    reactor = Reactor()
    with tempfile.TemporaryDirectory() as folder:
        still = StallMonitor(folder)
        trial = LeaseTrial(seed, folder, reactor, mutant)
        reactor.callWhenRunning(trial.begin)
        reactor.callLater(LENGTH_S, trial.end)
        reactor.run()
        stood = still.longest()
        broken, changes, longest = trial.evaluate()
    rows = trial.resource.rows
    return Verdict(
        seed=seed,
        broken=broken,
        kinds=sorted(trial.kinds),
        changes=changes,
        longest=longest,
        still=stood,
        void=stood > MAX_STALL_S,
        acts=sum(row[1] == 'begin' and row[4] for row in rows),
        refused=sum(not row[4] for row in rows),
    )


def run_in_subprocess(seed, mutant=None):
    """Run one trial in a process of its own, repeating void runs; return its Verdict."""
    for _ in range(3):
        finished = subprocess.run(
            [sys.executable, '-m', 'lilacdyke.trial.holders', '--play', json.dumps([seed, mutant])],
            capture_output=True,
            timeout=60,
        )
        if finished.returncode:
            return Verdict(
                seed=seed,
                broken=[
                    (
                        'crashed',
                        0.0,
                        finished.stderr.decode(errors='replace').strip().rsplit('\n', 1)[-1][:200],
                    )
                ],
            )
        found = msgspec.json.decode(finished.stdout.splitlines()[-1], type=Verdict)
        if not found.void:
            break
    else:
        found.broken.append(('void', 0.0, 'the machine stalled for %.2f s' % found.still))
    return found


@click.command()
@click.option('--seeds', type=click.IntRange(1), default=20, show_default=True)
@click.option('--first', type=int, default=1, show_default=True)
@click.option('--jobs', type=click.IntRange(1, 16), default=4, show_default=True)
@click.option('--mutant', type=click.Choice(sorted(LEASE_MUTANTS)))
@click.option('--play', hidden=True)
def main(seeds, first, jobs, mutant, play):
    """Run and check trials of task leases."""
    if play:
        return click.echo(msgspec.json.encode(run_in_process(*json.loads(play))).decode())
    found = []
    with ThreadPoolExecutor(jobs) as pool:
        for verdict in pool.map(lambda seed: run_in_subprocess(seed, mutant), range(first, first + seeds)):
            found.append(verdict)
            for rule, when, text in verdict.broken[:2]:
                click.echo(
                    'seed %d: broken: %s at %.3f s: %s (%s)'
                    % (verdict.seed, rule, when, text, ', '.join(verdict.kinds))
                )
    broken = [verdict for verdict in found if verdict.broken]
    click.echo(
        '%d trials, %d changes of holder (median %d a run), %d acts, %d outdated acts refused; '
        'longest without a holder: median %.2f s, most %.2f s; broken: %d'
        % (
            len(found),
            sum(v.changes for v in found),
            sorted(v.changes for v in found)[len(found) // 2],
            sum(v.acts for v in found),
            sum(v.refused for v in found),
            sorted(v.longest for v in found)[len(found) // 2],
            max(v.longest for v in found),
            len(broken),
        )
    )
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
