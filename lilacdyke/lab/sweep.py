"""Sweeps: one quantity of a scenario varied, all else the same.

Owns how a quantity is named and put in. Must never play a scenario that was not checked.
"""

import tomllib

import msgspec

from . import runs
from . import scenario as scenarios
from .scenario import BadScenario, Scenario


def put(scenario, path, text):
    """The scenario with the value at a dotted path put in place, as load.rate or events.0.size."""
    tree = scenarios.plain(scenario)
    try:
        value = tomllib.loads('v = %s' % text)['v']
    except ValueError:
        value = text
    *way, last = path.split('.')
    place = tree
    try:
        for step in way:
            place = place[int(step)] if isinstance(place, list) else place[step]
        last = int(last) if isinstance(place, list) else last
        if isinstance(place, dict) and last not in place:
            raise KeyError(last)
        place[last] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise BadScenario('%s: no such quantity: %s' % (scenario.name, path)) from None
    try:
        return scenarios.check(msgspec.convert(tree, Scenario, strict=not isinstance(value, int)))
    except msgspec.ValidationError as err:
        raise BadScenario('%s: %s: %s' % (scenario.name, path, err)) from None


def points(scenario, path, values):
    """[(value, scenario)], all checked before one is played."""
    return [(value, put(scenario, path, value)) for value in values]


def sweep(given, seeds, jobs, told):
    """Play each point with so many seeds: (rows of means, whether all were played)."""
    tasks = [(scenarios.write(scenario), seed, None) for _, scenario in given for seed in range(1, seeds + 1)]
    ended = {}

    def each(index, outcome):
        ended[index] = outcome
        told(len(ended))

    whole = runs.many(tasks, jobs, each)
    rows = []
    for number, (value, _) in enumerate(given):
        mine = [ended[index] for index in range(number * seeds, (number + 1) * seeds) if index in ended]
        for outcome in mine:
            if isinstance(outcome, Exception):
                raise outcome
        if mine:
            rows.append(mean(value, mine))
    return rows, whole


def mean(value, outcomes):
    """The figures of one point, over its seeds."""

    def of(name):
        return sum(outcome.figures[name] for outcome in outcomes) / len(outcomes)

    return {
        'value': value,
        'G': of('G'),
        'worst': of('worst_10s'),
        'p99_ms': of('p99_ms'),
        'hops': of('hops_per_transaction'),
        'extra': of('extra_work'),
        'runs': len(outcomes),
        'pace': of('transactions') * len(outcomes) / sum(outcome.wall for outcome in outcomes),
        'broken': sum(bool(outcome.broken) for outcome in outcomes),
    }
