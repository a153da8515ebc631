"""Fault injection of trials: the lab's faults that apply to real processes, and faults of the relays.

Must never touch a process or a link that does not belong to the trial.
"""

import signal

from ..lab.faults import Faults
from .relay import DOWN, UP

STARVE_SLICE_US = 40_000


class TrialFaults(Faults):
    """Injects the faults of a scenario, with a relay on every link."""

    unsupported = (
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
        return kind not in self.unsupported

    def planner_links(self, event, what, rng):
        """Return the relays between these nodes and a random subset of the planners."""
        planner_slots = self.stage.planner_slots
        some = rng.sample(planner_slots, rng.randint(1, len(planner_slots))) if planner_slots else []
        return [
            self.stage.environment.relays[self.stage.places[number].name, planner_slot.name]
            for number in what
            for planner_slot in some
        ]

    def apply_for(self, relays, change, span):
        for relay in relays:
            change(relay)
            relay.flush()
        self.stage.later(span, lambda: [relay.heal() for relay in relays])

    @staticmethod
    def directions(relay, size):
        """Return the affected directions: up (size below 1), down (below 2) or both."""
        return (
            relay.directions
            if size >= 2
            else relay.directions[DOWN:]
            if size >= 1
            else relay.directions[: UP + 1]
        )

    def do_way_cut(self, index, event, what, span, rng):
        """Drop traffic silently, in one direction or both."""
        self.apply_for(
            self.planner_links(event, what, rng),
            lambda relay: [
                setattr(direction, 'cut', True) for direction in self.directions(relay, event.size)
            ],
            span,
        )

    def do_way_tear(self, index, event, what, span, rng):
        """Cut a link after some more bytes, which may be in the middle of a frame."""
        self.apply_for(
            self.planner_links(event, what, rng),
            lambda relay: [
                setattr(direction, 'cut_after', rng.randint(1, 60))
                for direction in self.directions(relay, event.size)
            ],
            span,
        )

    def do_way_late(self, index, event, what, span, rng):
        """Delay traffic by up to seconds, without reordering."""

        def change(relay):
            for direction in relay.directions:
                direction.delay, direction.jitter = int(event.size * 5e5), int(event.size * 5e5)

        self.apply_for(self.planner_links(event, what, rng), change, span)

    def do_way_thin(self, index, event, what, span, rng):
        """Throttle a link to few bytes per second."""
        self.apply_for(
            self.planner_links(event, what, rng),
            lambda relay: [
                setattr(direction, 'bytes_per_s', 20 + 100 * event.size) for direction in relay.directions
            ],
            span,
        )

    def do_way_reset(self, index, event, what, span, rng):
        self.apply_for(self.planner_links(event, what, rng), lambda relay: relay.reset(), span)

    def do_way_refuse(self, index, event, what, span, rng):
        def change(relay):
            relay.refuse()
            relay.reset()

        self.apply_for(self.planner_links(event, what, rng), change, span)

    def do_way_replay(self, index, event, what, span, rng):
        """Reset a link; the next connection starts with the first bytes of an earlier one."""

        def change(relay):
            relay.reset()
            relay.replays = True

        self.apply_for(self.planner_links(event, what, rng), change, span)

    def do_cut_planner(self, index, event, what, span, rng):
        """Partition planners from all nodes."""
        self.part(what, self.stage.places, span)

    def do_part_planner(self, index, event, what, span, rng):
        """Partition planners from the first half of the nodes."""
        self.part(what, self.stage.places[: max(1, len(self.stage.places) // 2)], span)

    def part(self, what, places, span):
        def change(relay):
            for direction in relay.directions:
                direction.cut = True

        self.apply_for(
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
            for direction in relay.directions:
                direction.delay = int(event.size * 5e5)

        self.apply_for(
            [
                self.stage.environment.relays[place.name, planner_slot.name]
                for place in self.stage.places
                for planner_slot in self.planners(what)
            ],
            change,
            span,
        )

    def do_cut(self, index, event, what, span, rng):
        """Partition the nodes and caches of some zones from the others; planners belong to no zone."""
        zones = {self.stage.zones[number] for number in what}

        def change(relay):
            for direction in relay.directions:
                direction.cut = True

        self.apply_for(
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
        """Partition one zone from these servers, in one direction or both; other zones still reach them."""
        zone, names = (
            self.stage.zones[index % len(self.stage.zones)],
            {server.name for server in self.numbered(what)},
        )
        nodes = {place.name for place in self.stage.places if place.zone == zone}
        self.apply_for(
            [
                relay
                for (name, other), relay in self.stage.environment.relays.items()
                if name in nodes and other in names
            ],
            lambda relay: [
                setattr(direction, 'cut', True) for direction in self.directions(relay, event.size)
            ],
            span,
        )

    def do_delay(self, index, event, what, span, rng):
        names = {server.name for server in self.numbered(what)}

        def change(relay):
            for direction in relay.directions:
                direction.delay = int(event.size * 1_000)

        self.apply_for(
            [relay for (_, other), relay in self.stage.environment.relays.items() if other in names],
            change,
            span,
        )

    def do_starve(self, index, event, what, span, rng):
        """Starve a process of CPU: it runs for a few milliseconds between longer stops."""
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
        self.stage.later(
            STARVE_SLICE_US // 8 if stopped else STARVE_SLICE_US,
            self.starve,
            place,
            running,
            end,
            not stopped,
        )
