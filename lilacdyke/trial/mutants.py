"""The names of the mutants that trials run.

The lab defines each mutant and the faults that should expose it (lab/mutants.py).
"""

NAMES = [
    'part-spent-twice',
    'lease-past-its-end',
    'tokens-not-taken',
    'bucket-without-bound',
    'seat-held-twice',
    'bank-forgets-leases',
    'waits-for-a-plan',
    'planner-lends-at-once',
    'limit-read-once',
    'links-not-counted',
    'smaller-lease-held',
    'plan-without-age',
]
