"""A process of hollow nodes: each is only a node's part in the distribution of changes.

A hollow node has a node's replica, its link to a relay, its record and its log lines. It has no requests,
connections to servers, watch on discovery or links to planners.

python -m lilacdyke.scale.hollow --file changes.toml --count 250 --first 0 --seconds 30 --out seen.json
"""

import json
import time
from random import Random

import click

from ..changes import settings as settings_file
from ..changes.node import NodeChanges, Record
from ..net import logs
from ..net.sockets import Reactor
from ..net.system import System


class LatencyRecord(Record):
    """A record that also keeps the latency of each change, in milliseconds since its writer's time."""

    def __init__(self, latest, counted):
        super().__init__()
        self.latest, self.counted = latest, counted

    def apply(self, origin, change):
        super().apply(origin, change)
        latency = int(System.wall() * 1_000) - change.at
        key = '%s/%s/%d' % (change.kind, origin, change.sequence)
        self.latest[key] = max(self.latest.get(key, 0), latency)
        self.counted[key] = self.counted.get(key, 0) + 1


@click.command()
@click.option('--file', 'path', required=True)
@click.option('--count', type=click.IntRange(1, 2_000), required=True)
@click.option('--first', type=click.IntRange(0), default=0, help='The number of the first node.')
@click.option('--seconds', type=click.FloatRange(1, 600), required=True)
@click.option('--out', required=True)
def main(path, count, first, seconds, out):
    """Run hollow nodes for some time, then write their results."""
    from twisted.internet.main import installReactor

    logs.configure('error')
    reactor = Reactor()
    installReactor(reactor)
    settings = settings_file.read(path)
    latest, counted, nodes = {}, {}, []
    for number in range(first, first + count):
        record = LatencyRecord(latest, counted)
        random = Random(number).random
        node = NodeChanges(reactor, System.elapsed, random, 'n%d' % number, number, settings, record)
        nodes.append(node)
        # Spread the starts over a second.
        reactor.callLater(random(), node.start)
    started = time.monotonic()
    reactor.callLater(seconds, reactor.stop)
    reactor.run(installSignalHandlers=False)
    elapsed = time.monotonic() - started
    with open(out, 'w', encoding='utf-8') as file:
        json.dump(
            {
                'nodes': count,
                'seconds': elapsed,
                'processor_s': time.process_time(),
                'bytes_in': sum(node.host.counts['bytes_in'] for node in nodes),
                'bytes_out': sum(node.host.counts['bytes_out'] for node in nodes),
                'messages_out': sum(node.host.counts['messages_out'] for node in nodes),
                'snapshots': sum(node.record.counts['snapshots'] for node in nodes),
                'positions': sorted({tuple(p) for node in nodes for p in positions(node)}),
                'ages_ms': [None if node.age() is None else node.age() // 10 for node in nodes],
                'latest': latest,
                'counted': counted,
            },
            file,
        )


def positions(node):
    """Return the position of each log of a node."""
    return [(origin, log.position.epoch, log.position.sequence) for origin, log in node.replica.logs.items()]


if __name__ == '__main__':
    main()
