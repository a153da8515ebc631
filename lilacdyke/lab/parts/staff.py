"""Simulated operators: requests to the operator address of a node, and readiness probes.

Each request uses a connection of its own.
"""

from .clients import SingleConnectionFactory
from .wire import HttpConnection, request


class OperatorCall(HttpConnection):
    """Request on its own connection. done(status) is called once, with 0 if there is no answer."""

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
        """Report that no connection could be opened."""
        self.finish(0)

    def on_close(self):
        self.finish(0)

    def finish(self, status):
        done, self.done = self.done, None
        if done is not None:
            done(status)


class Operators:
    """Sends operators' requests."""

    def __init__(self, stage):
        self.stage = stage

    def send(self, place, address, method, path, done):
        """Send a request to an address of a node."""
        self.stage.connect(
            address,
            SingleConnectionFactory(OperatorCall(self.stage, method, path, done)),
            self.stage.client_address(place),
        )

    def tell(self, place, path, what, name):
        """Send a command to a node's operator address and record its success."""
        running = place.running

        def done(status):
            if 200 <= status < 300 and place.running is running:
                self.stage.record_event('hand', place.name, what, name)

        if running is not None and not running.leaving:
            self.send(place, place.operator_address, 'POST', '/v1/' + path, done)

    def look(self, place, what):
        """Probe a node's readiness and record the status. A frozen or leaving node does not answer."""
        running = place.running

        def done(status):
            if status and place.running is running and not running.leaving:
                self.stage.record_event('hand', place.name, what, str(status))

        if running is not None and not running.leaving:
            self.send(place, place.address, 'GET', '/ready', done)
