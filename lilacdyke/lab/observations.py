"""Records what forwarders observe of servers and the fleet verdicts in effect there, in simulated or real
processes.

Provides the rows 'seen' and 'word', which the checks of verdicts (held.py) read, without changing behaviour.
"""

from ..known import NO_FLEET_BOUNDS


def open_up(put, record_event):
    """Record observations by patching View.

    Calls record_event('seen', node, server, how, lasted, quick) when a hop with a meaningful result ends, and
    record_event('word', node, server, least, most, wait, left, kind) when a verdict takes effect on a server,
    changes or ends. Times are in microseconds of the node's clock. put(owner, name, value) replaces a method.
    """
    from ..plan.view import View

    observe, apply_verdicts = View.observe, View.apply_verdicts

    def record_observation(self, now, server_id, said, lasted, quick):
        record_event('seen', self.node.config.name, server_id[0], said, lasted * 100, quick)
        observe(self, now, server_id, said, lasted, quick)

    def record_verdicts(self, now):
        before = {server: server.fleet_bounds for server in self.node.router.servers_by_name.values()}
        apply_verdicts(self, now)
        # All change in one call, but the rows are written one by one: verdicts that end come first.
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

    put(View, 'observe', record_observation)
    put(View, 'apply_verdicts', record_verdicts)
