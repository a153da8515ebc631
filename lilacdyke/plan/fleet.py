"""A node's membership in its fleet: its seat, its budget and its links to planners.

Owns the connections to planners and the locks on the seat. Must never delay a transaction or stop the node:
on any failure the node continues with its own part, or with none if another process holds the seat.
"""

from ..net.logs import LOG, log_event, log_warning
from ..net.sockets import connect
from .forwarder import Forwarder
from .lease import Lease
from .ledger import Budgets, ForwarderLedger
from .limits import address
from .link import ToPlanner
from .shares import FleetLimits
from .view import View

SEAT_RETRIES_PER_LEASE = 10  # attempts per lease to lock a seat that another process holds
STATUS_CHECK_LEASES = 5  # leases between two checks for planners that answer


class FleetMember:
    """The state of a node as a member of its fleet."""

    def __init__(self, node, fleet):
        self.node, self.fleet_file, self.deadlines, self.clock = node, fleet, node.deadlines, node.clock
        now, planner_names = self.clock(), [row.name for row in fleet.planner]
        self.rank = node.config.rank if node.config.rank < fleet.seats else None
        self.seat_budget = fleet.seat_parts(self.rank)
        # Locks on the two halves of the seat: the first covers deposits, the second is passed to a successor.
        self.first_half, self.second_half, self.retry_scheduled = None, None, False
        self.life = '%s-%x' % (node.config.name, int(node.uniform() * (1 << 48)))
        self.forwarder_ledger = ForwarderLedger(
            now,
            self.life,
            planner_names,
            Budgets(),
            fleet.lease,
            fleet.deposit_term,
            fleet.lease_tails(),
            fleet.units(),
            Budgets(fleet.mosts()),
        )
        self.fleet_limits = node.router.fleet_limits = FleetLimits(
            now, fleet, self.forwarder_ledger, node.config.terms.profiles
        )
        self.forwarder = Forwarder(
            now, fleet, self.forwarder_ledger, self.needs, self.fleet_limits.used, node.uniform
        )
        self.view = None
        if fleet.span is not None:
            self.view = self.forwarder.view = View(node, fleet.span, planner_names)
            self.forwarder.seat, self.fleet_limits.is_down = node.config.rank, self.view.is_down
        self.canary_lease = None
        if self.view and fleet.tasks is not None:
            self.acquire_canary_lease()
        self.addresses = {row.name: address(row.address) for row in fleet.planner}
        self.links, self.isolated, self.deciding = {}, None, False
        node.caches.fleet_limits = self.fleet_limits
        self.lock_seat(0)
        self.check_status(0)
        self.run_decisions()

    # --- the seat ---------------------------------------------------------------------------------------

    def lock_seat(self, _):
        """Lock both halves of the seat, or those that no other process on this machine holds, such as a
        predecessor that is still draining or is suspended. Without them only leases may be spent."""
        self.retry_scheduled = False
        if self.rank is None:
            log_warning('no seat', rank=self.node.config.rank, seats=self.fleet_file.seats)
            return
        before = self.first_half, self.second_half
        self.first_half = self.first_half or self.hold_half('first')
        if not self.node.handed:
            self.second_half = self.second_half or self.hold_half('second')
        if (self.first_half, self.second_half) != before:
            self.update_budget(anew=before[0] is None and self.first_half is not None)
        if self.first_half is None or self.second_half is None:
            self.schedule_seat_retry()

    def hold_half(self, which):
        return self.node.system.hold(
            'lilacdyke/%s/seat/%d/%s' % (self.fleet_file.installation, self.rank, which)
        )

    def schedule_seat_retry(self):
        """Schedule another attempt to lock the seat."""
        if not self.retry_scheduled:
            self.retry_scheduled = True
            self.deadlines.at(
                self.clock() + max(1, self.fleet_file.lease // SEAT_RETRIES_PER_LEASE), self.lock_seat, 0
            )

    def update_budget(self, anew=False):
        """Set the budget that the ledger may count on, by the halves of the seat that are held."""
        heir_part = self.fleet_file.heir_part(self.seat_budget)
        own = (
            self.seat_budget
            if self.first_half and self.second_half
            else heir_part
            if self.second_half
            else Budgets({key: amount - heir_part[key] for key, amount in self.seat_budget.items()})
            if self.first_half
            else Budgets()
        )
        self.forwarder_ledger.set_seat_budget(self.clock(), own, self.seat_budget, anew)
        log_event(
            'seat', seat=self.rank, first=self.first_half is not None, second=self.second_half is not None
        )

    def hand_over(self, _=0):
        """Pass the second half of the seat to a successor that serves, once the first half covers all that is
        open here. Take it back if the successor is gone."""
        if self.rank is None:
            return
        if not self.node.handed:
            self.lock_seat(0)
            if self.first_half and self.second_half and self.forwarder_ledger.own != self.seat_budget:
                self.update_budget()  # the handover was pending, and the successor is gone
        elif self.second_half is not None:
            second, self.second_half = self.second_half, None
            self.update_budget()
            now = self.clock()
            if any(
                amount > self.forwarder_ledger.spendable(now, key)
                for key, amount in self.fleet_limits.used().items()
            ):
                self.second_half = second  # stays locked, but is not spent
                self.deadlines.at(
                    now + max(1, self.fleet_file.lease // SEAT_RETRIES_PER_LEASE), self.hand_over, 0
                )
            else:
                self.node.system.release_name(second)

    def acquire_canary_lease(self):
        """Request one of the two canary leases of this site. Only their holders probe servers that the fleet
        considers down: two, since it takes two to report a recovery. Probes are subject to the gate like any
        hop. Without a canary nobody probes until the verdict expires."""
        self.canary_lease = Lease(
            self.node.reactor,
            self.deadlines,
            self.clock,
            self.fleet_file,
            'canary-%s-%d' % (self.view.site, int(2 * self.node.uniform())),
            self.node.uniform,
            lambda number: log_event('canary', number=number),
            lambda number: log_event('no canary', number=number),
        )
        self.fleet_limits.is_canary = self.canary_lease.held
        self.canary_lease.acquire()

    # --- demand and evidence ----------------------------------------------------------------------------

    def needs(self, now):
        """Return what can be spared and what is lacked, after closing idle connections beyond the budget."""
        router = self.node.router
        if self.fleet_limits.limits['links']:
            self.node.caches.trim(lambda server: self.fleet_limits.over(now, server))
        return self.fleet_limits.needs(
            now, [server.name for server in router.caches if router.capacity_factor(now, server) < 1]
        )

    def ended(self, now, hop, how, lasted):
        """Record the end of a hop as evidence on its server."""
        if self.view:
            self.view.ended(now, hop, how, lasted)

    # --- links ------------------------------------------------------------------------------------------

    def on_plan(self, name, plan):
        """Process a plan."""
        self.forwarder.apply_plan(self.clock(), name, plan)
        self.run_decisions()

    def link_lost(self, link):
        """Handle a closed link."""
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self.forwarder.link_down(self.clock(), link.name)
            self.run_decisions()

    def run_decisions(self):
        """Carry out pending decisions. An exception is logged, and must not reach the node."""
        if self.deciding:
            return
        self.deciding = True
        try:
            while decision := self.forwarder.decide(self.clock()):
                getattr(self, 'do_' + decision[0])(*decision[1:])
        except Exception:
            LOG.exception('fault')
            self.deadlines.at(self.clock() + self.fleet_file.lease, self.on_wake, 0)
        finally:
            self.deciding = False

    def on_wake(self, _):
        self.run_decisions()

    def do_wake(self, when):
        self.deadlines.at(when, self.on_wake, 0)

    def do_dial(self, name):
        """Open a link. The forwarder limits how long that may take."""
        link = self.links[name] = ToPlanner(self, name)
        connect(self.node.reactor, self.addresses[name], link).addCallbacks(
            self.link_up, lambda failure: self.link_lost(link)
        ).addErrback(self.node.fault)

    def link_up(self, link):
        if self.links.get(link.name) is link:
            self.forwarder.link_up(self.clock(), link.name)
            self.run_decisions()
        else:
            link.end()  # connected after the dial was given up

    def do_say(self, name, digest):
        link = self.links.get(name)
        if link is not None and not link.send_digest(digest):
            self.node.count('digests_held')

    def do_end(self, name, why):
        """Close a link that the forwarder has given up."""
        link = self.links.pop(name, None)
        if link is not None:
            log_event('link given up', planner=name, why=why)
            link.end()
            if link.transport is None:
                link.up.cancel()

    # --- status -----------------------------------------------------------------------------------------

    def check_status(self, _):
        """Log a line when planners stop answering, and when one answers again."""
        now = self.clock()
        isolated = self.forwarder.alone(now)
        if isolated is not self.isolated:
            self.isolated = isolated
            log_event(
                'alone' if isolated else 'with planners',
                seat=self.rank if self.first_half or self.second_half else 'none',
                edition=self.forwarder.edition,
            )
        self.deadlines.at(
            now + STATUS_CHECK_LEASES * self.fleet_file.lease // (5 if isolated else 1), self.check_status, 0
        )
