"""Service figures of a run: revenue in goal, worst window, worst profile, latencies, extra work, connections.

Computed from the recorded rows alone; rules are checked elsewhere.
"""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

WINDOW = 10_000_000  # microseconds


def earned_revenue(profile, outcome, latency):
    """Return the revenue of one transaction."""
    if outcome != 'served':
        return 0.0
    return profile.revenue * (1.0 if latency <= profile.goal_s * 1e6 else profile.late_revenue)


def earned_share(parts):
    """Return the share of revenue earned, from (earned, possible) pairs."""
    possible = sum(pair[1] for pair in parts)
    return sum(pair[0] for pair in parts) / possible if possible else 1.0


def figures(scenario, rows):
    """Return all figures of a run as a dict. G is from 0 to 1; latencies are in milliseconds."""
    profiles = {profile.name: profile for profile in scenario.profiles}
    first, counts, total_work, useful_work = {}, Counter(), 0, 0
    outcomes, answers, latencies = Counter(), Counter(), HdrHistogram(1, 120_000_000, 3)
    earned, possible, windows = defaultdict(float), defaultdict(float), defaultdict(list)
    works = {}
    for row in rows:
        kind = row[0]
        counts[kind] += 1
        if kind == 'ask':
            first.setdefault(row[3], (row[1], profiles[row[5]]))
        elif kind == 'answer':
            answers[str(row[3])] += 1
        elif kind == 'hop':
            works[row[2]] = row[8]
        elif kind == 'worked':
            total_work += works.get(row[2], 0)
        elif kind == 'over':
            _, at, tx, outcome, latency = row
            outcomes[outcome] += 1
            begun = first.get(tx)
            profile = begun[1] if begun else scenario.profiles[0]
            if outcome == 'left':
                continue
            income = earned_revenue(profile, outcome, latency)
            earned[profile.name] += income
            possible[profile.name] += profile.revenue
            windows[(at - latency) // WINDOW].append((income, profile.revenue))
            if outcome == 'served':
                latencies.record_value(max(1, latency))
                useful_work += profile.work_ms * 1_000
    by_profile = {name: earned[name] / possible[name] if possible[name] else 1.0 for name in profiles}
    whole = earned_share([(earned[name], possible[name]) for name in profiles])
    full = [parts for parts in windows.values() if len(parts) >= 10] or [parts for parts in windows.values()]
    worst = min((earned_share(parts) for parts in full), default=whole)
    prices, served = scenario.prices, max(1, outcomes['served'])
    waste = max(0.0, total_work / useful_work - 1) if useful_work else 0.0
    total = prices.whole + prices.worst + prices.profile or 1.0
    service = (
        prices.whole * whole + prices.worst * worst + prices.profile * min(by_profile.values())
    ) / total
    fees = prices.handshake * min(1.0, counts['link'] / served) + prices.waste * min(1.0, waste)
    return {
        'G': round(max(0.0, service - fees), 4),
        'whole': round(whole, 4),
        'worst_10s': round(worst, 4),
        'worst_profile': round(min(by_profile.values()), 4),
        'profiles': {name: round(value, 4) for name, value in by_profile.items()},
        'transactions': sum(outcomes.values()),
        'tries': counts['ask'],
        'hops': counts['hop'],
        'outcomes': dict(sorted(outcomes.items())),
        'answers': dict(sorted(answers.items())),
        'p50_ms': latencies.get_value_at_percentile(50) / 1e3,
        'p95_ms': latencies.get_value_at_percentile(95) / 1e3,
        'p99_ms': latencies.get_value_at_percentile(99) / 1e3,
        'max_ms': latencies.get_max_value() / 1e3,
        'extra_work': round(waste, 4),
        'connections': counts['link'],
        'hops_per_transaction': round(counts['hop'] / max(1, sum(outcomes.values())), 4),
    }
