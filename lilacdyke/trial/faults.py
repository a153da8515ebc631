"""Troubles of a trial: those of the lab that real processes can have, and those of the relays between them.

Owns what each kind does and takes back. Must never touch a process or a link that is not the trial's.
"""

import signal

from ..lab.faults import Faults
from .relay import DOWN, UP

SLICE = 40_000  # of a starved process's time, microseconds


class Troubles(Faults):
    """Plays a scenario's events with relays on every link."""

    left_over = (
        'resets',
        'dribble',
        'deaf',
        'step',
        'clock',
        'descriptors',
        'vanish',
        'planner_clock',
        'lie',
    )

    def plays(self, kind):
        return kind not in self.left_over

    def links(self, event, what, rng):
        """The relays of a node to planners: of some of these."""
        planner_slots = self.stage.planner_slots
        some = rng.sample(planner_slots, rng.randint(1, len(planner_slots))) if planner_slots else []
        return [
            self.stage.environment.relays[self.stage.places[number].name, planner_slot.name]
            for number in what
            for planner_slot in some
        ]

    def for_a_while(self, relays, change, span):
        for relay in relays:
            change(relay)
            relay.moved()
        self.stage.later(span, lambda: [relay.heal() for relay in relays])

    @staticmethod
    def ways(relay, size):
        """Which directions: up, down or both."""
        return relay.ways if size >= 2 else relay.ways[DOWN:] if size >= 1 else relay.ways[: UP + 1]

    def do_way_cut(self, index, event, what, span, rng):
        """Silent, in one direction or both."""
        self.for_a_while(
            self.links(event, what, rng),
            lambda relay: [setattr(way, 'cut', True) for way in self.ways(relay, event.size)],
            span,
        )

    def do_way_tear(self, index, event, what, span, rng):
        """Some bytes still pass, then nothing: within a frame."""
        self.for_a_while(
            self.links(event, what, rng),
            lambda relay: [setattr(way, 'torn', rng.randint(1, 60)) for way in self.ways(relay, event.size)],
            span,
        )

    def do_way_late(self, index, event, what, span, rng):
        """Seconds on the way, in order."""

        def change(relay):
            for way in relay.ways:
                way.late, way.jitter = int(event.size * 5e5), int(event.size * 5e5)

        self.for_a_while(self.links(event, what, rng), change, span)

    def do_way_thin(self, index, event, what, span, rng):
        """Few bytes a second."""
        self.for_a_while(
            self.links(event, what, rng),
            lambda relay: [setattr(way, 'pace', 20 + 100 * event.size) for way in relay.ways],
            span,
        )

    def do_way_reset(self, index, event, what, span, rng):
        self.for_a_while(self.links(event, what, rng), lambda relay: relay.reset(), span)

    def do_way_refuse(self, index, event, what, span, rng):
        def change(relay):
            relay.refuse()
            relay.reset()

        self.for_a_while(self.links(event, what, rng), change, span)

    def do_way_replay(self, index, event, what, span, rng):
        """Reset, and the next connection begins with an older one's bytes."""

        def change(relay):
            relay.reset()
            relay.tells_old = True

        self.for_a_while(self.links(event, what, rng), change, span)

    def do_cut_planner(self, index, event, what, span, rng):
        """Cut off from all."""
        self.part(what, self.stage.places, span)

    def do_part_planner(self, index, event, what, span, rng):
        """Cut off from the first half of the nodes."""
        self.part(what, self.stage.places[: max(1, len(self.stage.places) // 2)], span)

    def part(self, what, places, span):
        def change(relay):
            for way in relay.ways:
                way.cut = True

        self.for_a_while(
            [
                self.stage.environment.relays[place.name, planner_slot.name]
                for place in places
                for planner_slot in self.planners(what)
            ],
            change,
            span,
        )

    def do_late_planner(self, index, event, what, span, rng):
        def change(relay):
            for way in relay.ways:
                way.late = int(event.size * 5e5)

        self.for_a_while(
            [
                self.stage.environment.relays[place.name, planner_slot.name]
                for place in self.stage.places
                for planner_slot in self.planners(what)
            ],
            change,
            span,
        )

    def do_cut(self, index, event, what, span, rng):
        """Sites are cut off from the others: nodes and caches; planners are in no site."""
        zones = {self.stage.zones[number] for number in what}

        def change(relay):
            for way in relay.ways:
                way.cut = True

        self.for_a_while(
            [
                relay
                for (name, other), relay in self.stage.environment.relays.items()
                if self.apart(name, other, zones)
            ],
            change,
            span,
        )

    def apart(self, name, other, zones):
        place = next(place for place in self.stage.places if place.name == name)
        server = self.stage.servers.get(other)
        return server is not None and (place.zone in zones) != (server.model.zone in zones)

    def do_site_cut(self, index, event, what, span, rng):
        """One site is cut off from these servers, in one direction or both; others reach them."""
        zone, names = (
            self.stage.zones[index % len(self.stage.zones)],
            {server.name for server in self.numbered(what)},
        )
        here = {place.name for place in self.stage.places if place.zone == zone}
        self.for_a_while(
            [
                relay
                for (name, other), relay in self.stage.environment.relays.items()
                if name in here and other in names
            ],
            lambda relay: [setattr(way, 'cut', True) for way in self.ways(relay, event.size)],
            span,
        )

    def do_delay(self, index, event, what, span, rng):
        names = {server.name for server in self.numbered(what)}

        def change(relay):
            for way in relay.ways:
                way.late = int(event.size * 1_000)

        self.for_a_while(
            [relay for (_, other), relay in self.stage.environment.relays.items() if other in names],
            change,
            span,
        )

    def do_starve(self, index, event, what, span, rng):
        """Most of the time the process gets no processor: a few milliseconds in each slice."""
        end = self.stage.clock() + span
        for place in self.places(what):
            self.starve(place, place.running, end, False)

    def starve(self, place, running, end, stopped):
        if running is None or place.running is not running:
            return
        if self.stage.clock() >= end:
            running.signal(signal.SIGCONT)
            return
        running.signal(signal.SIGCONT if stopped else signal.SIGSTOP)
        self.stage.later(SLICE // 8 if stopped else SLICE, self.starve, place, running, end, not stopped)
