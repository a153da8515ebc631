"""Cost of planners, forwarders and voters by forwarders, limits and tasks: their code and frames, without
sockets.

In each round, a quarter of a lease after the last, every forwarder sends a digest to one of three planners
and receives its plan. The processor time of each side is measured separately.
"""

import time
from random import Random

from ..plan.forwarder import DIGESTS_PER_LEASE, Forwarder
from ..plan.frames import DIGEST, PLAN, Frames, pack
from ..plan.leases import Voter
from ..plan.ledger import Budgets, ForwarderLedger
from ..plan.limits import GRAINS_PER_UNIT, Fleet, Limit, PlannerRow
from ..plan.planner import Planner
from ..values import SECOND

PLANNERS = 3
LEASE_S = 2.0
LIMITS = 2  # unless limits are varied
FORWARDERS = 50  # unless forwarders are varied
WARM_UP_ROUNDS = 3  # until forwarders have lent and leased
RENEWALS_PER_VALUE = 200  # one value is their mean


def make_fleet(forwarders, limits):
    """Return a fleet file's settings, without a file."""
    return Fleet(
        enabled=True,
        installation='scale',
        seats=min(4_096, forwarders),
        planner=[PlannerRow('p%d' % n, '127.0.0.1:%d' % (7_100 + n)) for n in range(PLANNERS)],
        limit=[Limit('limit-%d' % n, 'requests', 4.0 * forwarders) for n in range(limits)],
        lease_s=LEASE_S,
    )


class PlannerRound:
    """Rounds of forwarders and one planner: processor seconds of each side, and bytes by message type."""

    def __init__(self, forwarders, limits, seed):
        self.fleet, self.now = make_fleet(forwarders, limits), SECOND
        self.uniform = Random(seed).random
        self.planner = Planner(self.now, 'p0-life', self.fleet, 0)
        self.forwarders = [self.forwarder(number) for number in range(forwarders)]
        self.planner_s = self.forwarders_s = 0.0
        self.digest_bytes = self.plan_bytes = 0
        for _ in range(WARM_UP_ROUNDS):
            self.run()

    def forwarder(self, number):
        """Return a forwarder that wants more than its share, or less if its number is odd."""
        fleet = self.fleet
        seat_shares = fleet.seat_parts(number % fleet.seats)
        forwarder_ledger = ForwarderLedger(
            self.now - 10 * fleet.deposit_term,
            'f%d' % number,
            [row.name for row in fleet.planner],
            seat_shares,
            fleet.lease,
            fleet.deposit_term,
            fleet.lease_tails(),
            fleet.units(),
            Budgets(fleet.mosts()),
        )
        names = [limit.name for limit in fleet.limit]
        spare = {name: GRAINS_PER_UNIT // 2 for name in names} if number % 2 else {}
        wants = {} if number % 2 else {name: 8 * GRAINS_PER_UNIT for name in names}
        return Forwarder(self.now, fleet, forwarder_ledger, lambda now: (spare, wants), dict, self.uniform)

    def run(self):
        """Run one round."""
        self.planner_s = self.forwarders_s = 0.0
        self.digest_bytes = self.plan_bytes = 0
        self.now += self.fleet.lease // DIGESTS_PER_LEASE
        for forwarder in self.forwarders:
            started = time.process_time()
            digest = pack(DIGEST, forwarder.digest(self.now, 'p0'))
            digest_ready = time.process_time()
            [(_, fields)] = Frames().feed(digest)
            plan = pack(PLAN, self.planner.process_digest(self.now, fields))
            plan_ready = time.process_time()
            [(_, fields)] = Frames().feed(plan)
            forwarder.apply_plan(self.now, 'p0', fields)
            ended = time.process_time()
            self.planner_s += plan_ready - digest_ready
            self.forwarders_s += digest_ready - started + ended - plan_ready
            self.digest_bytes += len(digest)
            self.plan_bytes += len(plan)


def measure_round(forwarders, limits, seed, metric):
    """Return a function that runs a round and returns this metric per forwarder."""
    planner_round = PlannerRound(forwarders, limits, seed)

    def value():
        planner_round.run()
        return metric(planner_round) / forwarders

    return value


def planner_digest(forwarders, seed):
    """Microseconds of processor time at a planner for one digest and its plan, by forwarders."""
    return measure_round(forwarders, LIMITS, seed, lambda planner_round: planner_round.planner_s * 1e6)


def planner_digest_by_limits(limits, seed):
    """Microseconds of processor time at a planner for one digest and its plan, by limits."""
    return measure_round(FORWARDERS, limits, seed, lambda planner_round: planner_round.planner_s * 1e6)


def forwarder_digest(limits, seed):
    """Microseconds of processor time at a forwarder for one digest and its plan, by limits."""
    return measure_round(FORWARDERS, limits, seed, lambda planner_round: planner_round.forwarders_s * 1e6)


def link_bytes(limits, seed):
    """Bytes of one digest and its plan, by limits."""
    return measure_round(
        FORWARDERS, limits, seed, lambda planner_round: planner_round.digest_bytes + planner_round.plan_bytes
    )


def voter_message(tasks, seed):
    """Microseconds of processor time at a voter for a renewal, by tasks held."""
    lease = 5 * SECOND
    voter = Voter(0, 'v0', lease, lambda bound: True, 1)
    now = 20 * SECOND
    numbers, seqs = {}, dict.fromkeys(range(tasks), 0)

    def exchange(task, verb, number):
        seqs[task] += 1
        message = {
            'task': 't%d' % task,
            'life': 'l%d' % task,
            'seq': seqs[task],
            'verb': verb,
            'number': number,
        }
        return voter.on_message(now, message)[0]

    for task in range(tasks):
        reply = exchange(task, 'ask', 0)
        numbers[task] = reply['number'] + 1
        exchange(task, 'confirm', numbers[task])

    def value():
        started = time.process_time()
        for count in range(RENEWALS_PER_VALUE):
            exchange(count % tasks, 'renew', numbers[count % tasks])
        return (time.process_time() - started) / RENEWALS_PER_VALUE * 1e6

    return value
