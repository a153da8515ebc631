"""Random runs of a node beside heavy clients, with signals in series and a kill at the earliest time.

Each seed draws the settings, heavy clients and signals. Ordinary clients keep their connections and go
on sending on them until the kill. Judged are their answers, the process's memory and exit, and how often the
servers ran each request.

    python -m tests.overload.soak --first 1 --seeds 50 --jobs 4
"""

import contextlib
import itertools
import json
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random

import click

from .kept_clients import KeptClient
from .stand import Stand, settings

LIMITS = (0.4, 1.0, 3.0)  # seconds that clients wait at most
KILL_MARGIN = 0.7  # seconds between the longest limit after SIGTERM and SIGKILL (kit/real/PROTOCOL.md)
NEW_CONNECTIONS = 0.3  # seconds after SIGTERM in which clients still connect
FLOOD_AFTER = 2.0  # seconds that heavy clients go on after SIGTERM
LOG_LINES = 8  # of the node's log, shown where a seed is broken
WINDOW = 1.5  # seconds within which a guarded request may run again
FLOODS = (
    ('Pipeline', {}),
    ('Pipeline', {'path': '/read/k#', 'connections': 8}),
    ('Pipeline', {'short_fields': 400, 'path': '/read/k#'}),
    ('Pipeline', {'reads': False, 'connections': 4}),
    ('Pipeline', {'path': '/ready', 'connections': 2}),
    ('Singles', {'identity': False, 'connections': 20}),
    ('Singles', {'path': '/nowhere/k', 'connections': 4}),
)
CROWDS = (
    ('Crowd', {'short_fields': 2_000, 'method': 'PUT', 'body': 200_000}),
    ('Crowd', {'short_fields': 2_000, 'path': '/read/size-400000', 'rate': 20_000}),
    ('Crowd', {'method': 'PUT', 'body': 60_000}),
    ('Crowd', {'half_head': True}),
    ('Crowd', {'path': '/read/size-60000', 'rate': 0}),
    ('Crowd', {'path': '/ready'}),  # idle clients
)


class Run(Stand):
    """The run of one seed."""

    def __init__(self, seed):
        super().__init__()
        self.random = random = Random(seed)
        self.limit = random.choice(LIMITS)
        self.descriptors = random.choice((256, 384, 1024))
        self.memory_mb = random.choice((64, 96))
        self.floods = random.sample(FLOODS, random.choice((0, 1, 1, 2)))
        self.crowd = random.choice(CROWDS) if random.random() < 0.4 else None
        self.seconds, self.excused = random.uniform(2, 4), []
        self.hangups = sorted(random.uniform(0, self.seconds) for _ in range(random.choice((0, 0, 3))))
        self.signals_at_end = random.choice(
            (
                [signal.SIGTERM],
                [signal.SIGTERM, signal.SIGTERM],
                [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
            )
        )

    def settings(self):
        made = settings()
        for profile in made['profiles']:
            profile.update(serviceGoalS=self.limit / 2, hardLimitS=self.limit)
        return made

    def play(self):
        """Play the run and return what was broken, as lines of text."""
        with self.running():
            ids = itertools.count()
            clients = [KeptClient(self, self.random.random(), ids) for _ in range(8)]
            floods = [self.begin_flood(kind, options) for kind, options in self.heavy_clients()]
            self.send_hangups()
            for signum in self.signals_at_end:
                self.node.send_signal(signum)
            killed = time.monotonic() + min(3.0, self.limit) + KILL_MARGIN
            threading.Timer(NEW_CONNECTIONS, self.stop_connecting, (clients,)).start()
            peak = self.watch_until(killed)
            code = self.node.poll()
            self.node.kill()
            for client in clients:
                client.stop()
            for flood in floods:
                flood.kill()
            answers = [row for client in clients for row in client.answers]
            time.sleep(0.1)
            return self.judge(peak, code, answers)

    def heavy_clients(self):
        """Return the floods and the crowd, which is larger than the slots of a node with few descriptors."""
        crowd = [(self.crowd[0], {**self.crowd[1], 'clients': 300})] if self.crowd else []
        return self.floods + crowd

    def begin_flood(self, kind, options):
        return self.start(
            *(
                '-m',
                'tests.overload.floods',
                kind,
                str(self.port),
                str(self.seconds + FLOOD_AFTER),
                json.dumps(options),
            ),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def send_hangups(self):
        begun = time.monotonic()
        for at in (*self.hangups, self.seconds):
            time.sleep(max(0, begun + at - time.monotonic()))
            if at != self.seconds:
                self.node.send_signal(signal.SIGHUP)

    @staticmethod
    def stop_connecting(clients):
        for client in clients:
            client.may_connect = False

    def watch_until(self, until):
        """Return the peak of the process's memory, in MB, until it exits or this time."""
        peak = 0
        while time.monotonic() < until and self.node.poll() is None:
            with contextlib.suppress(OSError, AssertionError):
                peak = max(peak, self.peak_memory())
            time.sleep(0.01)
        return peak

    def judge(self, peak, code, answers):
        """Return what was broken."""
        broken = []
        if code not in (0, None):  # None: it was killed; what it had not answered then counts as lost
            broken.append('exit code %s' % code)
        if peak >= self.memory_mb:
            broken.append('memory %.0f of %d MB' % (peak, self.memory_mb))
        lost = [answer for answer in answers if answer.lost]
        # STANDING: with a crowd "new connections may be shut unread".
        self.excused = [row for row in lost if self.crowd and row.fresh and row.status is None]
        broken += ['lost: %s' % (answer,) for answer in lost if answer not in self.excused]
        served = sum(answer.status == 200 for answer in answers)
        if not self.floods and not self.crowd and served < 0.9 * len(answers):
            broken.append('served %d of %d in calm' % (served, len(answers)))
        return broken + self.repeated()

    def repeated(self):
        """Return the requests that servers ran more often than their class allows."""
        times = {}
        for at, _, name in self.requests_seen:
            times.setdefault(name, []).append(at)
        return [
            'ran %d times: %s' % (len(runs), name)
            for name, runs in times.items()
            if len(runs) > 1
            and (name.startswith('once') or name.startswith('kept') and max(runs) - min(runs) > WINDOW)
        ]

    def describe(self):
        return 'limit %g s, %d MB, %d descriptors, %s, %d hangups, %d signals at the end, %d shut unread' % (
            *(self.limit, self.memory_mb, self.descriptors),
            ', '.join('%s %s' % row for row in self.heavy_clients()) or 'calm',
            *(len(self.hangups), len(self.signals_at_end), len(self.excused)),
        )

    def runTest(self):  # noqa: N802  unittest needs the method
        """Runs are played by play()."""


def play(seed):
    """Play a seed; return (seed, what was broken, description, the node's log)."""
    run = Run(seed)
    with contextlib.suppress(ProcessLookupError):
        broken = run.play()
    return seed, broken, run.describe(), run.last_log


@click.command()
@click.option('--first', default=1)
@click.option('--seeds', default=50)
@click.option('--jobs', default=3)
def main(first, seeds, jobs):
    """Play seeds; exit with 1 if one was broken."""
    found = Counter()
    with ProcessPoolExecutor(jobs) as pool:
        for seed, broken, text, log in pool.map(play, range(first, first + seeds)):
            found['broken' if broken else 'held'] += 1
            click.echo('%d: %s; %s' % (seed, '; '.join(broken[:4]) or 'held', text))
            if broken:
                click.echo('\n'.join('    ' + line for line in log.splitlines()[-LOG_LINES:]))
    click.echo('%d held, %d broken' % (found['held'], found['broken']))
    sys.exit(bool(found['broken']))


if __name__ == '__main__':
    main()
