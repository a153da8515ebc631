"""The measurements by size, and the line fitted through the medians of each.

A caller that evaluates a line beyond its measured sizes has to label the figure as extrapolated.
"""

from typing import NamedTuple

from . import control, datapath
from .rows import Row, machine

SEED = 1


class Measure(NamedTuple):
    """One measurement. prepare(size, seed): returns a function that measures one value per call."""

    description: str
    dimension: str  # the unit of sizes
    unit: str
    sizes: tuple
    prepare: object


SERVERS = (10, 50, 200, 1_000, 4_600)
MEASURES = {
    'decision': Measure(
        'a read, from its start to its answer', 'servers listed', 'us', SERVERS, datapath.decision
    ),
    'whole-list': Measure(
        'a whole list, read and taken', 'servers listed', 'ms', SERVERS, datapath.whole_list
    ),
    'changed-entry': Measure(
        'one changed entry of the list, taken', 'servers listed', 'ms', SERVERS, datapath.changed_entry
    ),
    'list-memory': Measure(
        'what a list holds in the module', 'servers listed', 'KB', SERVERS, datapath.list_memory
    ),
    'list-bytes': Measure('a whole list on the wire', 'servers listed', 'KB', SERVERS, datapath.list_bytes),
    'planner-digest': Measure(
        'one digest at a planner, with its plan',
        'forwarders',
        'us',
        (50, 200, 800, 2_000),
        control.planner_digest,
    ),
    'planner-digest-by-limits': Measure(
        'the same', 'limits', 'us', (1, 4, 16, 32), control.planner_digest_by_limits
    ),
    'forwarder-digest': Measure(
        'one digest at a forwarder, with its plan', 'limits', 'us', (1, 4, 16, 32), control.forwarder_digest
    ),
    'link-bytes': Measure(
        'one digest and its plan on the wire', 'limits', 'B', (1, 4, 16, 32), control.link_bytes
    ),
    'voter-message': Measure(
        'one renewal of a lease at a voter', 'tasks held', 'us', (1, 10, 100, 500), control.voter_message
    ),
}


def run(names, repeats, largest, on_row=lambda row: None):
    """Take these measurements up to the largest size. Return their rows; on_row is called with each."""
    rows = []
    for name in names:
        measure = MEASURES[name]
        for size in [size for size in measure.sizes if size <= largest]:
            value = measure.prepare(size, SEED)
            row = Row(
                measure=name,
                size=size,
                unit=measure.unit,
                values=[round(value(), 4) for _ in range(repeats)],
                command='lilacdyke scale slopes %s --repeats %d' % (name, repeats),
                seed=SEED,
                machine=machine(),
            )
            rows.append(row)
            on_row(row)
    return rows


class FittedLine(NamedTuple):
    """base + slope x size, by least squares through the medians, weighted by relative error."""

    base: float
    slope: float
    smallest: int
    largest: int

    def at(self, size):
        """Return the value at a size."""
        return self.base + self.slope * size

    def covers(self, size):
        """Return whether a size is within the measured range."""
        return self.smallest <= size <= self.largest


def fit_line(rows, name):
    """Fit a line to the rows of one measurement. Raise ValueError if it has fewer than two sizes."""
    points = sorted((row.size, row.median) for row in rows if row.measure == name)
    if len(points) < 2:
        raise ValueError('%s: %d sizes measured, at least two are required' % (name, len(points)))
    # Without relative weights the largest size would dominate, and the base would be noise.
    weights = [1 / max(value, 1e-9) ** 2 for _, value in points]
    total = sum(weights)
    mean_x = sum(w * x for w, (x, _) in zip(weights, points, strict=True)) / total
    mean_y = sum(w * y for w, (_, y) in zip(weights, points, strict=True)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, (x, _) in zip(weights, points, strict=True))
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, (x, y) in zip(weights, points, strict=True)) / spread
    return FittedLine(mean_y - slope * mean_x, slope, points[0][0], points[-1][0])
