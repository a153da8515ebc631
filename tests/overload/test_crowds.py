"""Hundreds of clients at once that hold what they can, beside ordinary clients."""

from .stand import Stand

SECONDS = 3
LONG_HEAD = {'clients': 400, 'short_fields': 2_000}  # heads of 14 KB
FORMS = (
    {'method': 'PUT', 'body': 65_000},  # they stop half way through their bodies
    {'method': 'PUT', 'body': 200_000},
    {'half_head': True},
    {'path': '/read/wait-2'},  # their answers take long
    {'path': '/read/size-524288', 'rate': 20_000},  # they read slowly
    {'path': '/read/size-60000', 'rate': 0},  # or not at all
)


class Crowds(Stand):
    # Guards against a process that passes its memory limit, as each head takes many times its size and
    # nothing bounds what all clients hold together (incident dda08d, picture a).
    def test_crowd_with_many_short_fields_leaves_memory_and_time_for_others(self):
        for options in FORMS:
            with self.subTest(**options), self.running():
                answers = self.flood('Crowd', SECONDS, **LONG_HEAD, **options)
                self.assert_memory_kept()
                self.assert_answered_in_time(answers)
