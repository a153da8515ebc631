"""The end of the listening socket: what is in its queue is accepted, and nothing can arrive behind that."""

import socket
import time

from lilacdyke.net.transports import Port

from .helpers import unstarted_node
from .test_net import Quiet

REQUEST = b'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n'


class LastAccept(Quiet):
    def setUp(self):
        super().setUp()
        self.made = unstarted_node()
        self.made.reactor.listenTCP = self.listen
        self.made.start()
        self.address = self.made.listener.port.socket.getsockname()

    def listen(self, port, factory, backlog, interface):
        made = Port(0, factory, backlog, interface, self.made.reactor)
        made.startListening()
        return made

    def connect(self, number):
        made = socket.create_connection(self.address, 5)
        self.addCleanup(made.close)
        made.sendall(REQUEST % number)
        return made

    def test_queued_connections_are_accepted_as_the_socket_closes(self):
        """Guards against connections that are reset in the queue of a socket that is being closed."""
        for number in range(3):
            self.connect(number)
        time.sleep(0.05)  # until the system has queued them
        self.made.listener.stop_listening()
        self.assertEqual(len(self.made.listener.table), 3)
        for client in self.made.listener.table:
            client.transport.abortConnection()

    def test_socket_is_closed_at_once(self):
        """Guards against connections that arrive between the last accept and a later close."""
        self.made.listener.stop_listening()
        with self.assertRaises(ConnectionRefusedError):
            self.connect(1)

    def test_queue_of_a_successor_is_left_alone(self):
        self.connect(1)
        time.sleep(0.05)
        self.made.listener.accepting_elsewhere = True
        self.made.listener.stop_listening()
        self.assertEqual(len(self.made.listener.table), 0)
