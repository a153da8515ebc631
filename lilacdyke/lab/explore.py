"""Explores: many random scenarios, judged; what fails is shrunk and written as a scenario.

Owns the loop over seeds and what it prints at its end. Must never call a run good that was not judged.
"""

from pathlib import Path

from . import draw, runs
from . import scenario as scenarios
from .shrink import shrink


class Tally:
    """What an exploration has come to."""

    def __init__(self):
        self.runs, self.transactions, self.broken, self.crashed, self.worst = 0, 0, [], [], (2.0, None)

    def add(self, seed, outcome):
        """One more run."""
        self.runs += 1
        if isinstance(outcome, Exception):
            self.crashed.append((seed, '%s: %s' % (type(outcome).__name__, outcome)))
            return
        self.transactions += outcome.figures['transactions']
        self.worst = min(self.worst, (outcome.figures['G'], seed))
        if outcome.broken:
            self.broken.append((seed, outcome.broken))


def explore(first, count, jobs, told, kinds=None, most=4, patch=None, drawn=draw.scenario):
    """Play so many seeds from the first on; told(tally) after each. (Tally, whether it went to its end)."""
    tally = Tally()
    seeds = list(range(first, first + count))
    tasks = [(scenarios.write(drawn(seed, kinds, most)), seed, patch) for seed in seeds]

    def each(index, outcome):
        tally.add(seeds[index], outcome)
        told(tally)

    whole = runs.many(tasks, jobs, each)
    tally.broken.sort(key=lambda pair: pair[0])
    return tally, whole


def minimal(seed, rule, tries, kinds=None, most=4, patch=None, drawn=draw.scenario):
    """The small scenario that a failing seed comes down to, breaking the same rule; and how many runs that
    took."""

    def fails(candidate):
        try:
            scenarios.check(candidate)
            return any(
                found[0] == rule
                for found in runs.one(candidate, candidate.seed, runs.found(patch), hashed=False).broken
            )
        except scenarios.BadScenario:
            return False

    return shrink(drawn(seed, kinds, most), fails, tries)


def write(folder, small, rule):
    """Keep it as a scenario that reproduces the breach; its path."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    path = Path(folder) / ('%s-%s.toml' % (rule, small.name))
    path.write_text(scenarios.write(small), encoding='utf-8')
    return path
