"""Operators' staff: they call nodes at their operators' address, and look at what a node says to clients.

Owns each call's connection and what became of it. Must never tell a node anything in another way.
"""

from .clients import Dialled
from .wire import Talker, request


class Call(Talker):
    """One call, on a connection of its own; done(status) at its answer, 0 without one."""

    def __init__(self, stage, method, path, done):
        super().__init__()
        self.stage, self.text, self.done = stage, request(method, path, [('Host', 'lab.internal')]), done

    def clock(self):
        return self.stage.clock()

    def connectionMade(self):
        super().connectionMade()
        self.put(self.text)

    def message(self, begun, words, fields, body):
        self.over(int(words[1]) if words[1].isdigit() else 0)
        self.transport.loseConnection()

    def failed(self):
        """No connection."""
        self.over(0)

    def ended(self):
        self.over(0)

    def over(self, status):
        done, self.done = self.done, None
        if done is not None:
            done(status)


class Staff:
    """Who calls."""

    def __init__(self, stage):
        self.stage = stage

    def ask(self, place, address, method, path, done):
        """One call to an address of a node."""
        self.stage.connect(
            address, Dialled(Call(self.stage, method, path, done)), self.stage.client_address(place)
        )

    def tell(self, place, path, what, name):
        """A call at a node's door; its yes is seen."""
        running = place.running

        def done(status):
            if 200 <= status < 300 and place.running is running:
                self.stage.see('hand', place.name, what, name)

        if running is not None and not running.leaving:
            self.ask(place, place.door, 'POST', '/v1/' + path, done)

    def look(self, place, what):
        """What a node says to who asks whether it is ready; at a standstill or on its way out it says
        nothing."""
        running = place.running

        def done(status):
            if status and place.running is running and not running.leaving:
                self.stage.see('hand', place.name, what, str(status))

        if running is not None and not running.leaving:
            self.ask(place, place.address, 'GET', '/ready', done)
