"""Case 3: see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run."""

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
    example_page,
    free_port,
    read_message,
    run,
    trouble,
    until_ready,
)

FOLDER = os.path.dirname(os.path.abspath(__file__))
KEYS, READS, WRITES, SECONDS = 200, 40, 20, 30
WORK = 0.14, 0.26  # seconds, of a write
SLOWER = 2.6, 9.5  # times, in the trouble
SIZE, PIECE, GAP = 163_840, 8_192, 0.02  # of an answer; of its pieces; seconds between two of them
WAIT = 1.0, 2.0  # seconds that clients wait for a write: 40 to 80% of 2.5 s
MOST_PAUSE = 0.1  # seconds between two pieces; an answer with a longer pause is not judged
EARLY = 0.05  # the first bytes count as given in time if they left the origin so long before the limit


class Gift:
    """An answer that the origin gives."""

    def __init__(self, now):
        self.first = self.last = now  # times of its pieces
        self.size, self.cut = 0, False  # bytes given; whether the node has ended the connection meanwhile
        self.widest = 0.0  # longest time between two pieces

    def piece(self, now, size):
        self.widest, self.last, self.size = max(self.widest, now - self.last), now, self.size + size


class Origin(CacheServer):
    """The origin. Answers to writes are long and have no length; it is slow in the trouble."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.gifts = {}  # by request id

    async def talk(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, fields, body = message
            method, path, _ = first.split(' ')
            job = fields.get('req-id')
            self.record.add('sent', to=self.name, id=job, method=method, path=path)
            if method == 'GET':
                writer.write(await self.handle(job, method, path, body))
                await writer.drain()
                continue
            async with self.cores:
                slower = self.random.uniform(*SLOWER) if trouble() else 1
                await asyncio.sleep(self.random.uniform(*WORK) * slower)
            self.record.add('ran', at=self.name, id=job, method=method, path=path)
            await self.give(reader, writer, job)
            return

    async def give(self, reader, writer, job):
        """Give a long answer in pieces, as long as the connection lasts; it ends with the answer."""
        gift = self.gifts[job] = Gift(self.record.now())
        self.record.add('gives', id=job)
        ended = asyncio.create_task(reader.read(1))  # the node sends nothing more but its end
        try:
            writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n')
            while gift.size < SIZE:
                writer.write(b'%x\r\n%s\r\n' % (PIECE, b'w' * PIECE))
                gift.piece(self.record.now(), PIECE)
                await asyncio.wait([ended], timeout=GAP)
                if ended.done() or writer.is_closing():
                    gift.cut = True
                    self.record.add('cut_off', id=job, given=gift.size)
                    return
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            ended.cancel()


async def writes(front, until):
    """Send writes; their answers may take as long as the origin goes on giving."""
    tasks, number = set(), 0
    while front.record.now() < until:
        await asyncio.sleep(front.random.expovariate(WRITES))
        number += 1
        wait = front.random.uniform(*WAIT)
        request = front.request(
            '/annotation-write/w%d' % number, 'PUT', wait, b'boundary %d' % number, 'm%d' % number, 4.0
        )
        task = asyncio.create_task(request)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def case(record, folder):
    origin = Origin(record, 'main', cores=60)
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
    return judge(record, origin, front)


def judge(record, origin, front):
    """A long answer whose first bytes were given in time is not cut off while its server gives it."""
    statuses = Counter(front.answers.values())
    whole = sum(front.answers.get(job) == 200 for job in origin.gifts)
    record.say('requests %d: %s' % (len(front.answers), dict(statuses.most_common())))
    record.say('long answers begun: %d, passed on whole: %d' % (len(origin.gifts), whole))
    broken = []
    for job, gift in origin.gifts.items():
        sent, wait = front.times[job]
        in_time = sent + wait - EARLY - gift.first
        if gift.cut and front.answers.get(job) != 200 and in_time >= 0 and gift.widest <= MOST_PAUSE:
            broken.append((job, wait, gift.first - sent, gift.size, front.answers.get(job)))
    record.say('begun in time, cut off while the origin gave them, answered otherwise: %d' % len(broken))
    for job, wait, first, size, status in broken[:8]:
        record.say(
            '  %s waits %.3f s; first bytes after %.3f s, %d given, answered %s'
            % (job, wait, first, size, status)
        )
    if statuses[200] < len(front.answers) / 3:
        record.say('the load was not served')
        return CANNOT_RUN
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit(run(case, FOLDER))
