"""Simulated environment: all node and planner processes, clients and servers of a run in one real process.

Connects the event loop, the network and the reactors, and implements the interface of net/system.py on the
simulated machine. No real time and no real sockets enter a run.
"""

import json
import logging
import os
import re
import tempfile

import msgspec
from twisted.logger import globalLogBeginner

from ..decode import read_config
from ..net.node import Node
from ..plan import limits as fleets
from ..plan import process as planning
from ..plan.fleet import FleetMember
from . import observations
from .network import Network, Process
from .reactor import SimReactor
from .stage import EPOCH_MS, Stage
from .world import World

AGENT_DELAY_US = 40  # between a node and the discovery agent on its machine
ADDRESS = re.compile(r'0x[0-9a-f]+')


class SimulatedSystem:
    """Implements net/system.System on a simulated machine."""

    def __init__(self, reactor, process):
        self.elapsed, self.reactor, self.process = reactor.monotonic, reactor, process
        self.wall_readings, self.wall_read = 0, None  # number of readings; hook called with it on each
        self.world = reactor.world

    def wall(self):
        """Return Unix time in seconds, including clock steps."""
        self.wall_readings += 1
        if self.wall_read is not None:
            self.wall_read(self.wall_readings)
        return EPOCH_MS / 1_000 + self.world.now / 1e6 + self.reactor.ahead

    def descriptors(self):
        return self.process.limit if self.process.limit < 1 << 29 else 0

    def hold(self, name):
        """Lock a name on this machine until the process ends. Return None if another process holds it."""
        owners = self.process.net.held_names
        owner = owners.get((self.process.address, name))
        if owner is not None and owner.alive:
            return None
        owners[self.process.address, name] = self.reactor
        return name

    def release_name(self, name):
        """Release the lock on a name."""
        del self.process.net.held_names[self.process.address, name]

    @staticmethod
    def memory_kb():
        """Return 0: memory use is not simulated."""
        return 0

    resident_kb = memory_kb


class NodeProcess:
    """Simulated node process."""

    def __init__(self, environment, place, config):
        self.environment, self.place, self.leaving = environment, place, False
        self.path = os.path.join(environment.folder, place.name + '.json')
        limits = environment.scenario.limits
        self.process = Process(environment.network, place.name, place.address[0], limits.sockets)
        self.reactor = SimReactor(
            environment.world, self.process, self.ended, (limits.turn_us, limits.event_us), environment.error
        )
        self.system = SimulatedSystem(self.reactor, self.process)
        self.write(config)
        before, environment.world.current_reactor = environment.world.current_reactor, self.reactor
        self.node = Node(read_config(self.path), self.reactor, self.system)
        if environment.stage.planner_slots:
            self.node.fleet = FleetMember(
                self.node, fleets.check(msgspec.convert(environment.stage.fleet_file(), fleets.Fleet))
            )
        self.node.start()
        environment.world.current_reactor = before

    def write(self, config):
        with open(self.path, 'w', encoding='utf-8') as file:
            json.dump(config, file)

    def term(self):
        self.reactor.callFromThread(self.node.drain)

    def hup(self, config):
        self.write(config)
        self.reactor.callFromThread(self.node.reload, self.path)

    def kill(self):
        self.environment.stage.record_event('counters', self.place.name, self.counts())
        self.reactor.kill()

    def freeze(self, span):
        self.reactor.freeze(self.environment.world.now + span)

    def counts(self):
        """Return the node's counters and the resources that it still holds."""
        node = self.node
        return dict(
            sorted(node.counts.items()),
            open=len(node.active_requests),
            out=len(node.attempts),
            clients=len(node.listener.table),
            links=node.caches.open,
            descriptors=len(self.process.open)
            - node.operator_server.holds
            - (len(node.fleet.links) if getattr(node, 'fleet', None) else 0),
            most=self.process.peak_open,
            waits=sum(len(pool.waiting) for pool in node.caches.pools.values()),
            hops=sum(server.out for server in node.router.servers_by_name.values()),
        )

    def ended(self):
        """Record that the process has exited by itself."""
        self.environment.stage.exited(self.place, self.counts())


class SimulatedPlanner:
    """Simulated planner process."""

    def __init__(self, environment, planner_slot):
        self.environment = environment
        self.process = Process(environment.network, planner_slot.name, planner_slot.address[0])
        self.reactor = SimReactor(
            environment.world,
            self.process,
            cost=(environment.scenario.limits.turn_us, environment.scenario.limits.event_us),
            on_error=environment.error,
        )
        before, environment.world.current_reactor = environment.world.current_reactor, self.reactor
        life = '%s-%d' % (planner_slot.name, environment.stage.number())
        self.planner_process = planning.PlannerProcess(
            self.file(), planner_slot.number, self.reactor, SimulatedSystem(self.reactor, self.process), life
        )
        self.planner_process.begin(*planner_slot.address)
        environment.world.current_reactor = before

    def file(self):
        return fleets.check(msgspec.convert(self.environment.stage.fleet_file(), fleets.Fleet))

    def hup(self):
        self.reactor.callFromThread(self.planner_process.planner.reload, self.file())

    def kill(self):
        self.reactor.kill()

    def freeze(self, span):
        self.reactor.freeze(self.environment.world.now + span)


class ErrorHandler(logging.Handler):
    """Records errors that nodes log."""

    def __init__(self, environment):
        super().__init__(logging.ERROR)
        self.environment = environment

    def emit(self, record):
        text = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            text += ': %s: %s' % (type(record.exc_info[1]).__name__, record.exc_info[1])
        self.environment.error(text)


class Environment:
    """Simulated environment of one run."""

    simulated, epoch_ms, installation = True, EPOCH_MS, 'lab'

    def __init__(self, scenario, seed):
        self.scenario, self.world = scenario, World(seed)
        self.later, self.drop, self.random_source = (
            self.world.later,
            self.world.cancel,
            self.world.random_source,
        )
        self.slower, self.base_delays = {}, {}
        self.jitter, self.jitter_share = self.random_source('network').random, scenario.net.jitter
        self.network = Network(self.world, self.delay)
        self.stand_in_reactor = SimReactor(self.world, Process(self.network, 'rig', '127.9.0.1'), cost=(0, 0))
        self.stage, self.folder = None, None
        self.patched = []  # original attributes: (owner, name, value)

    def clock(self):
        return self.world.now

    def delay(self, here, there):
        """Return the delay of one packet in microseconds."""
        base_delay = self.base_delays.get((here, there))
        if base_delay is None:
            base_delay = self.base_delays[here, there] = self.base_delay(here, there)
        wait = base_delay * (1 + self.jitter_share * (2 * self.jitter() - 1))
        if self.slower:
            wait += self.slower.get(here, 0) + self.slower.get(there, 0)
        return int(wait) + 1

    def base_delay(self, here, there):
        hosts, net = self.stage.hosts, self.scenario.net
        one, other = hosts.get(here, ('', '', '')), hosts.get(there, ('', '', ''))
        if 'agent' in (one[0], other[0]):
            return AGENT_DELAY_US
        if 'client' in (one[0], other[0]):
            return net.client_ms * 1_000
        return (net.same_ms if one[1] == other[1] else net.cross_ms) * 1_000

    @staticmethod
    def port(number):
        return number

    @staticmethod
    def seen_as(node, address):
        """Return a server's address as seen by a node."""
        return '%s:%d' % address

    def node_of(self, transport):
        """Return the name of the node that opened a connection, by its source address."""
        return self.stage.name_of(transport.getPeer().host)

    def listen(self, factory, address):
        return self.stand_in_reactor.listenTCP(address[1], factory, 1024, address[0])

    def connect(self, address, factory, bind):
        self.stand_in_reactor.connectTCP(*address, factory, timeout=None, bindAddress=bind)

    def start_node(self, place, config):
        return NodeProcess(self, place, config)

    def start_planner(self, planner_slot):
        return SimulatedPlanner(self, planner_slot)

    def put(self, owner, name, value):
        """Replace an attribute until the end of the run, in the class that defines it."""
        if isinstance(owner, type):
            owner = next(kind for kind in owner.__mro__ if name in kind.__dict__)
        self.patched.append((owner, name, owner.__dict__[name]))
        setattr(owner, name, value)

    def record(self, kind, *fields):
        """Record an observation of a forwarder."""
        self.stage.record_event(kind, *fields)

    def error(self, text):
        """Record an error, with the process that was running."""
        current_reactor = self.world.current_reactor
        name = current_reactor.process.name if current_reactor is not None else 'lab'
        self.stage.record_event('error', name, ADDRESS.sub('0x', text)[:300])


_ACTIVE = []


def on_log_event(event):
    """Record failures from Twisted's log, including the legacy event format."""
    failure = event.get('log_failure') or event.get('isError') and event.get('failure')
    if failure and _ACTIVE:
        _ACTIVE[-1].error('raised: %s: %s' % (failure.type.__name__, failure.value))


def play(scenario, seed, patch=None, progress=None):
    """Run a scenario in the simulated environment and return its Stage with all recorded rows.

    patch: called with the Environment before anything is built.
    progress: called with the completed fraction of the run.
    """
    if not _ACTIVE:
        globalLogBeginner.beginLoggingTo([on_log_event], discardBuffer=True, redirectStandardIO=False)
    log, environment = logging.getLogger('lilacdyke'), Environment(scenario, seed)
    handler, level, propagates = ErrorHandler(environment), log.level, log.propagate
    log.addHandler(handler)
    log.propagate = False
    log.setLevel(logging.ERROR)
    _ACTIVE.append(environment)
    try:
        with tempfile.TemporaryDirectory() as environment.folder:
            if scenario.planning.span_s:
                observations.open_up(environment.put, environment.record)
            if patch is not None:
                patch(environment)
            environment.stage = stage = Stage(scenario, seed, environment)
            stop, leave, end = stage.end_times
            environment.later(stop, stage.stop_clients)
            environment.later(leave, stage.finish)
            stage.begin()
            for step in range(1, 51):
                environment.world.run(end * step // 50)
                if progress is not None:
                    progress(step / 50)
            for place in stage.places:
                if place.running is not None:
                    stage.record_event('node', place.name, 'hangs')
                    stage.record_event('counters', place.name, place.running.counts())
    finally:
        for owner, name, value in reversed(environment.patched):
            setattr(owner, name, value)
        _ACTIVE.pop()
        log.removeHandler(handler)
        log.propagate = propagates
        log.setLevel(level)
    return stage
