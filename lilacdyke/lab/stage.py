"""One run of a scenario: its nodes, servers, clients, discovery agents and planners.

Assigns names, addresses and zones, and starts and ends the run. The environment (environment.py simulated,
loopback.py real) provides the clock, timers, ports, connections and processes. Makes no decision for a node.
"""

from math import log1p

from .faults import Faults
from .parts.clients import LoadGenerator
from .parts.discovery import Agent, Roster
from .parts.model import Fleet, Model
from .parts.servers import CacheServer
from .parts.staff import Operators
from .recorder import Recorder
from .scenario import Kind

NODE_PORT, AGENT_PORT, OPERATOR_PORT, PLANNER_PORT = 8000, 8500, 8100, 8200
EPOCH_MS = 1_700_000_000_000  # Unix time at which simulated runs begin
SETTLE_US = 600_000  # from the start to the first client request


class NodeSlot:
    """Node of a run: its address, zone and current process, if any."""

    def __init__(self, number, zone, address, agent):
        self.number, self.name, self.zone, self.address, self.agent = (
            number,
            'n%d' % number,
            zone,
            address,
            agent,
        )
        self.operator_address = (address[0], OPERATOR_PORT)  # for operators' requests
        self.away = 0  # number of operator drains not yet followed by an activation
        self.open, self.running = False, None  # open: new client connections are sent here
        self.known = None  # server list of its last process, if that was killed


class PlannerSlot:
    """Planner of a run."""

    def __init__(self, number, address):
        self.number, self.name, self.address, self.running = number, 'p%d' % number, address, None


class Stage:
    """All parts of one run. environment: environment.Environment or loopback.Environment."""

    log1p = staticmethod(log1p)

    def __init__(self, scenario, seed, environment):
        self.scenario, self.seed, self.environment = scenario, seed, environment
        self.clock, self.later, self.drop = environment.clock, environment.later, environment.drop
        self.listen, self.connect, self.random_source = (
            environment.listen,
            environment.connect,
            environment.random_source,
        )
        self.recorder = Recorder(environment.clock)
        self.record_event = self.recorder.record_event
        self.profiles = {profile.name: profile for profile in scenario.profiles}
        self.work_of, self.body_digests, self.last_number = {}, {}, 0
        self.fleet, self.roster = Fleet(), Roster(self)
        self.servers, self.places, self.agents, self.hosts = {}, [], [], {}
        self.closing, self.made, self.moves = False, 0, 0
        self.preferred_nodes = ()  # numbers of the nodes that receive clients; empty: all
        self.serve_unknown = False  # whether to serve requests of clients other than the run's
        self.zones = [chr(97 + zone % 26) + str(zone // 26 or '') for zone in range(scenario.zones)]
        self.build()
        self.load_generator, self.staff = LoadGenerator(self), Operators(self)
        self.faults = getattr(environment, 'faults', Faults)(self)

    def number(self):
        self.last_number += 1
        return self.last_number

    def unix_ms(self, when):
        """Convert a time of the run to Unix milliseconds."""
        return self.environment.epoch_ms + when // 1_000

    # --- setup ------------------------------------------------------------------------------------------

    def build(self):
        """Create the initial servers, agents, nodes and planners."""
        scenario = self.scenario
        origin = scenario.origin
        kind = Kind(
            name='origin', count=1, cores=origin.cores, speed=origin.speed, queue=origin.queue, keeps=1
        )
        self.fleet.origin = self.add_server('origin', kind, self.zones[0], 0, origin=True).model
        index = 0
        for kind in scenario.kinds:
            for _ in range(kind.count):
                self.add_server('c%d' % index, kind, self.zones[index % len(self.zones)], index // 4)
                index += 1
        self.made = index
        self.warm_caches()
        for number in range(scenario.nodes):
            zone = self.zones[number % len(self.zones)]
            place = NodeSlot(
                number,
                zone,
                (self.loopback_address(1, number), NODE_PORT),
                (self.loopback_address(3, number), AGENT_PORT),
            )
            self.hosts[place.address[0]] = ('node', zone, place.name)
            self.hosts[place.agent[0]] = ('agent', zone, place.name)
            self.hosts[self.loopback_address(4, number)] = ('client', zone, place.name)
            self.places.append(place)
            self.agents.append(Agent(self, place))
        self.build_planners()

    def build_planners(self):
        """Create the planners and set the initial limits."""
        planning = self.scenario.planning
        self.planner_slots = [
            PlannerSlot(number, (self.loopback_address(6, number), PLANNER_PORT))
            for number in range(planning.planners)
        ]
        for planner_slot in self.planner_slots:
            self.hosts[planner_slot.address[0]] = (
                'planner',
                self.zones[planner_slot.number % len(self.zones)],
                planner_slot.name,
            )
        self.edition, self.limit_values = 1, {bound.name: bound.most for bound in planning.bounds}

    def fleet_file(self, address_of=lambda planner_slot: '%s:%d' % planner_slot.address):
        """Return the fleet file as plain values. address_of(planner_slot): a planner's address as seen by the
        reader."""
        planning = self.scenario.planning
        rows = [
            {
                'name': bound.name,
                'what': bound.what,
                'most': self.limit_values[bound.name],
                'floor': bound.own,
                **({'class': bound.profile} if bound.profile else {}),
            }
            for bound in planning.bounds
        ]
        verdicts = {'verdicts': {'span_s': planning.span_s}} if planning.span_s else {}
        return {
            **verdicts,
            'enabled': True,
            'installation': self.environment.installation,
            'edition': self.edition,
            'seats': planning.seats or self.scenario.nodes,
            'lease_s': planning.lease_s,
            'longest_s': max(profile.limit_s for profile in self.scenario.profiles),
            'limit': rows,
            'planner': [
                {'name': planner_slot.name, 'address': address_of(planner_slot)}
                for planner_slot in self.planner_slots
            ],
        }

    # --- planners ---------------------------------------------------------------------------------------

    def start_planner(self, planner_slot):
        if planner_slot.running is None and not self.closing:
            self.record_event('planner', planner_slot.name, 'up')
            planner_slot.running = self.environment.start_planner(planner_slot)

    def kill_planner(self, planner_slot):
        running, planner_slot.running = planner_slot.running, None
        if running is not None:
            self.record_event('planner', planner_slot.name, 'killed')
            running.kill()

    def lower(self, name, most):
        """Change a limit in a new edition of the fleet file and reload all running planners."""
        self.edition, self.limit_values[name] = self.edition + 1, most
        for planner_slot in self.planner_slots:
            if planner_slot.running is not None:
                planner_slot.running.hup()
        self.record_event('limit', name, most)

    @staticmethod
    def loopback_address(role, number):
        """Return a loopback address for a role and a number."""
        return '127.%d.%d.%d' % (role, number // 250, number % 250 + 1)

    def add_server(self, name, kind, zone, cell, started=0, origin=False, address=None):
        """Add a server that does not listen yet."""
        number = len(self.servers)
        model = Model(
            name,
            self.scenario,
            kind,
            zone,
            cell,
            self.fleet,
            self.clock,
            self.later,
            self.drop,
            self.random_source('model ' + name),
            self.record_event,
            started,
            origin,
        )
        address = address or (self.loopback_address(2, number), NODE_PORT)
        server = CacheServer(self, model, address, number)
        server.max_connections = getattr(kind, 'connections', 1 << 30) if not origin else 1 << 30
        self.servers[name] = server
        self.hosts[address[0]] = ('server', zone, name)
        if not origin:
            self.fleet.servers[name] = model
        self.roster.rows[name] = {
            'name': name,
            'state': 'ready',
            'address': address,
            'zone': zone,
            'kind': kind.name,
            'cell': cell,
            'weight': kind.cores * kind.speed if not origin else 1.0,
            'started': started,
        }
        return server

    def warm_caches(self):
        """Fill the caches with a random share of all keys, the popular ones first."""
        scenario, rng = self.scenario, self.random_source('warm')
        names = sorted(self.fleet.servers)
        for rank in range(scenario.load.keys):
            for name in names:
                if rng.random() < scenario.caches.warm_share:
                    self.fleet.servers[name].store('k%d' % rank, 0)

    def client_address(self, place):
        return (self.loopback_address(4, place.number), 0)

    def name_of(self, host):
        """Return the name of the host at an address."""
        return self.hosts.get(host, ('', '', host))[2]

    def is_member(self, name):
        """Return whether a server is still part of the run."""
        return name in self.servers

    # --- client entry -----------------------------------------------------------------------------------

    def pick_node(self, draw):
        """Return a random open node for the next attempt, or None."""
        candidates = [
            place
            for place in self.places
            if place.open and (not self.preferred_nodes or place.number in self.preferred_nodes)
        ] or [place for place in self.places if place.open]
        return candidates[int(draw() * len(candidates))] if candidates else None

    def page(self, place):
        """Return a node's configuration page as plain values."""
        scenario, rules = self.scenario, self.scenario.rules
        agent = self.agents[place.number]
        return {
            'installation': self.environment.installation,
            'name': place.name,
            'listen': '%s:%d' % (place.address[0], self.environment.port(place.address[1])),
            'operator': '%s:%d'
            % (place.operator_address[0], self.environment.port(place.operator_address[1])),
            'discovery': '%s:%d' % (agent.address[0], self.environment.port(agent.address[1])),
            'seed': '%016x' % self.random_source('seed %s %d' % (place.name, self.number())).getrandbits(64),
            'limits': {
                'cores': 1.0,
                'memory_mb': scenario.limits.memory_mb,
                'sockets': scenario.limits.sockets,
            },
            'known': place.known or agent.page(),
            'settings': {
                'balancers': scenario.nodes,
                'rank': place.number,
                'zone': self.zones.index(place.zone),
                'tickS': 0.005,
                'kindOfService': 'cache',
                'membershipMode': scenario.discovery.mode,
                'kinds': [kind.name for kind in scenario.kinds] + ['origin'],
                'profiles': [
                    {
                        'name': p.name,
                        'effect': p.effect,
                        'group': p.group,
                        'repeatWindowS': p.window_s,
                        'serviceGoalS': p.goal_s,
                        'lateRevenue': p.late_revenue,
                        'hardLimitS': p.limit_s,
                    }
                    for p in scenario.profiles
                ],
                'tenants': [
                    {
                        'name': t.name,
                        'quotaPerS': t.share * scenario.load.rate / sum(t.share for t in scenario.tenants),
                    }
                    for t in scenario.tenants
                ],
                'fees': {
                    'handshake': scenario.prices.handshake,
                    'connection': scenario.prices.connection,
                    'crossZone': 0.0,
                    'waste': scenario.prices.waste,
                    'probe': 0.0,
                    'peer': 0.0,
                },
                'stats': {'how': 'off', 'fields': []},
                'dcs': self.zones,
                'familyInfo': {'mode': scenario.caches.mode, 'originKind': len(scenario.kinds)},
                'limits': {
                    'retryAfter': rules.retry_after_s > 0,
                    'mayDuplicate': rules.may_copy,
                    'cancel': rules.may_cancel,
                    'maxHops': rules.max_hops,
                    'maxRetryAfterS': rules.retry_after_s,
                    'connIdleS': scenario.caches.idle_s,
                    'connectTimeoutS': 0.25,
                    'probing': True,
                    'peers': False,
                },
                'safety': {
                    'stopSendingWithinS': rules.drain_grace_ms / 1000,
                    'askWithinS': 10.0,
                    'fallMultiple': rules.fall_multiple,
                    'overloadForS': rules.fall_s,
                    'coldFrom': rules.cold_from,
                    'warmUpS': rules.warm_s,
                },
            },
        }

    # --- the run ----------------------------------------------------------------------------------------

    def begin(self):
        """Start all parts; clients follow once the nodes are ready."""
        for server in self.servers.values():
            server.open()
            if self.scenario.caches.pause_every_s and not server.model.origin:
                self.later(int(self.scenario.caches.pause_every_s * 1e6 * server.rng.random()), server.pause)
        for agent in self.agents:
            agent.open()
        for name, most in self.limit_values.items():
            self.record_event('limit', name, most)
        for planner_slot in self.planner_slots:
            self.start_planner(planner_slot)
        for place in self.places:
            self.start_node(place)
        self.later(SETTLE_US, self.load_generator.begin)
        self.later(SETTLE_US, self.faults.begin)
        self.later(1_000_000, self.close_idle)

    def start_node(self, place):
        """Start a node's process; it receives clients a moment later."""
        if place.running is not None or self.closing:
            return
        self.record_event('node', place.name, 'up')
        place.running = self.environment.start_node(place, self.page(place))
        self.later(300_000, self.open_node, place, place.running)

    def open_node(self, place, running):
        if place.running is running and running is not None:
            place.open, place.away = True, 0

    def close_node(self, place):
        """Send no new clients to a node that has stopped or is draining."""
        if place.running is None or place.running.leaving:
            place.open = False

    def kill_node(self, place):
        """Kill a node's process; clients are sent there until the death is noticed."""
        running, place.running = place.running, None
        if running is not None:
            self.record_event('node', place.name, 'killed')
            running.leaving = True
            running.kill()
            place.known = self.agents[place.number].page()
            self.later(int(self.scenario.clients.notice_s * 1e6), self.close_node, place)

    def term_node(self, place):
        """Send SIGTERM to a node; new connections arrive for a moment longer."""
        if place.running is not None and not place.running.leaving:
            self.record_event('node', place.name, 'term')
            place.running.leaving = True
            place.running.term()
            self.later(300_000, self.close_node, place)

    def exited(self, place, counts):
        """Record that a node's process has exited by itself."""
        self.record_event('node', place.name, 'exit')
        if counts is not None:
            self.record_event('counters', place.name, counts)
        place.running, place.open = None, False

    def close_idle(self):
        """Close idle connections at all servers, once a second."""
        for server in self.servers.values():
            server.close_idle()
        self.later(1_000_000, self.close_idle)

    def stop_clients(self):
        """Stop new client requests."""
        self.load_generator.stopped = True

    def finish(self):
        """Begin the end of the run: send SIGTERM to all nodes."""
        self.closing = True
        for place in self.places:
            if place.running is not None and not place.running.leaving:
                self.record_event('node', place.name, 'term')
                place.running.leaving = True
                place.running.term()

    @property
    def end_times(self):
        """Return when clients stop, when nodes receive SIGTERM and when the run ends, in microseconds."""
        slowest = max(profile.limit_s for profile in self.scenario.profiles)
        stop = SETTLE_US + int(self.scenario.length_s * 1e6)
        leave = stop + int((slowest + 0.5) * 1e6)
        return stop, leave, leave + int((slowest + 2.0) * 1e6)
