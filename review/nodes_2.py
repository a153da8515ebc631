"""For cases on nodes: a node's page, an agent of discovery, and servers on blocking sockets."""

import json
import os
import socket
import threading
import time
import tomllib

from stand_2 import ROOT, free_ports


def deploy_line():
    """Return the command of the deploy file that starts a node."""
    with open(os.path.join(ROOT, 'deploy', 'balancer.toml'), 'rb') as file:
        return tomllib.load(file)['run']


def entry(name, port, kind='std-5', state='SERVING', started=0):
    """Return a server's entry in discovery's list."""
    return {
        'instanceId': name,
        'hostPort': '127.0.0.1:%d' % port,
        'zone': 'leon',
        'machineType': kind,
        'cell': 0,
        'lifecycle': state,
        'weight': 1.0,
        'startedAtMs': started,
    }


class Agent:
    """An agent of discovery: tells each watch the whole list, and a heartbeat every 2 s."""

    def __init__(self, entries):
        self.line = json.dumps({'generation': 41, 'reset': True, 'instances': entries}).encode() + b'\n'
        self.up = True  # while it is not, the agent is silent
        self.listening = socket.create_server(('127.0.0.1', 0))
        self.port = self.listening.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            came, _ = self.listening.accept()
            threading.Thread(target=self.watch, args=(came,), daemon=True).start()

    def say(self, came, data):
        """Write to a watch, once discovery is up."""
        while not self.up:
            time.sleep(0.02)
        came.sendall(data)

    def watch(self, came):
        """Answer one watch until it ends."""
        try:
            data = b''
            while b'\r\n\r\n' not in data:
                if not (more := came.recv(4_096)):
                    return
                data += more
            self.say(came, b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
            self.say(came, b'%x\r\n%s\r\n' % (len(self.line), self.line))
            while True:
                time.sleep(2)
                self.say(came, b'1\r\n\n\r\n')
        except OSError:
            came.close()


def write_page(case, agent, entries, profiles=None):
    """Write a node's page, with the example page's settings; return its path and the port for clients."""
    with open(os.path.join(ROOT, 'deploy', 'example-page.json'), encoding='utf-8') as file:
        page = json.load(file)
    (port,) = free_ports(1)
    page.update(
        listen='127.0.0.1:%d' % port,
        discovery='127.0.0.1:%d' % agent.port,
        known={'generation': 41, 'reset': True, 'instances': entries},
    )
    if profiles:
        page['settings']['profiles'] = profiles
    path = case.path('page.json')
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(page, file)
    os.makedirs(case.path('tmp'), exist_ok=True)
    return path, port


def start_node(case, path, name):
    """Start a node by the deploy file; return the process."""
    return case.start(name, shell=deploy_line(), EDGE_CONFIG=path, TMPDIR=case.path('tmp'))


def ready(port):
    """Return whether a node says that it can serve."""
    try:
        with socket.create_connection(('127.0.0.1', port), 1) as made:
            made.settimeout(2)
            made.sendall(b'GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n')
            return b' 200 ' in made.recv(4_096)
    except OSError:
        return False


def head_of(connection, buffer=b''):
    """Read a head; return it and the bytes behind it, or (None, rest) at the end of the connection."""
    while b'\r\n\r\n' not in buffer:
        more = connection.recv(65_536)
        if not more:
            return None, buffer
        buffer += more
    head, _, rest = buffer.partition(b'\r\n\r\n')
    return head, rest


def field(head, name):
    """Return a header field's value, or None."""
    for line in head.split(b'\r\n')[1:]:
        if line.partition(b':')[0].strip().lower() == name:
            return line.partition(b':')[2].strip()
    return None


class Server:
    """A cache server or the origin; handle(connection, head, rest) answers one request.

    It returns the bytes behind the request, or None to end the connection.
    """

    def __init__(self, handle, receive_buffer=None):
        self.handle = handle
        self.listening = socket.socket()
        if receive_buffer:
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listening.bind(('127.0.0.1', 0))
        self.listening.listen(64)
        self.port = self.listening.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            came, _ = self.listening.accept()
            threading.Thread(target=self.serve, args=(came,), daemon=True).start()

    def serve(self, came):
        """Answer the requests of one connection."""
        rest = b''
        try:
            while rest is not None:
                head, rest = head_of(came, rest)
                if head is None:
                    break
                rest = self.handle(came, head, rest)
        except OSError:
            pass
        came.close()
