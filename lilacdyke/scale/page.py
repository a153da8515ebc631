"""Writes the tables of docs/CAPACITY.md from recorded rows.

Only the text between the markers of a table is replaced.
"""

import re

from ..values import InvalidValueError
from . import slopes
from .budgets import CLAIMS, bounds

MARKER = '<!-- scale: %s -->'
END_MARKER = '<!-- end -->'
OVER_BUDGET = '**red, x %.3g**'
KILLED_SUFFIX = '-relay-killed'  # suffix of a run's figures


def markdown_table(head, rows):
    """Return a Markdown table."""
    return '\n'.join('| %s |' % ' | '.join(row) for row in (head, ['---'] * len(head), *rows))


def format_number(value):
    """Return a number with three significant digits, or with all integer digits from 1,000 on."""
    if value == 0:
        return '0'
    return '{:,.0f}'.format(value) if abs(value) >= 1_000 else '%.3g' % value


def measured_table(rows):
    """Return the table of medians by measurement and size, with the spread of their repeats."""
    found = []
    for name, measure in slopes.MEASURES.items():
        measure_rows = [row for row in rows if row.measure == name]
        if not measure_rows:
            continue
        line = slopes.fit_line(rows, name)
        found.append(
            [
                '`%s`' % name,
                measure.description,
                '; '.join(
                    '%s: %s' % ('{:,}'.format(row.size), format_number(row.median)) for row in measure_rows
                ),
                measure.unit,
                '%s + %s x %s' % (format_number(line.base), format_number(line.slope), measure.dimension),
                '%.0f%%' % (100 * max(row.spread for row in measure_rows)),
            ]
        )
    return markdown_table(
        ['row', 'what', 'median by size', 'unit', 'line', 'widest spread of repeats'], found
    )


def roles_table(rows):
    """Return the table of claims at the reference size, against their budgets."""
    lines = {
        name: slopes.fit_line(rows, name) for name in {name for claim in CLAIMS for name in claim.measures}
    }
    found = []
    for claim in CLAIMS:
        value = claim.compute(lines)
        extrapolated = not claim.measures or not all(
            lines[name].covers(size) for name, size in zip(claim.measures, claim.sizes, strict=True)
        )
        found.append(
            [
                claim.role,
                claim.subject,
                claim.formula,
                '%s %s%s'
                % (
                    format_number(value * claim.display_factor),
                    claim.unit,
                    ' (worked out)' if extrapolated else '',
                ),
                '%s %s' % (format_number(claim.budget * claim.display_factor), claim.unit),
                OVER_BUDGET % (value / claim.budget)
                if value > claim.budget
                else 'fits, x %.2g' % (value / claim.budget),
                claim.implemented_by,
                claim.verified_by,
            ]
        )
    head = ['role', 'what', 'formula', 'comes to', 'may cost', 'verdict', 'carried by', 'proved by']
    return markdown_table(head, found)


def bounds_table(_):
    """Return the table of limits in the code, against the reference size."""
    found = [
        [
            row.subject,
            format_number(row.limit),
            format_number(row.required),
            OVER_BUDGET % (row.required / row.limit) if row.required > row.limit else 'fits',
            row.location,
        ]
        for row in bounds()
    ]
    return markdown_table(['bound', 'is', 'wanted', 'verdict', 'where'], found)


def runs_table(rows):
    """Return the table of figures by scale run."""
    commands = list(dict.fromkeys(row.command for row in rows if row.measure not in slopes.MEASURES))
    if not commands:
        return 'None is recorded.'
    values = {(row.measure.removesuffix(KILLED_SUFFIX), row.command): row for row in rows}
    names = list(dict.fromkeys(name for name, command in values if command in commands))
    found = []
    for name in names:
        row = [values.get((name, command)) for command in commands]
        unit = next(each.unit for each in row if each is not None)
        found.append(
            [
                name.replace('-', ' '),
                unit,
                *('' if each is None else format_number(each.median) for each in row),
            ]
        )
    return markdown_table(['figure', 'unit', *('`%s`' % command for command in commands)], found)


def provenance(rows):
    """Return a line with the number, repeats, seeds and machines of the rows."""
    machines = sorted({row.machine for row in rows})
    repeats = sorted({len(row.values) for row in rows})
    return '%d rows, %s repeats each, seed %s, on %s.' % (
        len(rows),
        ' or '.join(map(str, repeats)),
        ', '.join(str(seed) for seed in sorted({row.seed for row in rows})),
        '; '.join(machines),
    )


TABLES = {
    'provenance': provenance,
    'measured': measured_table,
    'runs': runs_table,
    'roles': roles_table,
    'bounds': bounds_table,
}


def fill(text, rows):
    """Return the page with new tables. Raise InvalidValueError if a marker is missing or appears twice."""
    for name, make in TABLES.items():
        marker = MARKER % name
        if text.count(marker) != 1:
            raise InvalidValueError('%s: found %d times, expected once' % (marker, text.count(marker)))
        pattern = re.compile(re.escape(marker) + r'.*?' + re.escape(END_MARKER), re.DOTALL)
        body = '%s\n\n%s\n\n%s' % (marker, make(rows), END_MARKER)
        text, count = pattern.subn(lambda _, body=body: body, text)
        if count != 1:
            raise InvalidValueError('%s: no %s after it' % (marker, END_MARKER))
    return text
