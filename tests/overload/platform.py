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
        self.name = name

    async def listen(self):
        """Listen on a free port and return it."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listening.bind(('127.0.0.1', 0))
        await asyncio.start_server(self.serve, sock=listening, limit=RECEIVE_BUFFER, backlog=1024)
        return listening.getsockname()[1]

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self.respond(head, reader, writer)
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


class Agent:
    """Discovery's agent, which sends the whole list on each watch."""

    def __init__(self, ports):
        self.rows = [
            {
                'instanceId': name,
                'hostPort': '127.0.0.1:%d' % port,
                'zone': 'a',
                'machineType': 'origin' if name == ORIGIN else 'std',
                'cell': 0,
                'lifecycle': 'SERVING',
                'weight': 1.0,
                'startedAtMs': 0,
            }
            for name, port in ports.items()
        ]

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
            line = json.dumps({'generation': 5, 'reset': True, 'instances': self.rows}).encode() + b'\n'
            while True:
                writer.write(b'%x\r\n%s\r\n' % (len(line), line))
                await writer.drain()
                line = b'\n'
                await asyncio.sleep(2)


async def main():
    ports = {name: await CacheServer(name).listen() for name in (*CACHES, ORIGIN)}
    agent = Agent(ports)
    listening = await asyncio.start_server(agent.serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    print(json.dumps({'agent': port, 'instances': agent.rows}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # until the test ends


if __name__ == '__main__':
    asyncio.run(main())
