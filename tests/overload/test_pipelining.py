"""One client that sends at full speed on one connection, beside ordinary clients."""

from .stand import Stand

SECONDS = 4
# Seconds by which half of the ordinary requests may take longer than alone: the slack of a time limit
# (kit/real/PROTOCOL.md).
MEDIAN = 0.05
FORMS = (
    {},  # reads of one key
    {'path': '/read/k#'},  # of ever new keys
    {'short_fields': 400},
    {'reads': False},  # of a client that does not read its answers
    {'path': '/ready'},  # requests that the node answers itself, many in a turn
    {'identity': False, 'connections': 8},  # unsound requests, on new connections as they are closed
)


class Pipelining(Stand):
    # Guards against a client whose pipelined requests fill the memory, take whole turns of the event loop,
    # and hold it once that client closes with much still unread (incident dda08d, picture b).
    def test_flood_on_one_connection_leaves_memory_and_time_for_others(self):
        for options in FORMS:
            with self.subTest(**options), self.running():
                self.assert_others_are_served(self.flood('Pipeline', SECONDS, **options))

    # Guards against bodies in chunks of one byte, which take long to decode for their size.
    def test_bodies_in_tiny_chunks_leave_memory_and_time_for_others(self):
        with self.running():
            self.assert_others_are_served(self.flood('TinyChunks', SECONDS, connections=8))

    def assert_others_are_served(self, answers):
        self.assert_memory_kept()
        self.assert_answered_in_time(answers)
        self.assertLess(sorted(took for _, took in answers)[len(answers) // 2], MEDIAN)
        self.assertGreater([status for status, _ in answers].count(200), 0.9 * len(answers))
