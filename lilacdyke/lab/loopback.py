"""Loopback environment: real node processes, with simulated clients and servers on a real reactor.

All addresses are in 127.0.0.0/8. Each node reaches the servers under addresses of its own, so that a server
knows which node opened a connection. Signals only processes that it started, and ends them with the run.
"""

import gc
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from random import Random

import msgspec

from ..net.sockets import Reactor
from ..net.system import System
from . import stage as staging
from .judges import judge
from .recorder import digest
from .runs import Outcome
from .service import figures

SLACK_MS = 400.0  # minimum tolerance of the rules for scheduling delays of a real machine
MAX_ROWS, TRIMMED_ROWS = 60_000, 20_000  # for `up`: limit of rows, and how many are dropped at a time


class ChildProcess:
    """Child process, in `popen`."""

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self, span):
        self.signal(signal.SIGSTOP)
        self.environment.later(span, self.signal, signal.SIGCONT)


class NodeProcess(ChildProcess):
    """Real node process."""

    def __init__(self, environment, place, page):
        self.environment, self.place, self.leaving, self.process = environment, place, False, None
        self.path = os.path.join(environment.folder, place.name + '.json')
        self.log = os.path.join(environment.folder, '%s-%d.log' % (place.name, environment.stage.number()))
        self.write(page)
        with open(self.log, 'wb') as log:
            self.popen = subprocess.Popen(
                [*environment.program(place.name), 'serve', '--config', self.path, *self.fleet_arguments()],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.poll_exit()

    def write(self, page):
        with open(self.path + '.new', 'w', encoding='utf-8') as file:
            json.dump(page, file)
        os.replace(self.path + '.new', self.path)

    def fleet_arguments(self):
        """Write the fleet file and return the arguments that name it; none without planners."""
        if not self.environment.stage.planner_slots:
            return []
        path = self.path[:-5] + '-fleet.toml'
        write_fleet(
            path,
            self.environment.stage.fleet_file(
                lambda planner_slot: self.environment.planner_for(self.place, planner_slot)
            ),
        )
        return ['--fleet', path]

    def poll_exit(self):
        """Poll for the end of the process."""
        if self.popen.poll() is None:
            self.environment.later(100_000, self.poll_exit)
        elif self.place.running is self:
            self.environment.stage.exited(self.place, self.counts())

    def counts(self):
        """Return the counters of the process's last log line, or None; record the errors it logged."""
        counters = {}
        with open(self.log, encoding='utf-8', errors='replace') as file:
            for line in file:
                words = (
                    dict(word.partition('=')[::2] for word in shlex.split(line) if '=' in word)
                    if '=' in line
                    else {}
                )
                if words.get('level') in ('error', 'critical'):
                    self.environment.stage.record_event('error', self.place.name, line.strip()[:300])
                if words.get('event') == 'stopped':
                    counters = {name: int(value) for name, value in words.items() if value.isdigit()}
        if not counters:
            return None
        return dict(counters, out=0, hops=0, clients=0, links=0, descriptors=0, most=0, waits=0)

    def term(self):
        self.signal(signal.SIGTERM)

    def hup(self, page):
        self.write(page)
        self.signal(signal.SIGHUP)


class Planning(ChildProcess):
    """Real planner process."""

    def __init__(self, environment, planner_slot):
        self.environment, self.planner_slot = environment, planner_slot
        self.path = os.path.join(environment.folder, planner_slot.name + '.toml')
        self.write()
        with open(
            os.path.join(environment.folder, '%s-%d.log' % (planner_slot.name, environment.stage.number())),
            'wb',
        ) as log:
            self.popen = subprocess.Popen(
                [
                    *environment.program(planner_slot.name),
                    'plan',
                    '--file',
                    self.path,
                    '--name',
                    planner_slot.name,
                ],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def write(self):
        """Write its fleet file."""
        write_fleet(self.path, self.environment.stage.fleet_file(self.environment.planner_at))

    def hup(self):
        self.write()
        self.signal(signal.SIGHUP)


def write_fleet(path, tree):
    """Write a fleet file atomically."""
    import tomli_w

    with open(path + '.new', 'wb') as file:
        tomli_w.dump(tree, file)
    os.replace(path + '.new', path)


class Ports:
    """Listening ports of one server, one address for each node."""

    def __init__(self, ports):
        self.ports = ports

    def stopListening(self):
        for port in self.ports:
            port.stopListening()


class Environment:
    """Real environment of one run."""

    simulated = False

    def __init__(self, scenario, seed, reactor):
        self.scenario, self.seed, self.reactor = scenario, seed, reactor
        self.zero = time.monotonic()
        self.epoch_ms = int(System.wall() * 1_000)
        self.stage, self.folder = None, None
        self.port_offset, self.port_lock = self.reserve_ports()
        self.installation = 'lab-%d' % self.port_offset  # keeps the seats of concurrent runs apart

    @staticmethod
    def reserve_ports():
        """Return a port offset that no concurrent run on this machine uses, and the lock that reserves it."""
        while True:
            with socket.socket() as probe:
                probe.bind(('127.0.0.1', 0))
                port_offset = probe.getsockname()[1] // 2 % 9_000 * 2 + 20_000 - staging.NODE_PORT
            port_lock = System.hold('lilacdyke-lab/%d' % port_offset)
            if port_lock is not None:
                return port_offset, port_lock

    def clock(self):
        return int((time.monotonic() - self.zero) * 1e6)

    def later(self, wait, call, *given):
        return self.reactor.callLater(max(0, wait) / 1e6, call, *given)

    @staticmethod
    def drop(timer):
        if timer.active():
            timer.cancel()

    def random_source(self, name):
        return Random('%s/%s' % (self.seed, name))

    def port(self, number):
        return number + self.port_offset

    def seen_as(self, node, address):
        """Return a server's address as seen by a node: 127.2.x.y becomes an address for this node alone."""
        host, port = address
        return '127.%d.%s:%d' % (32 + node, host.split('.', 2)[2], self.port(port))

    def node_of(self, transport):
        """Return the name of the node that opened a connection, by the address it connected to."""
        return 'n%d' % (int(transport.getHost().host.split('.')[1]) - 32)

    def listen(self, factory, address):
        if address[0].startswith('127.2.'):
            made = [self.seen_as(place.number, address).rpartition(':')[::2] for place in self.stage.places]
            return Ports([self.reactor.listenTCP(int(port), factory, 1024, host) for host, port in made])
        return self.reactor.listenTCP(self.port(address[1]), factory, 1024, address[0])

    def connect(self, address, factory, bind):
        self.reactor.connectTCP(address[0], self.port(address[1]), factory, timeout=5, bindAddress=bind)

    def start_node(self, place, page):
        return NodeProcess(self, place, page)

    def start_planner(self, planner_slot):
        return Planning(self, planner_slot)

    def program(self, name):
        """Return the command that starts the program for a process of this name."""
        return [sys.executable, '-m', 'lilacdyke']

    @staticmethod
    def histories():
        """Return rows that the processes wrote themselves; none here."""
        return []

    def planner_at(self, planner_slot):
        """Return a planner's own address."""
        return '%s:%d' % (planner_slot.address[0], self.port(planner_slot.address[1]))

    def planner_for(self, place, planner_slot):
        """Return the address at which a node reaches a planner."""
        return self.planner_at(planner_slot)


def real(scenario):
    """Return the scenario with the tolerance that real machines need."""
    replace = msgspec.structs.replace
    return replace(scenario, rules=replace(scenario.rules, slack_ms=max(SLACK_MS, scenario.rules.slack_ms)))


def play(scenario, seed, watch=None, seconds=None, serve_unknown=False, build=None, around=None):
    """Run a scenario on loopback and return its Stage.

    watch: called with the stage once a second.
    seconds: duration instead of the scenario's own length.
    serve_unknown: serve requests of clients other than the run's.
    build: factory of the environment; around: factory of a monitor with a method longest().
    """
    from twisted.logger import globalLogBeginner

    from .environment import on_log_event

    globalLogBeginner.beginLoggingTo([on_log_event], discardBuffer=True, redirectStandardIO=False)
    reactor = Reactor()
    environment = (build or Environment)(scenario, seed, reactor)
    with tempfile.TemporaryDirectory() as environment.folder:
        environment.stage = stage = staging.Stage(scenario, seed, environment)
        stage.serve_unknown = serve_unknown
        watching = around and around(environment.folder)
        stop, leave, end = stage.end_times
        if seconds is not None:
            extra = int(seconds * 1e6) + staging.SETTLE_US - stop
            stop, leave, end = stop + extra, leave + extra, end + extra
        environment.later(stop, stage.stop_clients)
        environment.later(leave, stage.finish)
        environment.later(end, reactor.stop)
        if watch is not None:
            environment.later(1_000_000, each_second, environment, watch)
        stage.begin()
        try:
            reactor.run()
        finally:
            for part in stage.places + stage.planner_slots:
                if part.running is not None:
                    part.running.kill()
            if watching:
                environment.still = watching.longest()
        if histories := environment.histories():
            stage.recorder.rows = sorted([*stage.recorder.rows, *histories], key=lambda row: row[1])
    return stage


def each_second(environment, watch):
    """Call `watch` now and once a second."""
    watch(environment.stage)
    environment.later(1_000_000, each_second, environment, watch)


def one(scenario, seed=None, rows=False):
    """Run one scenario on loopback, check it and return the Outcome."""
    scenario = real(scenario)
    seed = scenario.seed if seed is None else seed
    begun = time.perf_counter()
    stage = play(scenario, seed)
    if stage.faults.left_out:
        print(
            'not available on loopback, left out: %s' % ', '.join(sorted(set(stage.faults.left_out))),
            file=sys.stderr,
        )
    seen = stage.recorder.rows
    return Outcome(
        name=scenario.name,
        seed=seed,
        figures=figures(scenario, seen),
        broken=[(found.rule, found.when, found.text) for found in judge(scenario, seen)],
        hash=digest(seen),
        wall=time.perf_counter() - begun,
        rows=seen if rows else None,
        events=0,
    )


class Table:
    """Live table of `lab up`."""

    def __init__(self, live):
        self.live, self.next_row, self.total = live, 0, Counter()

    def update(self, stage):
        """Count the rows added since the last update and redraw the table."""
        rows = stage.recorder.rows
        new, recent = rows[self.next_row :], Counter()
        servers, nodes, latencies = Counter(), Counter(), []
        for row in new:
            if row[0] == 'over':
                recent[row[3]] += 1
                self.total[row[3]] += 1
                if row[3] == 'served':
                    latencies.append(row[4])
            elif row[0] == 'hop':
                servers[row[3]] += 1
            elif row[0] == 'ask':
                nodes[row[4]] += 1
            elif row[0] == 'fault':
                self.total['faults'] += 1
        self.next_row = len(rows)
        self.trim(stage)
        self.live.update(self.render(stage, recent, servers, nodes, sorted(latencies)))

    def trim(self, stage):
        """Bound the memory of a run without an end."""
        rows = stage.recorder.rows
        if len(rows) > MAX_ROWS:
            del rows[:TRIMMED_ROWS]
            self.next_row -= TRIMMED_ROWS
        for held in (stage.work_of, stage.body_digests):
            while len(held) > MAX_ROWS:
                del held[next(iter(held))]

    def render(self, stage, recent, servers, nodes, latencies):
        from rich.console import Group
        from rich.table import Table as RichTable

        top = RichTable(
            box=None,
            title='%.0f s, %s'
            % (
                stage.clock() / 1e6,
                ', '.join('%d %s' % (count, name) for name, count in sorted(self.total.items()))
                or 'starting',
            ),
            title_justify='left',
        )
        for column in ('node', 'address', 'requests/s'):
            top.add_column(column, justify='left' if column != 'requests/s' else 'right')
        for place in stage.places:
            address = '%s:%d' % (place.address[0], stage.environment.port(place.address[1]))
            top.add_row(place.name, address if place.running else 'down', str(nodes[place.name]))
        below = RichTable(box=None)
        for column in ('server', 'kind', 'hops/s', 'running', 'waiting', 'cached', 'capacity'):
            below.add_column(column, justify='left' if column in ('server', 'kind') else 'right')
        for name, server in list(stage.servers.items())[:40]:
            model = server.model
            below.add_row(
                name,
                model.kind,
                str(servers[name]),
                str(len(model.running)),
                str(len(model.waiting)),
                str(len(model.kept)),
                '%d %%' % (100 * model.capacity_share()),
            )
        summary = (
            'latency ms: p50 %.0f, p99 %.0f'
            % (latencies[len(latencies) // 2] / 1e3, latencies[len(latencies) * 99 // 100] / 1e3)
            if latencies
            else ''
        )
        return Group(top, below, summary)


def up(scenario, seconds=None, rate=None):
    """Run the scenario with a live table until interrupted. Return the exit code."""
    from rich.console import Console
    from rich.live import Live

    replace = msgspec.structs.replace
    scenario = real(
        replace(scenario, load=replace(scenario.load, rate=rate or min(scenario.load.rate, 40.0)))
    )
    console = Console()
    console.print(
        '%s: %d nodes, %d caches, an origin and discovery on loopback; press Ctrl-C to stop'
        % (scenario.name, scenario.nodes, scenario.servers)
    )
    profile = scenario.profiles[0].name
    with Live(console=console, refresh_per_second=2) as live:
        table, shown = Table(live), []

        def watch(stage):
            if not shown:
                shown.append(True)
                address = stage.places[0].address
                live.console.print(
                    'try: curl -i http://%s:%d/%s/k1 -H "Req-Id: mine1"'
                    % (address[0], stage.environment.port(address[1]), profile)
                )
            table.update(stage)

        gc.collect()
        stage = play(scenario, scenario.seed, watch, seconds or 7 * 86_400, serve_unknown=True)
    counts = table.total
    console.print(
        '%d served, %d refused, %d failed' % (counts['served'], counts['refused'], counts['failed'])
    )
    return 0 if stage.recorder.rows and counts['served'] else 1
