"""Records what forwarders observe of servers and the fleet verdicts in effect there, in simulated or real
processes.

Provides the rows 'seen' and 'word', which the checks of verdicts (held.py) read, without changing behaviour.
"""

from ..known import NO_WORD


def open_up(put, see):
    """Record observations by patching View.

    Calls see('seen', node, server, how, lasted, quick) when a hop with a meaningful result ends, and
    see('word', node, server, least, most, wait, left, kind) when a verdict takes effect on a server, changes
    or ends. Times are in microseconds of the node's clock. put(owner, name, value) replaces a method.
    """
    from ..plan.view import View

    saw, look = View.saw, View.look

    def record_observation(self, now, ident, said, lasted, quick):
        see('seen', self.node.place.name, ident[0], said, lasted * 100, quick)
        saw(self, now, ident, said, lasted, quick)

    def record_verdicts(self, now):
        before = {server: server.word for server in self.node.router.known.values()}
        look(self, now)
        # All change in one call, but the rows are written one by one: verdicts that end come first.
        for server in sorted(
            self.node.router.known.values(), key=lambda server: server.word[2] < 1 or server.word[3] > 0
        ):
            until, least, most, wait = server.word
            if server.word != before.get(server):
                left = max(0, until - now) * 100 if server.word is not NO_WORD else 0
                see(
                    'word',
                    self.node.place.name,
                    server.name,
                    least,
                    most,
                    wait * 100,
                    left,
                    self.words.get(server.name, ('',))[0],
                )

    put(View, 'saw', record_observation)
    put(View, 'look', record_verdicts)
