"""Cache servers, the origin and discovery's agent for the overload tests, in a process of their own.

Run as a module. It writes one line of JSON with its ports to standard output, and then one line for each
request whose last byte has come: time (monotonic), server, id. What a server does is told by the last part
of the path:
    size-N           an answer of N bytes
    lumps-N-B-S      an answer of unknown length: N lumps of B bytes, S seconds apart
    close-N-B-S      the same, ended by the connection's end
    slow-S           the body is read in pieces over S seconds, then answered
    wait-S           answered after S seconds
    anything else    an answer of three bytes at once
"""

import asyncio
import contextlib
import json
import socket
import sys
import time

CACHES = ('c0', 'c1', 'c2', 'c3')
ORIGIN = 'o'
SLOW_READ_PIECES = 20
RECEIVE_BUFFER = 16_384  # bytes; a server that reads slowly is felt by the node


class CacheServer:
    """One server. It keeps each connection open until the other side closes it."""

    def __init__(self, name):
        self.name, self.server, self.writers = name, None, set()

    async def listen(self, port=0):
        """Listen on this port, or on a free one, and return it."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listening.bind(('127.0.0.1', port))
        self.server = await asyncio.start_server(
            self.serve, sock=listening, limit=RECEIVE_BUFFER, backlog=1024
        )
        return listening.getsockname()[1]

    def end(self):
        """End as a process does: its connections are closed and new ones refused."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self.respond(head, reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def respond(self, head, reader, writer):
        """Read the body of one request and answer it."""
        lines = head.lower().split(b'\r\n')
        fields = dict(line.split(b': ', 1) for line in lines[1:] if b': ' in line)
        verb, *figures = lines[0].split(b' ')[1].rpartition(b'/')[2].decode().split('-')
        await self.read_body(int(fields.get(b'content-length', 0)), verb, figures, reader)
        print('%.6f %s %s' % (time.monotonic(), self.name, fields[b'req-id'].decode()), flush=True)
        if verb in ('lumps', 'close'):
            await self.write_lumps(
                writer, verb == 'lumps', int(figures[0]), int(figures[1]), float(figures[2])
            )
            return
        if verb == 'wait':
            await asyncio.sleep(float(figures[0]))
        body = b'x' * int(figures[0]) if verb == 'size' else b'abc'
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (len(body), body))
        await writer.drain()

    @staticmethod
    async def read_body(length, verb, figures, reader):
        """Read a body, slowly if the path says so."""
        if verb != 'slow':
            await reader.readexactly(length)
            return
        for _ in range(SLOW_READ_PIECES):
            await asyncio.sleep(float(figures[0]) / SLOW_READ_PIECES)
            await reader.readexactly(length // SLOW_READ_PIECES)
        await reader.readexactly(length % SLOW_READ_PIECES)

    @staticmethod
    async def write_lumps(writer, chunked, count, size, gap):
        """Write an answer of unknown length."""
        writer.write(b'HTTP/1.1 200 OK\r\n%s\r\n' % (b'Transfer-Encoding: chunked\r\n' if chunked else b''))
        for number in range(count):
            if number:
                await asyncio.sleep(gap)
            data = b'x' * size
            writer.write(b'%x\r\n%s\r\n' % (size, data) if chunked else data)
            await writer.drain()
        if chunked:
            writer.write(b'0\r\n\r\n')
            return
        writer.close()
        raise ConnectionError


def list_entry(name, port, started_at_ms=0):
    """Return a server's entry in discovery's list."""
    return {
        'instanceId': name,
        'hostPort': '127.0.0.1:%d' % port,
        'zone': 'a',
        'machineType': 'origin' if name == ORIGIN else 'std',
        'cell': 0,
        'lifecycle': 'SERVING',
        'weight': 1.0,
        'startedAtMs': started_at_ms,
    }


class Agent:
    """Discovery's agent, which sends the whole list on each watch."""

    def __init__(self, ports):
        self.rows, self.generation, self.watches = [list_entry(*row) for row in ports.items()], 5, set()

    async def serve(self, reader, writer):
        self.watches.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
            self.tell(writer, self.rows, True)
            while True:
                await writer.drain()
                await asyncio.sleep(2)
                writer.write(b'1\r\n\n\r\n')

    def add(self, row):
        """List one more server, beside all others."""
        self.generation += 1
        self.rows.append(row)
        for writer in self.watches:
            self.tell(writer, [row], False)

    def tell(self, writer, rows, whole):
        text = {'generation': self.generation, 'reset': whole, 'instances': rows}
        line = json.dumps(text).encode() + b'\n'
        writer.write(b'%x\r\n%s\r\n' % (len(line), line))


async def replace(servers, ports, agent):
    """End the first cache server, and have a new one come up at its address, listed beside it."""
    servers[CACHES[0]].end()
    await CacheServer('new').listen(ports[CACHES[0]])
    agent.add(list_entry('new', ports[CACHES[0]], int(time.time() * 1_000)))  # noqa: TID251  as lists have it


async def main():
    servers = {name: CacheServer(name) for name in (*CACHES, ORIGIN)}
    ports = {name: await server.listen() for name, server in servers.items()}
    agent = Agent(ports)
    listening = await asyncio.start_server(agent.serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    print(json.dumps({'agent': port, 'instances': agent.rows}), flush=True)
    while await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline):
        await replace(servers, ports, agent)  # the only command; the test ends with the input


if __name__ == '__main__':
    asyncio.run(main())
