"""Looks at what forwarders see of servers and at the words that act there, in a simulated process or in a
real one.

Owns the two rows that judges of verdicts read. Must never change what it looks at.
"""

from ..known import NO_FLEET_BOUNDS


def open_up(put, record_event):
    """Have seen: record_event('seen', node, server, how, lasted, quick) as a hop ends that says something;
    record_event('word', node, server, least, most, wait, left, kind) as a word begins to act on a server,
    changes or ends, with the kind it came of; times in microseconds of the node's clock. put(owner, name,
    value): swaps a method."""
    from ..plan.view import View

    observe, apply_verdicts = View.observe, View.apply_verdicts

    def noting(self, now, server_id, said, lasted, quick):
        record_event('seen', self.node.config.name, server_id[0], said, lasted * 100, quick)
        observe(self, now, server_id, said, lasted, quick)

    def looking(self, now):
        before = {server: server.fleet_bounds for server in self.node.router.servers_by_name.values()}
        apply_verdicts(self, now)
        # Those that end first: they all change in one call, though their rows are written one after the
        # other.
        for server in sorted(
            self.node.router.servers_by_name.values(),
            key=lambda server: server.fleet_bounds[2] < 1 or server.fleet_bounds[3] > 0,
        ):
            until, least, most, wait = server.fleet_bounds
            if server.fleet_bounds != before.get(server):
                left = max(0, until - now) * 100 if server.fleet_bounds is not NO_FLEET_BOUNDS else 0
                record_event(
                    'word',
                    self.node.config.name,
                    server.name,
                    least,
                    most,
                    wait * 100,
                    left,
                    self.bounds_by_server.get(server.name, ('',))[0],
                )

    put(View, 'observe', noting)
    put(View, 'apply_verdicts', looking)
