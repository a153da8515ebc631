"""Makes a static HTML page from records of runs: figures, violations, and plots with the faults marked.

Reads records only; a truncated record gives a page of the rows that it has.
"""

import base64
import io
from collections import Counter, defaultdict

import msgspec

from . import recorder
from .judges import judge
from .scenario import Scenario
from .service import figures

PAGE = """<!doctype html><html lang="en"><head><meta charset="utf-8"><title>lilacdyke lab</title><style>
body{font:15px/1.5 system-ui,sans-serif;max-width:64rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:.6rem 0}td,th{padding:.15rem .9rem .15rem 0;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.broken{color:#a00}h2{margin-top:2.4rem}</style></head>
<body><h1>lilacdyke lab</h1><p>All figures are simulated or from stand-ins on loopback.</p>
{% if runs|length > 1 %}<table><tr><th>run</th><th>G</th><th>worst 10 s</th><th>p99 ms</th><th>transactions</th>
<th>breaches</th></tr>{% for run in runs %}<tr><td><a href="#r{{ loop.index }}">{{ run.title }}</a></td>
<td>{{ '%.3f'|format(run.summary.G) }}</td><td>{{ '%.3f'|format(run.summary.worst_10s) }}</td>
<td>{{ '%.0f'|format(run.summary.p99_ms) }}</td><td>{{ run.summary.transactions
}}</td><td>{{ run.broken|length }}</td></tr>
{% endfor %}</table>{% endif %}
{% for run in runs %}<h2 id="r{{ loop.index }}">{{ run.title }}</h2><p>{{ run.about }}</p>
<table>{% for name, value in run.rows %}<tr><td>{{ name }}</td><td>{{ value }}</td></tr>{% endfor %}</table>
{% if run.broken %}<p class="broken">{{ run.broken|length }} breaches</p><table>
{% for found in run.broken[:50] %}<tr class="broken"><td>{{ found.rule }}</td><td>{{ '%.3f'|format(found.when / 1e6) }} s</td>
<td style="text-align:left">{{ found.text }}</td></tr>{% endfor %}</table>{% else %}<p>No rule broken.</p>{% endif %}
{% for plot in run.plots %}<p><img alt="{{ plot[0] }}" src="data:image/png;base64,{{ plot[1] }}"></p>{% endfor %}
{% if run.faults %}<table><tr><th>trouble</th><th>whom</th><th>from s</th><th>to s</th></tr>
{% for kind, what, begin, end in run.faults %}<tr><td>{{ kind }}</td><td>{{ what }}</td><td>{{ '%.2f'|format(begin) }}</td>
<td>{{ '%.2f'|format(end) }}</td></tr>{% endfor %}</table>{% endif %}{% endfor %}</body></html>"""


class Run:
    """The contents of one record for the page."""

    def __init__(self, path):
        head, rows = recorder.load(path)
        scenario = msgspec.convert(head['scenario'], Scenario, strict=False)
        if not rows:
            raise ValueError('%s: a record without rows' % path)
        self.title = '%s, seed %s, %s' % (scenario.name, head['seed'], head.get('ground', 'simulated'))
        self.about, self.summary, self.broken = scenario.about, figures(scenario, rows), judge(scenario, rows)
        self.rows = [
            (name.replace('_', ' '), value)
            for name, value in self.summary.items()
            if not isinstance(value, dict)
        ]
        self.rows += [
            ('%s: %s' % (name, inner), value)
            for name in ('outcomes', 'answers', 'profiles')
            for inner, value in self.summary[name].items()
        ]
        self.faults = [(row[2], row[3], row[1] / 1e6, row[4] / 1e6) for row in rows if row[0] == 'fault']
        self.plots = plots(rows, self.faults)


def plots(rows, faults):
    """Return the plots as [(title, PNG in base64)]."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    outcomes, latencies, servers, nodes = (
        defaultdict(Counter),
        defaultdict(list),
        defaultdict(Counter),
        defaultdict(Counter),
    )
    for row in rows:
        second = row[1] // 1_000_000
        if row[0] == 'over':
            outcomes[row[3]][second] += 1
            if row[3] == 'served':
                latencies[second].append(row[4] / 1e3)
        elif row[0] == 'hop':
            servers[row[3]][second] += 1
            nodes[row[6]][second] += 1
    seconds = range(int(max(row[1] for row in rows) // 1_000_000) + 1)

    def plot_series(title, ylabel, series, log=False):
        figure, axes = pyplot.subplots(figsize=(9, 2.8), layout='constrained')
        for name, values in series:
            axes.plot(list(seconds), values, label=name, linewidth=1.4)
        for kind, what, begin, end in faults:
            axes.axvspan(begin, end, color='grey', alpha=0.12)
            axes.annotate(
                kind, (begin, 0.98), xycoords=('data', 'axes fraction'), fontsize=7, rotation=90, va='top'
            )
        axes.set(title=title, xlabel='s', ylabel=ylabel)
        if log:
            axes.set_yscale('log')
        if 1 < len(series) <= 14:
            axes.legend(fontsize=7, ncols=2)
        out = io.BytesIO()
        figure.savefig(out, format='png', dpi=110, metadata={'Software': None})
        pyplot.close(figure)
        return title, base64.b64encode(out.getvalue()).decode()

    def quantile(values, part):
        return sorted(values)[int(part * (len(values) - 1))] if values else float('nan')

    return [
        plot_series(
            'Transactions by outcome',
            'a second',
            [(name, [count[s] for s in seconds]) for name, count in sorted(outcomes.items())],
        ),
        plot_series(
            'Latency of what was served',
            'ms',
            [
                ('%d %%' % (part * 100), [quantile(latencies[s], part) for s in seconds])
                for part in (0.5, 0.95, 0.99)
            ],
            log=True,
        ),
        plot_series(
            'Hops by server',
            'a second',
            [(name, [count[s] for s in seconds]) for name, count in sorted(servers.items())],
        ),
        plot_series(
            'Hops by node',
            'a second',
            [(name, [count[s] for s in seconds]) for name, count in sorted(nodes.items())],
        ),
    ]


def write(out, paths):
    """Write the page for these records."""
    import jinja2

    page = jinja2.Environment(autoescape=True).from_string(PAGE).render(runs=[Run(path) for path in paths])
    with open(out, 'w', encoding='utf-8') as file:
        file.write(page)
