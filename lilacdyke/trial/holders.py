"""Leases for tasks among real processes: planners that vote, processes that seek one task and act on a
resource, a relay on every link, faults by seed.

Owns the resource (it refuses numbers lower than one it has seen), the faults, and the judge of acts and of
times of holding. Must never judge by what voters say, nor leave a process behind.

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
from .environment import STILL, Stillness
from .relay import DOWN, UP, Relay

VOTERS, SEEKERS, LEASE, LENGTH = 3, 4, 0.4, 9.0
KEEPS = 0.02  # chance that a holder does not give the lease back at once
TROUBLES = {
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
STOPS = ('stop_seeker', 'stop_voter')
STEP = '<trial.seeker:Worker.looked'


def unsilent(put):
    usual = Voter.__init__

    def begin(self, now, *given):
        usual(self, now, *given)
        self.silent_until = now - 1

    put(Voter, '__init__', begin)


def forgetful(put):
    usual = Voter.ask
    put(
        Voter,
        'ask',
        lambda self, now, task, life, seq, number, mine: usual(self, now, task, life, seq, number, None),
    )


def same_number(put):
    def most_ask(self, now):
        self.number = max(self.granted.values())
        self.holds()

    put(Seeker, 'most_ask', most_ask)


def bookless(put):
    usual = VoterFile.read

    def read(self):
        usual(self)
        self.bound = 0
        return self

    put(VoterFile, 'read', read)


def looks_once(put):
    put(Seeker, 'held', lambda self, now: self.until is not None)


def anybody_releases(put):
    usual = Voter.released
    put(
        Voter, 'released', lambda self, task, life, mine: usual(self, task, mine.life if mine else life, mine)
    )


# Broken forms that trials must find; more of them are found by the search (tests/plan/test_leases.py).
BROKEN = {
    'unsilent': unsilent,
    'forgetful': forgetful,
    'same-number': same_number,
    'bookless': bookless,
    'looks-once': looks_once,
    'anybody-releases': anybody_releases,
}


class Verdict(msgspec.Struct, kw_only=True):
    """What came of one trial. changes: of the holder; gaps: seconds without a holder, the longest; still: how
    long the machine stood still."""

    seed: int
    broken: list[tuple[str, float, str]] = []
    kinds: list[str] = []
    changes: int = 0
    acts: int = 0
    refused: int = 0
    longest: float = 0.0
    still: float = 0.0
    void: bool = False


class AtResource(Protocol):
    """One process at the resource."""

    def __init__(self, resource):
        self.resource, self.rest = resource, b''

    def dataReceived(self, data):
        *lines, self.rest = (self.rest + data).split(b'\n')
        for line in lines:
            verb, number, name = line.split()
            answer = self.resource.told(verb.decode(), int(number), name.decode())
            if answer is not None:
                self.transport.write(b'yes\n' if answer else b'no\n')


class Resource(Factory):
    """What is acted on. rows: (when, verb, number, who, whether it was taken), on the driver's clock."""

    noisy = False

    def __init__(self):
        self.highest, self.rows = 0, []

    def buildProtocol(self, addr):
        return AtResource(self)

    def told(self, verb, number, name):
        taken = number >= self.highest
        if taken:
            self.highest = number
        self.rows.append((time.monotonic(), verb, number, name, taken))
        return taken if verb == 'begin' else None


class Field:
    """One trial's processes and links."""

    keeps, lease = KEEPS, LEASE

    def __init__(self, seed, folder, reactor, mutant=None):
        self.seed, self.folder, self.reactor, self.mutant = seed, folder, reactor, mutant
        self.zero, self.draw = time.monotonic(), Random('holders/%d' % seed)
        self.resource, self.relays, self.running, self.closing, self.kinds = Resource(), {}, {}, False, []
        while True:
            self.port = 20_000 + Random(os.urandom(4)).randrange(9_000) * 2
            self.kept = System.hold('lilacdyke-holders/%d' % self.port)
            if self.kept is not None:
                break
        reactor.listenTCP(self.port, self.resource, 64, '127.9.1.1')
        self.bends = {name: self.bent() for name in self.names()}
        for name in self.names():
            self.write(name)

    @staticmethod
    def names():
        return ['p%d' % number for number in range(VOTERS)] + ['s%d' % number for number in range(SEEKERS)]

    def bent(self):
        """Clocks up to a twentieth apart, some whose Unix time steps, by an hour back too."""
        found = {'rate': self.draw.choice([0.976, 1.0, 1.024])}
        if self.draw.random() < 0.3:
            found['jumps'] = [[self.draw.uniform(1, 6), self.draw.choice([-3600.0, 3600.0])]]
        return found

    # --- as relays have it --------------------------------------------------------------------------------

    def clock(self):
        return int((time.monotonic() - self.zero) * 1e6)

    def later(self, wait, call, *given):
        return self.reactor.callLater(max(0, wait) / 1e6, call, *given)

    def random_source(self, name):
        return Random('%d/%s' % (self.seed, name))

    # --- processes --------------------------------------------------------------------------------------

    def write(self, name):
        """Its fleet file: a seeker reaches each voter through a relay of its own."""
        rows = []
        for number in range(VOTERS):
            there = ('127.9.0.%d' % (number + 1), self.port)
            if name[0] == 's':
                here = ('127.%d.%d.1' % (100 + int(name[1:]), number + 1), self.port)
                relay = self.relays[name, 'p%d' % number] = Relay(
                    self, '%s>p%d' % (name, number), here, there
                )
                relay.open()
            rows.append({'name': 'p%d' % number, 'address': '%s:%d' % (here if name[0] == 's' else there)})
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
        """Start a process; stops: how often it stops itself between look and act."""
        if self.closing or name in self.running:
            return
        bends = dict(self.bends[name], history=self.history(name))
        if self.mutant:
            bends['mutant'] = self.mutant
        if stops:
            bends['stops'] = {STEP: stops}
        path = os.path.join(self.folder, name + '.toml')
        words = (
            ['plan', '--file', path, '--name', name]
            if name[0] == 'p'
            else ['seek', path, name, '127.9.1.1', str(self.port), self.history(name), str(self.keeps)]
        )
        with open(os.path.join(self.folder, name + '.log'), 'ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', 'lilacdyke.trial.launch', json.dumps(bends), *words],
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

    # --- troubles ---------------------------------------------------------------------------------------

    def begin(self):
        for name in self.names():
            self.start(name)
        names = sorted(TROUBLES)
        for _ in range(self.draw.randint(3, 9)):
            kind = self.draw.choices(names, [TROUBLES[name] for name in names])[0]
            self.kinds.append(kind)
            self.reactor.callLater(
                self.draw.uniform(1.5, LENGTH - 2),
                getattr(self, 'do_' + kind),
                self.draw.uniform(0.05, 3 * LEASE),
            )

    def pick(self, letter):
        return self.draw.choice([name for name in self.names() if name[0] == letter])

    def do_kill_voter(self, span):
        name = self.pick('p')
        self.kill(name)
        self.reactor.callLater(span, self.start, name)

    def do_all_voters(self, span):
        for number in range(VOTERS):
            self.kill('p%d' % number)
            self.reactor.callLater(0.1, self.start, 'p%d' % number)

    def do_stop_voter(self, span):
        self.stop(self.pick('p'), span)

    def stop(self, name, span):
        self.signal(name, signal.SIGSTOP)
        self.reactor.callLater(span, self.signal, name, signal.SIGCONT)

    def do_kill_seeker(self, span):
        """Killed, and there again; half of those that come back stop themselves between look and act, for up
        to three leases."""
        name = self.pick('s')
        self.kill(name)
        if self.draw.random() < 0.5:
            self.kinds.append('stop_seeker')
            self.reactor.callLater(0.1, self.start, name, 2)
            for wait in (1.0, 1.5 + span, 2.5 + 2 * span):
                self.reactor.callLater(wait, self.signal, name, signal.SIGCONT)
        else:
            self.reactor.callLater(span, self.start, name)

    def do_stop_seeker(self, span):
        self.stop(self.pick('s'), span)

    def links(self):
        """The links of one seeker, or those to one voter; some of them."""
        name = self.draw.choice(self.names())
        found = [relay for pair, relay in sorted(self.relays.items()) if name in pair]
        return self.draw.sample(found, self.draw.randint(1, len(found)))

    def for_a_while(self, change, span, relays=None):
        relays = relays or self.links()
        for relay in relays:
            change(relay)
            relay.moved()
        self.reactor.callLater(span, lambda: [relay.heal() for relay in relays])

    def ways(self, relay):
        return self.draw.choice([relay.ways, relay.ways[DOWN:], relay.ways[: UP + 1]])

    def do_way_cut(self, span):
        self.for_a_while(lambda relay: [setattr(way, 'cut', True) for way in self.ways(relay)], span)

    def do_apart(self, span):
        """One seeker from all voters, one way or both."""
        name, which = self.pick('s'), self.draw.choice([slice(None), slice(DOWN, None), slice(UP + 1)])
        self.for_a_while(
            lambda relay: [setattr(way, 'cut', True) for way in relay.ways[which]],
            span,
            [self.relays[name, 'p%d' % number] for number in range(VOTERS)],
        )

    def do_way_late(self, span):
        def change(relay):
            for way in relay.ways:
                way.late, way.jitter = self.draw.randint(0, 300_000), self.draw.randint(0, 300_000)

        self.for_a_while(change, span)

    def do_way_tear(self, span):
        self.for_a_while(
            lambda relay: [setattr(way, 'torn', self.draw.randint(1, 60)) for way in self.ways(relay)], span
        )

    def do_way_reset(self, span):
        self.for_a_while(lambda relay: relay.reset(), span)

    def do_way_replay(self, span):
        def change(relay):
            relay.reset()
            relay.tells_old = True

        self.for_a_while(change, span)

    def end(self):
        self.closing = True
        for name in list(self.running):
            self.kill(name)
        self.reactor.stop()

    # --- judging ----------------------------------------------------------------------------------------

    def told(self):
        """What seekers wrote of their leases: [(when, who, process, what, number)], in order of time."""
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

    def judged(self):
        """(what is broken, changes of holder, the longest time without one)."""
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
        seen, holder, free, longest, changes = {}, None, None, 0.0, 0
        stopped = any(kind in STOPS for kind in self.kinds)
        told = self.told()
        for at, name, pid, what, number in told:
            if what == 'got':
                changes += 1
                if number in seen:
                    broken.append(
                        ('number', at - self.zero, '%d to %s and to %s' % (number, seen[number], name))
                    )
                seen[number] = name
                # A killed one says nothing more.
                if (
                    holder is not None
                    and holder[0] != (name, pid)
                    and not stopped
                    and self.alive(told, holder[0], at)
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
    def alive(told, process, at):
        """Whether a process of the trial's was there then: it wrote something later."""
        name, pid = process
        later = [row for row in told if row[1] == name and row[0] > at]
        return bool(later) and later[0][2] == pid


def once(seed, mutant=None):
    """Play and judge one trial in this process."""
    reactor = Reactor()
    with tempfile.TemporaryDirectory() as folder:
        still = Stillness(folder)
        field = Field(seed, folder, reactor, mutant)
        reactor.callWhenRunning(field.begin)
        reactor.callLater(LENGTH, field.end)
        reactor.run()
        stood = still.longest()
        broken, changes, longest = field.judged()
    rows = field.resource.rows
    return Verdict(
        seed=seed,
        broken=broken,
        kinds=sorted(field.kinds),
        changes=changes,
        longest=longest,
        still=stood,
        void=stood > STILL,
        acts=sum(row[1] == 'begin' and row[4] for row in rows),
        refused=sum(not row[4] for row in rows),
    )


def one(seed, mutant=None):
    """One trial in a process of its own, again if it was void; its Verdict."""
    for _ in range(3):
        told = subprocess.run(
            [sys.executable, '-m', 'lilacdyke.trial.holders', '--play', json.dumps([seed, mutant])],
            capture_output=True,
            timeout=60,
        )
        if told.returncode:
            return Verdict(
                seed=seed,
                broken=[
                    ('crashed', 0.0, told.stderr.decode(errors='replace').strip().rsplit('\n', 1)[-1][:200])
                ],
            )
        found = msgspec.json.decode(told.stdout.splitlines()[-1], type=Verdict)
        if not found.void:
            break
    else:
        found.broken.append(('void', 0.0, 'the machine stood still for %.2f s' % found.still))
    return found


@click.command()
@click.option('--seeds', type=click.IntRange(1), default=20, show_default=True)
@click.option('--first', type=int, default=1, show_default=True)
@click.option('--jobs', type=click.IntRange(1, 16), default=4, show_default=True)
@click.option('--mutant', type=click.Choice(sorted(BROKEN)))
@click.option('--play', hidden=True)
def main(seeds, first, jobs, mutant, play):
    """Play and judge trials of leases."""
    if play:
        return click.echo(msgspec.json.encode(once(*json.loads(play))).decode())
    found = []
    with ThreadPoolExecutor(jobs) as pool:
        for verdict in pool.map(lambda seed: one(seed, mutant), range(first, first + seeds)):
            found.append(verdict)
            for rule, when, text in verdict.broken[:2]:
                click.echo(
                    'seed %d: broken: %s at %.3f s: %s (%s)'
                    % (verdict.seed, rule, when, text, ', '.join(verdict.kinds))
                )
    broken = [verdict for verdict in found if verdict.broken]
    click.echo(
        '%d trials, %d changes of holder (median %d a run), %d acts, %d old ones refused; longest without a holder: median %.2f s, most %.2f s; broken: %d'
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
