"""Cost of a node's decisions and server list, by the number of servers in the list.

Measures the router alone, without I/O. Each measurement prepares its state outside the measured time, and
returns a function that measures one value per call.
"""

import json
import time
import tracemalloc
from random import Random

from ..logic import Router, Server
from ..net.discovery import read_list
from ..terms import IDEMPOTENT, Profile, SiteTerms
from ..values import SECOND

GOAL, LIMIT = SECOND // 2, 2 * SECOND  # of the only profile
READS_PER_VALUE = 400  # one value is their mean
ENTRIES_PER_VALUE = 20  # one value is their mean
KEYS = 5_000
ANSWER_TICKS = 100  # latency of a cache


def site_terms(nodes):
    """Return the terms of an installation without an origin, which serves reads only."""
    return SiteTerms(
        profiles=[Profile('read', IDEMPOTENT, 'all', 0, GOAL, 0, LIMIT)],
        tenants=[],
        nodes=nodes,
        zone=0,
        cache_aside=False,
        list_on_request=False,
        may_hedge=True,
        may_cancel=True,
        max_hops=5,
        max_retry_after=0,
        list_request_within=10 * SECOND,
        fall_multiple=3,
        overload_window=SECOND,
        cold_from=0.2,
        warm_up_time=10 * SECOND,
        tick=10,
        cross_zone_fee=0,
        waste_fee=0,
    )


def list_rows(servers):
    """Return the rows of a server list, as the router takes them."""
    return [(Server('s-%08x' % number, False), 'ready', 1.0, None, 0, 0) for number in range(servers)]


def bare_router(servers, seed):
    """Return a router that has received a list."""
    router = Router(site_terms(10_000), seed, 0)
    router.list_replaced(SECOND, list_rows(servers))
    return router


def list_entry(number):
    """Return one server, as in a list from discovery."""
    return {
        'instanceId': 's-%08x' % number,
        'hostPort': '10.%d.%d.%d:8000' % (number >> 16 & 255, number >> 8 & 255, number & 255),
        'zone': 'z%d' % (number % 54),
        'machineType': 'm2',
        'cell': number % 7,
        'lifecycle': 'SERVING',
        'weight': 1.0,
        'startedAtMs': 1_760_000_000_000 + number,
    }


def run_read(router, now, key):
    """Run a read from its start to its answer, and return the time of the answer."""
    transaction = router.take(now, 0, key, now + LIMIT, False, now)
    while (decision := router.decide(now)) is not None:
        if decision[0] == 'send':
            hop = decision[1]
    now += ANSWER_TICKS
    router.hop_ended(now, hop, 'committed', ANSWER_TICKS, True, 1)
    while router.decide(now) is not None:
        pass
    assert transaction.done
    return now


def decision(servers, seed):
    """Microseconds of processor time for a read, from its start to its answer."""
    router, rng, now = bare_router(servers, seed), Random(seed), 2 * SECOND

    def value():
        nonlocal now
        started = time.process_time()
        for _ in range(READS_PER_VALUE):
            now = run_read(router, now, 'k%d' % rng.randrange(KEYS))
        return (time.process_time() - started) / READS_PER_VALUE * 1e6

    value()  # warm-up: the first reads initialise the state of servers
    return value


def whole_list(servers, seed):
    """Milliseconds of processor time to parse a whole list and apply it to the router."""
    text = json.dumps({'generation': 5, 'reset': True, 'instances': [list_entry(n) for n in range(servers)]})

    def value():
        router = Router(site_terms(10_000), seed, 0)
        started = time.process_time()
        read_list(json.loads(text))
        router.list_replaced(SECOND, list_rows(servers))
        return (time.process_time() - started) * 1e3

    return value


def changed_entry(servers, seed):
    """Milliseconds of processor time for one changed entry of the list."""
    router = bare_router(servers, seed)
    known, rng = list(router.servers_by_name.values()), Random(seed)

    def value():
        started = time.process_time()
        for number in range(ENTRIES_PER_VALUE):
            server = rng.choice(known)
            router.list_changed(
                2 * SECOND, [(server, 'draining' if number % 2 else 'ready', 1.0, None, 0, 0)]
            )
        return (time.process_time() - started) / ENTRIES_PER_VALUE * 1e3

    return value


def list_memory(servers, seed):
    """KB of memory that a list of servers takes in the router."""

    def value():
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            router = bare_router(servers, seed)
            return (tracemalloc.get_traced_memory()[0] - before) / 1_024
        finally:
            del router
            tracemalloc.stop()

    return value


def list_bytes(servers, seed):
    """KB of a whole list on the wire, as compact JSON."""
    whole = {'generation': 5, 'reset': True, 'instances': [list_entry(n) for n in range(servers)]}
    return lambda: len(json.dumps(whole, separators=(',', ':'))) / 1_024
