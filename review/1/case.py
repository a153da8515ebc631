"""Case 1: see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run."""

import asyncio
import os
import sys
from collections import Counter

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from kit import (  # noqa: E402
    BROKEN,
    CANNOT_RUN,
    HELD,
    Agent,
    CacheServer,
    Front,
    NodeProcess,
    answer,
    example_page,
    free_port,
    read_message,
    reset,
    run,
    trouble,
    until_ready,
)

FOLDER = os.path.dirname(os.path.abspath(__file__))
KEYS, READS, WRITES, SECONDS = 200, 60, 8, 25
LONG, LONG_SHARE = 100_000, 0.125


class Origin(CacheServer):
    """The origin. Some answers to writes are long; the trouble: connections are reset under these."""

    async def talk(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, fields, body = message
            method, path, _ = first.split(' ')
            job = fields.get('req-id')
            self.record.add('sent', to=self.name, id=job, method=method, path=path)
            text = await self.handle(job, method, path, body)
            if method == 'PUT' and self.random.random() < LONG_SHARE:
                text = answer(200, b'w' * LONG)
                if trouble():
                    sent = self.random.randrange(200, LONG)
                    writer.write(text[:sent])
                    self.record.add('reset', at=self.name, id=job, after=sent)
                    reset(writer)
                    return
            writer.write(text)
            await writer.drain()


async def writes(front, until):
    """Send writes of a class that must never run twice."""
    tasks, number = set(), 0
    while front.record.now() < until:
        await asyncio.sleep(front.random.expovariate(WRITES))
        number += 1
        path = '/annotation-write/w%d' % number  # one key a write
        task = asyncio.create_task(front.request(path, 'PUT', 1.5, b'boundary %d' % number))
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
    page['settings']['profiles'][1]['effect'] = 'single_shot'
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
    return judge(record, origin, front)


def judge(record, origin, front):
    """A write of a non-idempotent class must never run twice."""
    runs = Counter(job for _, job, method, _ in origin.ran if method == 'PUT')
    twice = [job for job, count in runs.items() if count > 1]
    served = sum(status == 200 for status in front.answers.values())
    record.say('requests %d, answered with 200: %d' % (len(front.answers), served))
    record.say('connections that ended with no byte of an answer, under a request: %d' % front.empty_ends)
    record.say('writes that ran: %d; that ran twice: %d' % (len(runs), len(twice)))
    for job in twice[:5]:
        record.say('  request %s ran %d times' % (job, runs[job]))
    if served < len(front.answers) / 2:
        record.say('the load was not served')
        return CANNOT_RUN
    return BROKEN if twice else HELD


if __name__ == '__main__':
    sys.exit(run(case, FOLDER))
