"""Plays many random scenarios and checks them; failing ones are minimized and written as scenario files."""

from pathlib import Path

from . import draw, runs
from . import scenario as scenarios
from .shrink import shrink


class Tally:
    """The results of an exploration so far."""

    def __init__(self):
        self.runs, self.transactions, self.broken, self.crashed, self.worst = 0, 0, [], [], (2.0, None)

    def add(self, seed, outcome):
        """Add the outcome, or the exception, of one run."""
        self.runs += 1
        if isinstance(outcome, Exception):
            self.crashed.append((seed, '%s: %s' % (type(outcome).__name__, outcome)))
            return
        self.transactions += outcome.figures['transactions']
        self.worst = min(self.worst, (outcome.figures['G'], seed))
        if outcome.broken:
            self.broken.append((seed, outcome.broken))


def explore(first, count, jobs, on_progress, kinds=None, most=4, patch=None, drawn=draw.scenario):
    """Play `count` seeds from `first` on and call back with the tally after each.

    Return (tally, whether all were played).
    """
    tally = Tally()
    seeds = list(range(first, first + count))
    tasks = [(scenarios.write(drawn(seed, kinds, most)), seed, patch) for seed in seeds]

    def add_outcome(index, outcome):
        tally.add(seeds[index], outcome)
        on_progress(tally)

    complete = runs.many(tasks, jobs, add_outcome)
    tally.broken.sort(key=lambda pair: pair[0])
    return tally, complete


def minimal(seed, rule, tries, kinds=None, most=4, patch=None, drawn=draw.scenario):
    """Minimize the scenario of a failing seed so that it still violates the rule; return it and the number of
    runs that this took."""

    def still_fails(candidate):
        try:
            scenarios.check(candidate)
            return any(
                violation[0] == rule
                for violation in runs.one(
                    candidate, candidate.seed, runs.patch_function(patch), hashed=False
                ).broken
            )
        except scenarios.BadScenario:
            return False

    return shrink(drawn(seed, kinds, most), still_fails, tries)


def write(folder, small, rule):
    """Write the scenario that reproduces the violation; return its path."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    path = Path(folder) / ('%s-%s.toml' % (rule, small.name))
    path.write_text(scenarios.write(small), encoding='utf-8')
    return path
