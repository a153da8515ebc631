"""The tables of docs/CAPACITY.md, made from recorded rows.

Owns the marks between which a table stands, and its words. Must never touch what stands outside of them.
"""

import re

from ..values import BadLine
from . import slopes
from .budgets import CLAIMS, bounds

MARK = '<!-- scale: %s -->'
END = '<!-- end -->'
RED = '**red, x %.3g**'
KILLED = '-relay-killed'  # behind the names of a run's figures


def table(head, rows):
    """Lines of a Markdown table."""
    return '\n'.join('| %s |' % ' | '.join(row) for row in (head, ['---'] * len(head), *rows))


def figure(value):
    """A number with three places that count."""
    if value == 0:
        return '0'
    return '{:,.0f}'.format(value) if abs(value) >= 1_000 else '%.3g' % value


def measured(rows):
    """The medians, by measurement and size, with the spread of their repeats."""
    found = []
    for name, measure in slopes.MEASURES.items():
        mine = [row for row in rows if row.measure == name]
        if not mine:
            continue
        line = slopes.line(rows, name)
        found.append(
            [
                '`%s`' % name,
                measure.about,
                '; '.join('%s: %s' % ('{:,}'.format(row.size), figure(row.median)) for row in mine),
                measure.unit,
                '%s + %s x %s' % (figure(line.base), figure(line.slope), measure.varied),
                '%.0f%%' % (100 * max(row.spread for row in mine)),
            ]
        )
    return table(['row', 'what', 'median by size', 'unit', 'line', 'widest spread of repeats'], found)


def figures_by_role(rows):
    """Each claim at the named size, against its budget."""
    lines = {name: slopes.line(rows, name) for name in {name for claim in CLAIMS for name in claim.lines}}
    found = []
    for claim in CLAIMS:
        value = claim.value(lines)
        beyond = not claim.lines or not all(
            lines[name].within(size) for name, size in zip(claim.lines, claim.sizes, strict=True)
        )
        found.append(
            [
                claim.role,
                claim.what,
                claim.formula,
                '%s %s%s' % (figure(value * claim.scale), claim.unit, ' (worked out)' if beyond else ''),
                '%s %s' % (figure(claim.budget * claim.scale), claim.unit),
                RED % (value / claim.budget)
                if value > claim.budget
                else 'fits, x %.2g' % (value / claim.budget),
                claim.carried_by,
                claim.proved_by,
            ]
        )
    head = ['role', 'what', 'formula', 'comes to', 'may cost', 'verdict', 'carried by', 'proved by']
    return table(head, found)


def bounds_in_code(_):
    """The bounds of the code against the named size."""
    found = [
        [
            row.what,
            figure(row.bound),
            figure(row.wanted),
            RED % (row.wanted / row.bound) if row.wanted > row.bound else 'fits',
            row.where,
        ]
        for row in bounds()
    ]
    return table(['bound', 'is', 'wanted', 'verdict', 'where'], found)


def runs(rows):
    """Figures of scale runs, by run."""
    commands = list(dict.fromkeys(row.command for row in rows if row.measure not in slopes.MEASURES))
    if not commands:
        return 'None is recorded.'
    values = {(row.measure.removesuffix(KILLED), row.command): row for row in rows}
    names = list(dict.fromkeys(name for name, command in values if command in commands))
    found = []
    for name in names:
        row = [values.get((name, command)) for command in commands]
        unit = next(each.unit for each in row if each is not None)
        found.append(
            [name.replace('-', ' '), unit, *('' if each is None else figure(each.median) for each in row)]
        )
    return table(['figure', 'unit', *('`%s`' % command for command in commands)], found)


def provenance(rows):
    """By what the rows were made."""
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
    'measured': measured,
    'runs': runs,
    'roles': figures_by_role,
    'bounds': bounds_in_code,
}


def filled(text, rows):
    """The page with its tables made anew; a BadLine names a mark that is missing or unknown."""
    for name, make in TABLES.items():
        mark = MARK % name
        if text.count(mark) != 1:
            raise BadLine('%s: stands there %d times' % (mark, text.count(mark)))
        pattern = re.compile(re.escape(mark) + r'.*?' + re.escape(END), re.DOTALL)
        body = '%s\n\n%s\n\n%s' % (mark, make(rows), END)
        text, count = pattern.subn(lambda _, body=body: body, text)
        if count != 1:
            raise BadLine('%s: no %s after it' % (mark, END))
    return text
