"""Minimizes a failing scenario: fewer faults, a shorter run, fewer servers, as long as it still fails.

Calls a predicate and plays nothing itself.
"""

import msgspec


def smaller(scenario):
    """Yield scenarios that are one step smaller, the largest steps first."""
    replace = msgspec.structs.replace
    events = scenario.events
    for size in (len(events) // 2, 1):
        if size:
            for at in range(0, len(events), size):
                yield replace(scenario, events=events[:at] + events[at + size :])
    last = max((event.at_s + event.for_s for event in events), default=0) + 1
    for length in (last, scenario.length_s / 2, scenario.length_s * 0.8):
        if 0.5 <= length < scenario.length_s - 0.2 and all(event.at_s <= length for event in events):
            yield replace(scenario, length_s=round(length, 2))
    if scenario.nodes > 1:
        yield replace(scenario, nodes=scenario.nodes - 1)
    if len(scenario.kinds) > 1:
        yield replace(scenario, kinds=scenario.kinds[:1])
    for index, kind in enumerate(scenario.kinds):
        if kind.count > 1:
            kinds = list(scenario.kinds)
            kinds[index] = replace(kind, count=kind.count - 1)
            yield replace(scenario, kinds=kinds)
    if scenario.load.rate > 10:
        yield replace(scenario, load=replace(scenario.load, rate=round(scenario.load.rate / 2, 1)))
    if len(scenario.profiles) > 1:
        for at in range(len(scenario.profiles)):
            yield replace(scenario, profiles=scenario.profiles[:at] + scenario.profiles[at + 1 :])
    for field in ('leave', 'fresh', 'slow_read', 'rude', 'retries'):
        value = 0 if field == 'retries' else 0.0
        if getattr(scenario.clients, field) != value:
            yield replace(scenario, clients=replace(scenario.clients, **{field: value}))
    if scenario.tenants:
        yield replace(scenario, tenants=[])
    if scenario.zones > 1:
        yield replace(scenario, zones=scenario.zones - 1)
    if scenario.net.jitter:
        yield replace(scenario, net=replace(scenario.net, jitter=0.0))


def shrink(scenario, fails, tries=150):
    """Return the smallest scenario found that still fails, and the number of candidates tried. The predicate
    fails(scenario) returns False for invalid scenarios."""
    played, going = 0, True
    while going and played < tries:
        going = False
        for candidate in smaller(scenario):
            if played >= tries:
                break
            played += 1
            if fails(candidate):
                scenario, going = candidate, True
                break
    return scenario, played
