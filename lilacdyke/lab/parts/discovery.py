"""Simulated discovery: the roster of servers, and an agent for each node that delivers changes with a delay.

Changes reach a node in order. Both the delivery to a node and the time at which a change is due are recorded.
"""

import json

from twisted.internet.protocol import Factory

from .wire import HttpConnection, answer

LIFECYCLES = {'ready': 'SERVING', 'draining': 'DRAINING', 'gone': 'DELETED'}


class Roster:
    """Current list of servers; passes changes on to the agents."""

    def __init__(self, stage):
        self.stage, self.rows, self.version, self.agents = stage, {}, 1, []
        self.rng = stage.random_source('roster')

    def put(self, name, state, quiet=False, **fields):
        """Change a server's row. Each agent applies the change after its own delay, or at once if `quiet`."""
        self.version += 1
        server = dict(self.rows.get(name, {}), name=name, state=state, **fields)
        if state == 'gone':
            self.rows.pop(name, None)
        else:
            self.rows[name] = server
        for agent in self.agents:
            agent.schedule_change(self.version, server, quiet)

    def restarted(self, name, started):
        if name in self.rows:
            self.put(name, 'ready', started=started)

    def snapshot(self):
        """Return a copy of the list."""
        return {name: dict(server) for name, server in self.rows.items()}


class Agent(Factory):
    """Discovery agent of one node, which serves the list as of some version."""

    noisy = False

    def __init__(self, stage, place):
        self.stage, self.node, self.address, self.port = stage, place.name, place.agent, None
        self.number = place.number
        self.roster = stage.roster
        self.rows, self.version = self.roster.snapshot(), self.roster.version
        self.coming, self.next_change_at = [], 0  # earliest time of the next change, to keep the order
        self.log = []  # (version, row) of applied changes
        self.watches, self.silent, self.lag, self.half = {}, False, 0, False
        self.rng = stage.random_source('agent ' + place.name)
        self.roster.agents.append(self)
        self.heartbeat_started = False

    def buildProtocol(self, addr):
        return AgentConnection(self)

    def open(self):
        self.port = self.stage.listen(self, self.address)
        if not self.heartbeat_started:
            self.heartbeat_started = True
            self.send_heartbeat()

    def move(self, address):
        """Move to another address; open watches are closed a while later."""
        if self.port is not None:
            self.port.stopListening()
        old, self.address = list(self.watches), address
        self.port = self.stage.listen(self, address)
        self.stage.later(1_500_000, lambda: [watch.transport.loseConnection() for watch in old if watch.up])

    # --- list of servers --------------------------------------------------------------------------------

    def schedule_change(self, version, server, quiet):
        """Schedule a change after a random lag."""
        low, high = self.stage.scenario.discovery.lag_s
        now = self.stage.clock()
        wait = 0 if quiet else int((low + (high - low) * self.rng.random()) * 1e6) + self.lag
        self.next_change_at = max(now + wait, self.next_change_at)
        if self.next_change_at <= now:
            self.apply_change(version, server)
        else:
            self.stage.later(self.next_change_at - now, self.apply_change, version, server)

    def apply_change(self, version, server):
        """Apply a change and send it on all watches."""
        self.stage.record_event('due', self.node, server['name'], server['state'])
        self.version = version
        if server['state'] == 'gone':
            self.rows.pop(server['name'], None)
        else:
            self.rows[server['name']] = server
        self.log.append((version, server))
        if len(self.log) > 5_000:
            del self.log[:2_500]
        if not self.silent:
            for watch in list(self.watches):
                watch.send_changes()

    def entry(self, server):
        started = server['started']
        return {
            'instanceId': server['name'],
            'hostPort': self.stage.environment.seen_as(self.number, server['address']),
            'zone': server['zone'],
            'machineType': server['kind'],
            'cell': server['cell'],
            'lifecycle': LIFECYCLES[server['state']],
            'weight': server['weight'],
            'startedAtMs': self.stage.unix_ms(started) if started else 0,
        }

    def page(self):
        """Return the whole list."""
        return {
            'generation': self.version,
            'reset': True,
            'instances': [self.entry(server) for server in self.rows.values()],
        }

    def changes_since(self, version):
        """Return the changes after a version, or the whole list if the log does not reach back to it."""
        if (
            version is None
            or version > self.version
            or self.log
            and version < self.log[0][0] - 1
            or (not self.log and version != self.version)
        ):
            return self.page()
        latest = {}
        for at, server in self.log:
            if at > version:
                latest.pop(server['name'], None)
                latest[server['name']] = server
        return {
            'generation': self.version,
            'reset': False,
            'instances': [self.entry(server) for server in latest.values()],
        }

    def send_heartbeat(self):
        """Send an empty line on all watches, periodically."""
        if not self.silent:
            for watch in list(self.watches):
                watch.write(b'\n')
        self.stage.later(int(self.stage.scenario.discovery.beat_s * 1e6), self.send_heartbeat)

    def set_silent(self, on):
        """Stop sending, or resume and send what was missed."""
        self.silent = on
        if not on:
            for watch in list(self.watches):
                watch.send_changes()

    def cut(self, half):
        """Close all watches; with `half`, in the middle of a line."""
        for watch in list(self.watches):
            if half and watch.up:
                watch.write(b'{"generation":%d,"reset":false,"instances":[{"inst' % (self.version + 1))
            watch.transport.loseConnection()


class AgentConnection(HttpConnection):
    """Connection of a node to its agent."""

    def __init__(self, agent):
        super().__init__()
        self.agent, self.at, self.watching = agent, None, False

    def clock(self):
        return self.agent.stage.clock()

    def on_message(self, begun, start_line, fields, body):
        path, _, query = start_line[1].partition('?')
        query_args = dict(pair.partition('=')[::2] for pair in query.split('&') if pair)
        if path != '/v1/endpoints':
            self.put(answer(404))
        elif query_args.get('stream') != '1':
            self.record_told(self.agent.page())
            self.put(answer(200, json.dumps(self.agent.page()).encode()))
        elif self.agent.silent:
            self.agent.watches[self] = None  # answered after the silence ends
            self.at = int(query_args['index']) if 'index' in query_args else None
        else:
            self.agent.watches[self] = None
            self.at = int(query_args['index']) if 'index' in query_args else None
            self.send_changes()

    def send_changes(self):
        """Send the changes that this watch does not have yet."""
        if not self.watching:
            self.watching = True
            self.put(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        elif self.at == self.agent.version:
            return
        page = self.agent.changes_since(self.at)
        self.at = self.agent.version
        self.record_told(page)
        self.write(json.dumps(page).encode() + b'\n')

    def record_told(self, page):
        record_event, node = self.agent.stage.record_event, self.agent.node
        states = {value: key for key, value in LIFECYCLES.items()}
        if page['reset']:
            record_event('told', node, '*', ','.join(server['instanceId'] for server in page['instances']))
        for server in page['instances']:
            record_event('told', node, server['instanceId'], states[server['lifecycle']])

    def write(self, data):
        if self.watching:
            self.put(b'%x\r\n%s\r\n' % (len(data), data))

    def on_close(self):
        self.agent.watches.pop(self, None)
