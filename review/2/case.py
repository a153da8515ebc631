"""Case 2: see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from kit import (  # noqa: E402
    BROKEN,
    CANNOT_RUN,
    HELD,
    Agent,
    CacheServer,
    Front,
    NodeProcess,
    example_page,
    free_port,
    read_message,
    reset,
    run,
    trouble,
    until_ready,
)

FOLDER = os.path.dirname(os.path.abspath(__file__))
KEYS, READS, WRITES, SECONDS = 200, 30, 30, 90
PIECES, PIECE, GAP = 8, 400, 0.025  # of an answer with no length: 3.2 kB within 0.2 s


class Origin(CacheServer):
    """The origin. It is slow, and its answers to writes have no length.

    It works for a write until the time that the attempt told is over. The trouble is that it then resets the
    connection, also under an answer that it has begun; otherwise it still sends the answer to its end.
    """

    async def talk(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, fields, body = message
            method, path, _ = first.split(' ')
            job = fields.get('req-id')
            self.record.add('sent', to=self.name, id=job, method=method, path=path)
            if method != 'PUT':
                writer.write(await self.handle(job, method, path, body))
                await writer.drain()
                continue
            end = self.record.now() + float(fields['req-deadline'])
            try:
                async with asyncio.timeout(end - self.record.now() if trouble() else None):
                    await self.write(job, path, writer)
            except TimeoutError:
                self.record.add('reset', at=self.name, id=job)
                reset(writer)
            return

    async def write(self, job, path, writer):
        """Carry out a write and send its answer, in pieces, up to the end of the connection."""
        await asyncio.sleep(self.random.uniform(0.3, 1.9))
        self.ran.append((self.record.now(), job, 'PUT', path))
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
        for number in range(PIECES):
            writer.write(b'%d' % number * PIECE)
            await writer.drain()
            await asyncio.sleep(GAP)


WHOLE = b''.join(b'%d' % number * PIECE for number in range(PIECES))


async def writes(front, until):
    """Send writes; their clients wait for 1 to 2 s."""
    tasks, number = set(), 0
    while front.record.now() < until:
        await asyncio.sleep(front.random.expovariate(WRITES))
        number += 1
        path, mark = '/annotation-write/w%d' % number, 'm%d' % number
        body, deadline = b'boundary %d' % number, front.random.uniform(1.0, 2.0)
        task = asyncio.create_task(front.request(path, 'PUT', deadline, body, mark))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def case(record, folder):
    origin = Origin(record, 'main', cores=24)
    caches = [CacheServer(record, 'cache-%d' % number, origin) for number in range(10)]
    for server in (origin, *caches):
        await server.start()
        server.values.update('z%d' % number for number in range(KEYS))
    rows = [server.row() for server in (*caches, origin)]
    agent = Agent(record, rows)
    await agent.start()
    page, port, private = example_page(), free_port(), os.path.join(folder, 'private')
    os.mkdir(private)
    page.update(listen='127.0.0.1:%d' % port, discovery=agent.address)
    page['known'] = {'generation': 41, 'reset': True, 'instances': rows}
    node = NodeProcess(record, 'node', page, folder, private)
    front = Front(record, port, 3)
    try:
        await node.start()
        if not await until_ready('127.0.0.1', port):
            record.say('the node did not become ready')
            return CANNOT_RUN
        until = record.now() + SECONDS
        keys = ['z%d' % number for number in range(KEYS)]
        await asyncio.gather(front.load(READS, keys, until), writes(front, until))
    finally:
        await node.end()
        for server in (agent, origin, *caches):
            await server.stop()
    return judge(record, front)


def judge(record, front):
    """A write answered with 200, complete by its framing, has to have the whole answer given for it."""
    whole = [job for job, body in front.bodies.items() if body == WHOLE]
    short = [job for job, body in front.bodies.items() if body != WHOLE]
    record.say('requests %d, writes answered with 200: %d' % (len(front.answers), len(front.bodies)))
    record.say(
        'of them with the whole answer: %d, with a part of it as the whole: %d' % (len(whole), len(short))
    )
    for job in short[:5]:
        record.say('  request %s: %d of %d bytes' % (job, len(front.bodies[job]), len(WHOLE)))
    if len(whole) < 20:
        record.say('the load was not served')
        return CANNOT_RUN
    return BROKEN if short else HELD


if __name__ == '__main__':
    sys.exit(run(case, FOLDER))
