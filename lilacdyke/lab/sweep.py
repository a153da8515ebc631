"""Parameter sweeps: plays a scenario with different values of one quantity."""

import tomllib

import msgspec

from . import runs
from . import scenario as scenarios
from .scenario import BadScenario, Scenario


def put(scenario, path, text):
    """Return the scenario with a value replaced at a dotted path, such as load.rate or events.0.size."""
    tree = scenarios.plain(scenario)
    try:
        value = tomllib.loads('v = %s' % text)['v']
    except ValueError:
        value = text
    *parents, last = path.split('.')
    node = tree
    try:
        for step in parents:
            node = node[int(step)] if isinstance(node, list) else node[step]
        last = int(last) if isinstance(node, list) else last
        if isinstance(node, dict) and last not in node:
            raise KeyError(last)
        node[last] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise BadScenario('%s: no such quantity: %s' % (scenario.name, path)) from None
    try:
        return scenarios.check(msgspec.convert(tree, Scenario, strict=not isinstance(value, int)))
    except msgspec.ValidationError as err:
        raise BadScenario('%s: %s: %s' % (scenario.name, path, err)) from None


def points(scenario, path, values):
    """Return [(value, scenario)], all checked."""
    return [(value, put(scenario, path, value)) for value in values]


def sweep(given, seeds, jobs, on_progress):
    """Play each point with `seeds` seeds; return (rows of means, whether all were played)."""
    tasks = [(scenarios.write(scenario), seed, None) for _, scenario in given for seed in range(1, seeds + 1)]
    ended = {}

    def add_outcome(index, outcome):
        ended[index] = outcome
        on_progress(len(ended))

    complete = runs.many(tasks, jobs, add_outcome)
    rows = []
    for number, (value, _) in enumerate(given):
        point_outcomes = [
            ended[index] for index in range(number * seeds, (number + 1) * seeds) if index in ended
        ]
        for outcome in point_outcomes:
            if isinstance(outcome, Exception):
                raise outcome
        if point_outcomes:
            rows.append(mean(value, point_outcomes))
    return rows, complete


def mean(value, outcomes):
    """Return the mean figures of one point over its seeds."""

    def mean_of(name):
        return sum(outcome.figures[name] for outcome in outcomes) / len(outcomes)

    return {
        'value': value,
        'G': mean_of('G'),
        'worst': mean_of('worst_10s'),
        'p99_ms': mean_of('p99_ms'),
        'hops': mean_of('hops_per_transaction'),
        'extra': mean_of('extra_work'),
        'runs': len(outcomes),
        'pace': mean_of('transactions') * len(outcomes) / sum(outcome.wall for outcome in outcomes),
        'broken': sum(bool(outcome.broken) for outcome in outcomes),
    }
