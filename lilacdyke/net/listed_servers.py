"""The servers that discovery's list names, as the router and the connection pools know them.

Turns list entries into the rows that the router takes, and forgets servers once the router has.
"""

from ..logic import Server
from .addresses import AddressOwners


class ListedServers:
    """The servers of a node by name."""

    def __init__(self, node):
        self.node = node
        self.servers, self.entries = {}, {}  # the router's objects; the latest list entries
        self.owners = AddressOwners()
        self.superseded = set()  # names of servers at whose addresses later ones are

    def rows(self, whole, entries):
        """Return list entries as the rows that the router takes, and record them.

        whole: whether they are all of the list. A server at whose address a later one is listed counts as
        draining: what is sent there would reach the other one.
        """
        rows = {entry.name: self.row(entry) for entry in entries}
        for name in set(self.entries) - set(rows) if whole else ():
            self.owners.forget(name)
        before, self.superseded = self.superseded, self.owners.superseded()
        for name in before ^ self.superseded:
            if name not in rows and name in self.entries and not whole:
                rows[name] = self.row(self.entries[name])
        return [
            (row[0], 'draining', *row[2:]) if name in self.superseded and row[1] == 'ready' else row
            for name, row in rows.items()
        ]

    def row(self, entry):
        """Return a list entry as the row that the router takes, and record it."""
        node, server = self.node, self.servers.get(entry.name)
        if server is None:
            is_origin = entry.kind == node.config.origin_kind
            server = self.servers[entry.name] = Server(entry.name, is_origin)
        node.caches.listed(server, entry.address, entry.started)
        self.entries[entry.name] = entry
        if entry.state == 'gone':
            self.owners.forget(entry.name)
        else:
            self.owners.update(entry.name, entry.address, entry.started)
        zone = node.config.zones.get(entry.zone, entry.zone)  # one missing in the settings matches no other
        start = node.starts.start_of(entry, node.clock(), node.discovery.last_line_at)
        return (server, entry.state, entry.weight, start, zone, entry.cell)

    def forget_dropped(self):
        """Forget the servers that the router has forgotten, so that none of their hops is in flight.

        Without this, memory would grow with every server there ever was.
        """
        known = self.node.router.servers_by_name
        for name in [name for name in self.servers if name not in known]:
            server = self.servers.pop(name)
            self.entries.pop(name, None)
            self.owners.forget(name)
            self.node.starts.forget(name)
            self.node.caches.forget(server)
