"""The process of a node: its reactor and signals, the parts that its command line asks for, and its exit."""

import gc
import os
import signal

from twisted.internet.error import CannotListenError

from .logs import log_warning
from .node import Node
from .sockets import Reactor


def serve(config, path, fleet=None, early=(), changes=None, lines_per_second=0):
    """Run a node until it has drained, and return its exit code.

    path: of its page, for SIGHUP; fleet, changes: the contents of these files, or None; early: not empty if
    SIGHUP came before or while the page was read, which is then read again; lines_per_second: limit of the
    log on single requests; 0: no such lines.
    """
    from twisted.internet.main import installReactor
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    reactor = Reactor()
    reactor.shared = config.operator is not None
    installReactor(reactor)
    node = Node(config, reactor, lines_per_second=lines_per_second)
    if fleet:
        from ..plan.fleet import FleetMember  # imported only where it is used

        node.fleet = FleetMember(node, fleet)
    if changes:
        from ..changes.node import NodeChanges  # imported only where it is used

        node.changes = NodeChanges(reactor, node.elapsed, node.uniform, config.name, config.rank, changes)
        node.changes.start()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda n, _: reactor.callFromThread(node.drain, n))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload, path))
    if early:
        reactor.callFromThread(node.reload, path)
    gc.collect()  # before the node listens, as clients would wait for it
    try:
        node.start(os.environ.get('TMPDIR'))
    except CannotListenError as err:
        log_warning('cannot listen', reason=err)
        return 1
    gc.freeze()  # objects made at the start live forever, so the garbage collector can skip them
    reactor.run(installSignalHandlers=False)
    return node.exit_code
