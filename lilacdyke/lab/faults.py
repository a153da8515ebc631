"""Fault injection: what each kind of event of a scenario does to a run, and how it is undone.

Faults that need a simulated network or clock exist only in simulation; elsewhere they are skipped, and
`left_out` lists them. Nodes are never told of a fault.
"""

import errno

from .callfaults import CallFault, CallFaults
from .scenario import TARGETS, Kind

SIMULATED_FAULTS = (
    'cut',
    'delay',
    'resets',
    'dribble',
    'deaf',
    'clock',
    'step',
    'descriptors',
    'vanish',
    'part_planner',
    'late_planner',
    'planner_clock',
    'cut_planner',
    'lie',
    'site_cut',
    'calls',
)
# (call, errno) pairs for failures of the node's own machine.
OWN_FAILURES = (
    *(
        ('connect', number)
        for number in (errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN)
    ),
    *((call, number) for call in ('socket', 'accept') for number in (errno.ENOBUFS, errno.ENOMEM)),
    *((call, number) for call in ('send', 'recv') for number in (errno.ENOBUFS, errno.ENOMEM)),
    *((call, errno.ENOBUFS) for call in ('setsockopt', 'getsockopt')),
    ('accept', errno.ECONNABORTED),
)
# Faults that only the trial's relays and processes have (trial/faults.py).
RELAY_FAULTS = (
    'way_cut',
    'way_tear',
    'way_late',
    'way_thin',
    'way_reset',
    'way_refuse',
    'way_replay',
    'starve',
)


class FixedEvidence:
    """Evidence of a node that reports the same of all servers, whatever it saw."""

    def __init__(self, view, size):
        self.view, self.size = view, size

    def ended(self, now, server, how, lasted):
        """Ignore the outcome."""

    def report(self, now):
        bad = self.size < 1
        slow = 1 <= self.size < 2
        times = [0] * 12
        times[10 if slow else 4] = 0 if bad else 1_000
        return {
            server_id: [
                1_000,
                0 if bad else 1_000,
                1_000 if bad else 0,
                0,
                0,
                times,
                None if bad or slow else 0,
                0 if bad or slow else None,
                None if bad else 0,
                1_000 if bad else 0,
            ]
            for server in self.view.node.router.caches
            if (server_id := self.view.server_id(server))
        }


class Faults:
    """Plays the events of a scenario on a stage."""

    def __init__(self, stage):
        self.stage, self.left_out = stage, []

    def begin(self):
        """Schedule all events."""
        for index, event in enumerate(self.stage.scenario.events):
            if not self.plays(event.kind):
                self.left_out.append(event.kind)
                continue
            self.stage.later(int(event.at_s * 1e6), self.play, index, event)

    def plays(self, kind):
        """Return whether this environment supports the kind of fault."""
        return (
            self.stage.environment.simulated
            and kind not in RELAY_FAULTS
            or kind not in SIMULATED_FAULTS + RELAY_FAULTS
        )

    def targets(self, event, rng):
        """Return the numbers of the event's targets: those named, or a random sample."""
        if event.what:
            return list(event.what)
        stage, kind = self.stage, TARGETS.get(event.kind)
        if kind == 'node':
            pool = [place.number for place in stage.places]
        elif kind == 'planner':
            pool = [planner_slot.number for planner_slot in stage.planner_slots]
        elif kind == 'zone':
            pool = list(range(len(stage.zones)))
        else:
            pool = [server.number for server in self.caches()]
        return sorted(rng.sample(pool, min(event.count, len(pool))))

    def caches(self):
        """Return the cache servers, without the origin."""
        return [server for server in self.stage.servers.values() if not server.model.origin]

    def play(self, index, event):
        """Record an event and apply it."""
        if self.stage.closing:
            return
        stage, rng = self.stage, self.stage.random_source('event %d' % index)
        what = self.targets(event, rng) if event.kind in TARGETS else []
        span = int(event.for_s * 1e6)
        stage.record_event('fault', event.kind, ','.join(map(str, what)), stage.clock() + span)
        getattr(self, 'do_' + event.kind)(index, event, what, span, rng)

    def numbered(self, what):
        """Return the servers with these numbers that still exist."""
        return [server for server in self.stage.servers.values() if server.number in what]

    # --- cache servers ----------------------------------------------------------------------------------

    def set(self, things, field, value, restored, span):
        """Set a field of each object, and set it to `restored` after the span."""
        for thing in things:
            setattr(thing, field, value)
        self.stage.later(span, lambda: [setattr(thing, field, restored) for thing in things])

    def do_slow(self, index, event, what, span, rng):
        self.set([server.model for server in self.numbered(what)], 'slow', event.size, 1.0, span)

    def do_fetch_slow(self, index, event, what, span, rng):
        self.set([self.stage.fleet.origin], 'slow', event.size, 1.0, span)

    def do_hung(self, index, event, what, span, rng):
        models = [server.model for server in self.numbered(what)]
        for model in models:
            model.hung = True
        self.stage.later(span, lambda: [model.end_hang() for model in models])

    def do_garbled(self, index, event, what, span, rng):
        self.set(self.numbered(what), 'garbled', min(1.0, event.size / 10), 0.0, span)

    def do_halved(self, index, event, what, span, rng):
        self.set(self.numbered(what), 'halved', min(1.0, event.size / 10), 0.0, span)

    def do_extra(self, index, event, what, span, rng):
        self.set(self.numbered(what), 'extra', min(1.0, event.size / 10), 0.0, span)

    def do_crash(self, index, event, what, span, rng):
        """The server crashes, and restarts cold after the span."""
        for server in self.numbered(what):
            if server.port is not None:
                server.close('crashed')
                self.stage.later(span, server.restart)

    def do_refuse(self, index, event, what, span, rng):
        """The server stops listening for the span; open connections continue."""
        for server in self.numbered(what):
            if server.port is not None:
                server.port.stopListening()
                server.port = None
                self.stage.later(span, self.listen_again, server)

    def listen_again(self, server):
        if server.port is None and not self.stage.closing and self.stage.is_member(server.name):
            server.port = self.stage.listen(server, server.address)

    def do_miss(self, index, event, what, span, rng):
        """Drop random cached values at all servers."""
        for server in self.caches():
            for key in list(server.model.kept):
                if rng.random() < min(1.0, event.size / 10):
                    server.model.void(key)

    def do_drain(self, index, event, what, span, rng):
        """Servers drain and leave for good."""
        for server in self.numbered(what):
            self.drain(server, span)

    def drain(self, server, span):
        if server.model.draining or self.stage.servers.get(server.name) is not server:
            return
        self.stage.roster.put(server.name, 'draining')
        self.stage.later(span, self.gone, server)

    def gone(self, server):
        if self.stage.is_member(server.name) and not server.model.draining:
            server.model.draining = True
            self.stage.roster.put(server.name, 'gone')
            self.stage.later(1_500_000, self.remove, server)

    def remove(self, server):
        if self.stage.servers.pop(server.name, None) is None:
            return
        self.stage.fleet.servers.pop(server.name, None)
        server.close('gone')

    def join(self, like, same_address=False):
        """Add a cold server of the same kind as `like`."""
        stage = self.stage
        name = 'c%d' % stage.made
        stage.made += 1
        model = like.model
        kind = Kind(
            name=model.kind,
            count=1,
            cores=model.cores,
            speed=model.speed,
            queue=model.queue_limit,
            keeps=model.keeps,
            connections=min(like.max_connections, 100_000),
        )
        address = like.address if same_address else (stage.loopback_address(2, stage.made + 5), 8000)
        made = stage.add_server(name, kind, model.zone, model.cell, stage.clock(), address=address)
        made.number = like.number
        made.open()
        stage.roster.put(name, 'ready')

    def do_replace(self, index, event, what, span, rng):
        """Remove servers without draining; a cold successor with a new name starts at the same address."""
        for server in self.numbered(what):
            if self.stage.is_member(server.name) and not server.model.draining:
                self.stage.roster.put(server.name, 'gone')
                self.remove(server)
                self.stage.later(50_000, self.join, server, True)  # when the port is free

    def do_deploy(self, index, event, what, span, rng):
        """Deploy to a part of the fleet (size in tenths) over the span, in batches of `count`."""
        all_ = sorted(self.caches(), key=lambda server: server.number)
        picked = all_[: max(1, int(len(all_) * min(10, event.size) / 10))]
        batches = [picked[at : at + event.count] for at in range(0, len(picked), event.count)]
        for number, batch in enumerate(batches):
            self.stage.later(
                span * number // len(batches) + 1,
                self.deploy_batch,
                batch,
                max(1_000_000, span // len(batches)),
            )

    def deploy_batch(self, batch, span):
        for server in batch:
            if self.stage.is_member(server.name):
                self.join(server)
                self.drain(server, span)

    def do_shrink(self, index, event, what, span, rng):
        """Remove a part of the fleet (size in tenths), evenly over the span."""
        all_ = sorted(self.caches(), key=lambda server: server.number)
        leaving = all_[len(all_) - min(len(all_) - 1, int(len(all_) * event.size / 10)) :]
        for number, server in enumerate(leaving):
            self.stage.later(span * number // max(1, len(leaving)) + 1, self.drain, server, 2_000_000)

    # --- operators --------------------------------------------------------------------------------------

    def do_suspend(self, index, event, what, span, rng):
        """Operators suspend servers at every node, restart them, and resume them."""
        for server in self.numbered(what):
            for place in self.stage.places:
                self.stage.staff.tell(place, 'cache-servers/%s/suspend' % server.name, 'out', server.name)
            self.stage.later(span // 2, self.restart_server, server)
            self.stage.later(span, self.resume_server, server)

    def restart_server(self, server):
        if server.port is not None and self.stage.is_member(server.name):
            server.close('restarted')
            self.stage.later(200_000, server.restart)

    def resume_server(self, server):
        for place in self.stage.places:
            self.stage.record_event('hand', place.name, 'back', server.name)
            self.stage.staff.tell(place, 'cache-servers/%s/resume' % server.name, 'returned', server.name)

    def do_away(self, index, event, what, span, rng):
        """Operators drain nodes, and clients avoid them 0.3 s later. The nodes are activated again after the
        span, and at least 4.5 s."""
        for place in self.places(what):
            running = place.running
            if running is None or running.leaving:
                continue
            place.away += 1
            self.stage.staff.tell(place, 'node/drain', 'away', '')
            self.stage.later(300_000, self.redirect_clients, place, running)
            self.stage.later(4_000_000, self.record_idle, place, running)
            self.stage.later(max(4_500_000, span), self.activate_node, place, running)

    def redirect_clients(self, place, running):
        if place.running is running and place.away:
            place.open = False
            self.stage.staff.look(place, 'ready')

    def record_idle(self, place, running):
        """Record how many idle clients a drained node keeps after 4 s."""
        if place.running is running and place.away and not running.leaving:
            kept = [
                seat for seat in self.stage.load_generator.idle.get(place, ()) if seat.up and not seat.ending
            ]
            self.stage.record_event('hand', place.name, 'kept', str(len(kept)))

    def activate_node(self, place, running):
        if place.running is running and not running.leaving:
            place.away = max(0, place.away - 1)
            if not place.away:
                self.stage.staff.tell(place, 'node/activate', 'active', '')
                self.stage.later(1_000_000, self.accept_clients, place, running)

    def accept_clients(self, place, running):
        if place.running is running and not running.leaving and not place.away:
            place.open = True
            self.stage.staff.look(place, 'open')

    # --- network ----------------------------------------------------------------------------------------

    @property
    def network(self):
        return self.stage.environment.network

    def do_cut(self, index, event, what, span, rng):
        """Partition sites from the others, without resets; traffic within a site continues."""
        for number in what:
            zone = self.stage.zones[number]
            apart = {
                host
                for host, (role, where, _) in self.stage.hosts.items()
                if where == zone and role in ('server', 'node', 'agent', 'client')
            }
            self.network.cut((index, number), apart)
            self.stage.later(span, self.network.end_cut, (index, number))

    def do_site_cut(self, index, event, what, span, rng):
        """Partition the nodes of one site from these servers only."""
        zone = self.stage.zones[index % len(self.stage.zones)]
        hosts = frozenset(place.address[0] for place in self.stage.places if place.zone == zone)
        for server in self.numbered(what):
            self.network.apart[index, server.name] = (server.address[0], hosts)
            self.stage.later(span, self.rejoin, (index, server.name))

    def do_vanish(self, index, event, what, span, rng):
        """Machines disappear without closing connections, and restart cold."""
        for server in self.numbered(what):
            host = server.address[0]
            self.network.vanish(host)
            self.stage.later(max(1, span - 50_000), server.close, 'vanished')
            self.stage.later(span, self.network.restore, host)
            self.stage.later(span, server.restart)

    def do_delay(self, index, event, what, span, rng):
        """Add latency to and from these servers: size in milliseconds."""
        slower = self.stage.environment.slower
        hosts = [server.address[0] for server in self.numbered(what)]
        for host in hosts:
            slower[host] = int(event.size * 1_000)
        self.stage.later(span, lambda: [slower.pop(host, None) for host in hosts])

    def do_resets(self, index, event, what, span, rng):
        """Reset connections to these servers at random bytes: size is the percentage of messages."""
        hosts = [server.address[0] for server in self.numbered(what)]
        for host in hosts:
            self.network.resets[host] = (min(1.0, event.size / 100), rng)
        self.stage.later(span, lambda: [self.network.resets.pop(host, None) for host in hosts])

    def do_dribble(self, index, event, what, span, rng):
        """Sends of these nodes are accepted a few bytes at a time."""
        taken = [self.stage.places[number].running for number in what]
        processes = [running.process for running in taken if running is not None]
        for process in processes:
            self.network.stuck[process] = max(1, int(event.size * 10))
        self.stage.later(span, lambda: [self.network.stuck.pop(process, None) for process in processes])

    def do_deaf(self, index, event, what, span, rng):
        """Connects to these servers are not answered, as with full accept queues."""
        hosts = [server.address[0] for server in self.numbered(what)]
        self.network.deaf.update(hosts)
        self.stage.later(span, lambda: self.network.deaf.difference_update(hosts))

    # --- nodes ------------------------------------------------------------------------------------------

    def places(self, what):
        return [self.stage.places[number] for number in what]

    def do_kill(self, index, event, what, span, rng):
        """Kill nodes with SIGKILL; they restart after the span with their old server list."""
        for place in self.places(what):
            self.stage.kill_node(place)
            self.stage.later(max(1, span), self.stage.start_node, place)

    def do_term(self, index, event, what, span, rng):
        """Stop nodes with SIGTERM; they restart once they have exited."""
        for place in self.places(what):
            self.stage.term_node(place)
            self.stage.later(span, self.restart_node, place)

    def restart_node(self, place):
        if place.running is None:
            self.stage.start_node(place)
        elif not self.stage.closing:
            self.stage.later(250_000, self.restart_node, place)

    def do_hup(self, index, event, what, span, rng):
        """Send SIGHUP with settings that name another address of discovery."""
        stage = self.stage
        for place in self.places(what):
            if place.running is not None and not place.running.leaving:
                stage.moves += 1
                agent = stage.agents[place.number]
                host = stage.loopback_address(5, stage.moves)
                stage.hosts[host] = ('agent', place.zone, place.name)
                agent.move((host, agent.address[1]))
                place.running.hup(stage.page(place))

    def do_standstill(self, index, event, what, span, rng):
        """Pause the processes, but not their operating systems."""
        for place in self.places(what):
            if place.running is not None:
                place.running.freeze(span)

    def do_clock(self, index, event, what, span, rng):
        """The machine's clock runs at `size` times the true rate, within 20 %."""
        rate = min(1.2, max(0.8, event.size))
        for place in self.places(what):
            running = place.running
            if running is not None:
                running.reactor.drift(rate)
                self.stage.later(span, running.reactor.drift, 1.0)

    def do_step(self, index, event, what, span, rng):
        """Step the wall clock ahead: size in seconds."""
        for place in self.places(what):
            if place.running is not None:
                place.running.reactor.step(event.size)

    def do_calls(self, index, event, what, span, rng):
        """System calls fail; `size` is the 1-based index in OWN_FAILURES."""
        call, number = OWN_FAILURES[(int(event.size) - 1) % len(OWN_FAILURES)]
        for place in self.places(what):
            if place.running is not None:
                self.fail_calls(place.running.process, call, number, span)

    def fail_calls(self, process, call, number, span):
        """Make a process's calls of one kind fail for the span."""
        if process.calls is None:
            process.calls = CallFaults(self.stage.clock)
        rule = CallFault(call, number, until=self.stage.clock() + span)
        process.calls.add(rule)
        self.stage.later(span, process.calls.remove, rule)

    def do_descriptors(self, index, event, what, span, rng):
        """Leave only `size` free descriptors to the process."""
        for place in self.places(what):
            if place.running is not None:
                process = place.running.process
                usual = process.limit
                process.limit = len(process.open) + int(event.size)
                self.stage.later(span, setattr, process, 'limit', usual)

    # --- planners ---------------------------------------------------------------------------------------

    def planners(self, what):
        return [self.stage.planner_slots[number] for number in what]

    def do_kill_planner(self, index, event, what, span, rng):
        """Kill planners with SIGKILL; they restart after the span without state."""
        for planner_slot in self.planners(what):
            self.stage.kill_planner(planner_slot)
            self.stage.later(max(1, span), self.stage.start_planner, planner_slot)

    def do_stop_planner(self, index, event, what, span, rng):
        """Pause planners; they continue with the state they had."""
        for planner_slot in self.planners(what):
            if planner_slot.running is not None:
                planner_slot.running.freeze(span)

    def do_cut_planner(self, index, event, what, span, rng):
        """Partition planners from everything, without resets."""
        for planner_slot in self.planners(what):
            self.network.cut((index, planner_slot.name), {planner_slot.address[0]})
            self.stage.later(span, self.network.end_cut, (index, planner_slot.name))

    def do_part_planner(self, index, event, what, span, rng):
        """Partition planners from the first half of the nodes."""
        half = [place.address[0] for place in self.stage.places[: max(1, len(self.stage.places) // 2)]]
        for planner_slot in self.planners(what):
            self.network.apart[index, planner_slot.name] = (planner_slot.address[0], frozenset(half))
            self.stage.later(span, self.rejoin, (index, planner_slot.name))

    def rejoin(self, number):
        self.network.apart.pop(number, None)
        self.network.release()

    def do_late_planner(self, index, event, what, span, rng):
        """Add latency to and from planners, in order: size in seconds."""
        hosts = [planner_slot.address[0] for planner_slot in self.planners(what)]
        self.stage.environment.slower.update(dict.fromkeys(hosts, int(event.size * 1e6)))
        self.stage.later(span, lambda: [self.stage.environment.slower.pop(host, None) for host in hosts])

    def do_planner_clock(self, index, event, what, span, rng):
        """The planner's clock runs up to 5 % fast or slow."""
        for planner_slot in self.planners(what):
            if planner_slot.running is not None:
                planner_slot.running.reactor.drift(min(1.05, max(0.95, event.size)))

    def do_lower(self, index, event, what, span, rng):
        """Operators lower a limit to size tenths of its first value, but not below the seats' own budget.
        It is restored after the span."""
        bounds = self.stage.scenario.planning.bounds
        if bounds:
            bound = bounds[index % len(bounds)]
            self.stage.lower(bound.name, max(bound.own, bound.most * min(10, event.size) / 10))
            self.stage.later(span, self.stage.lower, bound.name, bound.most)

    def do_lie(self, index, event, what, span, rng):
        """Nodes report all servers to planners as failing (size under 1), slow (under 2) or healthy."""
        for place in self.places(what):
            running = place.running
            view = running and running.node.fleet and running.node.fleet.view
            if view:
                usual, view.seen = view.seen, FixedEvidence(view, event.size)
                self.stage.later(span, setattr, view, 'seen', usual)

    # --- clients ----------------------------------------------------------------------------------------

    def do_shift(self, index, event, what, span, rng):
        """Clients use these nodes only."""
        self.set([self.stage], 'preferred_nodes', tuple(what), (), span)

    def do_burst(self, index, event, what, span, rng):
        self.set([self.stage.load_generator], 'factor', event.size, 1.0, span)

    def do_hot(self, index, event, what, span, rng):
        """`count` keys get a part of all requests: size in percent."""
        self.set([self.stage.load_generator], 'hot', (event.count, min(1.0, event.size / 100)), None, span)

    # --- discovery --------------------------------------------------------------------------------------

    def agents(self, what):
        return [self.stage.agents[number] for number in what]

    def do_silence(self, index, event, what, span, rng):
        for agent in self.agents(what):
            agent.set_silent(True)
            self.stage.later(span, agent.set_silent, False)

    def do_lag(self, index, event, what, span, rng):
        """Delay the list at all agents: size in seconds."""
        self.set(self.stage.agents, 'lag', int(event.size * 1e6), 0, span)

    def do_stale(self, index, event, what, span, rng):
        """Delay the list at these agents: size in seconds."""
        self.set(self.agents(what), 'lag', int(event.size * 1e6), 0, span)

    def do_cut_watch(self, index, event, what, span, rng):
        for agent in self.agents(what):
            agent.cut(False)

    def do_half_line(self, index, event, what, span, rng):
        for agent in self.agents(what):
            agent.cut(True)
