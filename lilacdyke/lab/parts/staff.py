"""Operators' staff: they call nodes at their operators' address, and look at what a node says to clients.

Owns each call's connection and what became of it. Must never tell a node anything in another way.
"""

from .clients import SingleConnectionFactory
from .wire import HttpConnection, request


class OperatorCall(HttpConnection):
    """One call, on a connection of its own; done(status) at its answer, 0 without one."""

    def __init__(self, stage, method, path, done):
        super().__init__()
        self.stage, self.text, self.done = stage, request(method, path, [('Host', 'lab.internal')]), done

    def clock(self):
        return self.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        self.put(self.text)

    def on_message(self, begun, start_line, fields, body):
        self.finish(int(start_line[1]) if start_line[1].isdigit() else 0)
        self.transport.loseConnection()

    def on_connect_failed(self):
        """No connection."""
        self.finish(0)

    def on_close(self):
        self.finish(0)

    def finish(self, status):
        done, self.done = self.done, None
        if done is not None:
            done(status)


class Operators:
    """Who calls."""

    def __init__(self, stage):
        self.stage = stage

    def ask(self, place, address, method, path, done):
        """One call to an address of a node."""
        self.stage.connect(
            address,
            SingleConnectionFactory(OperatorCall(self.stage, method, path, done)),
            self.stage.client_address(place),
        )

    def tell(self, place, path, what, name):
        """A call at a node's door; its yes is seen."""
        running = place.running

        def done(status):
            if 200 <= status < 300 and place.running is running:
                self.stage.see('hand', place.name, what, name)

        if running is not None and not running.leaving:
            self.ask(place, place.operator_address, 'POST', '/v1/' + path, done)

    def look(self, place, what):
        """What a node says to who asks whether it is ready; at a standstill or on its way out it says
        nothing."""
        running = place.running

        def done(status):
            if status and place.running is running and not running.leaving:
                self.stage.see('hand', place.name, what, str(status))

        if running is not None and not running.leaving:
            self.ask(place, place.address, 'GET', '/ready', done)
