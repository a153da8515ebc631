"""Which broken forms of the program the trial hunts.

Owns names only: how each is broken, and under which troubles it should show, stands with the lab's mutants,
as the same code runs in both.
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
