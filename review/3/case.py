"""Case 3: see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from kit import (  # noqa: E402
    BROKEN,
    CANNOT_RUN,
    HELD,
    Agent,
    CacheServer,
    NodeProcess,
    example_page,
    free_port,
    read_message,
    run,
    trouble,
    until_ready,
)

FOLDER = os.path.dirname(os.path.abspath(__file__))
CLIENTS, AT_ONCE, DEADLINE = 12, 6, 2.0


class Client:
    """A client that sends some requests at once on one connection, then reads the answers in order."""

    def __init__(self, record, port, number):
        self.record, self.port, self.random = record, port, random.Random(number)
        self.rows = []  # [id, when its last byte was written, status or None]

    async def go(self, until):
        while self.record.now() < until:
            try:
                reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
            except OSError:
                return  # the node has stopped listening
            try:
                while self.record.now() < until and await self.batch(reader, writer):
                    await asyncio.sleep(self.random.uniform(0.05, 0.2))
            finally:
                writer.close()

    async def batch(self, reader, writer):
        """Send requests at once; return whether the connection can be used again."""
        rows, text = [], ''
        for _ in range(AT_ONCE):
            job = '%016x' % self.random.getrandbits(64)
            rows.append([job, None, None])
            text += 'GET /tile-read/z%d HTTP/1.1\r\nHost: api\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n\r\n' % (
                self.random.randrange(200),
                job,
                DEADLINE,
            )
        writer.write(text.encode())
        await writer.drain()
        at = self.record.now()
        self.rows += rows
        for row in rows:
            row[1] = at
            self.record.add('written', id=row[0])
        for row in rows:
            try:
                async with asyncio.timeout(at + DEADLINE + 0.5 - self.record.now()):
                    message = await read_message(reader)
            except TimeoutError:
                message = None
            if message is None:
                self.record.add('no-answer', id=row[0])
                return False
            row[2] = int(message[0].split(' ')[1])
            self.record.add(
                'answered', id=row[0], status=row[2], connection=message[1].get('connection', '-')
            )
        return 'close' not in message[1].get('connection', '')


async def case(record, folder):
    origin = CacheServer(record, 'main', cores=24)
    caches = [CacheServer(record, 'cache-%d' % number, origin) for number in range(10)]
    for server in (origin, *caches):
        await server.start()
        server.values.update('z%d' % number for number in range(200))
    rows = [server.row() for server in (*caches, origin)]
    agent = Agent(record, rows)
    await agent.start()
    page, port, private = example_page(), free_port(), os.path.join(folder, 'private')
    os.mkdir(private)
    page.update(listen='127.0.0.1:%d' % port, discovery=agent.address)
    page['known'] = {'generation': 41, 'reset': True, 'instances': rows}
    node = NodeProcess(record, 'node', page, folder, private)
    clients = [Client(record, port, number) for number in range(CLIENTS)]
    told_to_end = None
    try:
        await node.start()
        if not await until_ready('127.0.0.1', port):
            record.say('the node did not become ready')
            return CANNOT_RUN
        until = record.now() + 8
        load = asyncio.gather(*(client.go(until) for client in clients))
        await asyncio.sleep(5.0)
        if trouble():
            node.signal(signal.SIGTERM)
            told_to_end = record.now()
        await load
    finally:
        await node.end()
        for server in (agent, origin, *caches):
            await server.stop()
    return judge(record, clients, told_to_end)


def judge(record, clients, told_to_end):
    """Of the requests written whole before SIGTERM, each has to have an answer."""
    rows = [row for client in clients for row in client.rows]
    before = [row for row in rows if told_to_end is None or row[1] < told_to_end]
    lost = [row for row in before if row[2] is None]
    served = sum(row[2] == 200 for row in rows)
    record.say('requests %d, answered with 200: %d' % (len(rows), served))
    record.say('written whole before SIGTERM: %d; of them without any answer: %d' % (len(before), len(lost)))
    for job, at, _ in lost[:5]:
        record.say('  request %s, written at %.3f' % (job, at))
    if served < len(rows) / 2:
        record.say('the load was not served')
        return CANNOT_RUN
    return BROKEN if lost else HELD


if __name__ == '__main__':
    sys.exit(run(case, FOLDER))
