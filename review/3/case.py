"""Case 3: see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run."""

import asyncio
import os
import signal
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
    run,
    trouble,
    unix_ms,
    until_ready,
)

FOLDER = os.path.dirname(os.path.abspath(__file__))
CACHES, TAKEN_OUT, RATE, KEYS = 10, 5, 100, 400
BINDS_AFTER_YES, SLACK = 2.0, 0.05  # pages: binds 2 s after the yes; each time limit is 50 ms longer


async def change_list(record, agent, leaving, coming):
    """Replace some servers in the list; the trouble is that discovery is restarted meanwhile."""
    if trouble():
        record.add('agent-down')
        await agent.stop()
        await asyncio.sleep(2.0)
    for server in leaving:
        agent.change(server.row('DRAINING'))
    for server in coming:
        agent.change(server.row(started=unix_ms()))
    await asyncio.sleep(0.5)
    for server in leaving:
        agent.change(server.row('DELETED'))
    if trouble():
        agent.forget_changes()
        await agent.start()
        record.add('agent-up')
    await asyncio.sleep(1.0)
    for server in leaving:
        server.draining = True  # it stays up, and turns away what still comes


async def case(record, folder):
    origin = CacheServer(record, 'main', cores=24)
    caches = [CacheServer(record, 'cache-%d' % number, origin) for number in range(CACHES + TAKEN_OUT)]
    keys = ['z%d' % number for number in range(KEYS)]
    old, coming, leaving = caches[:CACHES], caches[CACHES:], caches[:TAKEN_OUT]
    for server in caches:
        await server.start()
    for server in old:
        server.values.update(keys)
    await origin.start()
    rows = [server.row() for server in (*old, origin)]
    agent = Agent(record, rows)
    await agent.start()

    page, port, private = example_page(), free_port(), os.path.join(folder, 'private')
    os.mkdir(private)
    page.update(listen='127.0.0.1:%d' % port, discovery=agent.address)
    page['known'] = {'generation': 41, 'reset': True, 'instances': rows}
    first = NodeProcess(record, 'first', page, folder, private, '127.0.0.1:%d' % free_port())
    second = NodeProcess(
        record, 'second', dict(page, seed='51'), folder, private, '127.0.0.1:%d' % free_port()
    )
    front = Front(record, port, 1)
    try:
        await first.start()
        if not await until_ready('127.0.0.1', port) or not await first.until_yes():
            record.say('the first process did not become ready')
            return CANNOT_RUN
        begun = record.now()
        load = asyncio.create_task(front.load(RATE, keys, begun + 38))
        await asyncio.sleep(4.0)
        await change_list(record, agent, leaving, coming)
        await asyncio.sleep(4.0)

        await second.start()
        if not await second.until_yes(6.0):
            record.say('the second process did not become ready')
            return CANNOT_RUN
        yes = record.now()
        record.add('yes', node='second')
        first.signal(signal.SIGTERM)
        await load
    finally:
        await first.end()
        await second.end()
        for server in (agent, origin, *caches):
            await server.stop()
    return judge(record, page, yes, leaving, front)


def judge(record, page, yes, leaving, front):
    """The rule on drains: nothing new later than the grace after the node was told, over an upgrade too."""
    bound = yes + BINDS_AFTER_YES + page['settings']['safety']['stopSendingWithinS'] + SLACK
    late = [(at, server.name, job) for server in leaving for at, job, *_ in server.sent if at > bound]
    served = sum(status == 200 for status in front.answers.values())
    record.say('requests %d, answered with 200: %d' % (front.count, served))
    record.say('yes at %.2f; the list binds from then on at %.2f at the latest' % (yes, bound))
    record.say('requests sent after that to servers that the list had dropped: %d' % len(late))
    for at, name, job in late[:5]:
        record.say('  %.2f to %s, request %s' % (at, name, job))
    if served < front.count / 2:
        record.say('the load was not served')
        return CANNOT_RUN
    return BROKEN if late else HELD


if __name__ == '__main__':
    sys.exit(run(case, FOLDER))
