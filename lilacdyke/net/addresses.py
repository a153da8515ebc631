"""Which listed server an address belongs to.

A server is known by its id and its start, never by its address: one that came up at the address of another is
listed beside it for a while. Only one process can be there, so the address counts as that of the latest.
"""


class AddressOwners:
    """The listed servers by address."""

    __slots__ = ('addresses', 'names', 'shared', 'listings')

    def __init__(self):
        self.addresses = {}  # by name
        self.names = {}  # by address: {name: (start as in the list, number of its first listing there)}
        self.shared = set()  # addresses with more than one server
        self.listings = 0

    def update(self, name, address, started):
        """Record a server's entry. started: its start as in the list; 0: long ago."""
        if self.addresses.get(name) != address:
            self.forget(name)
            self.listings += 1
        names = self.names.setdefault(address, {})
        names[name] = (started, names[name][1] if name in names else self.listings)
        self.addresses[name] = address
        if len(names) > 1:
            self.shared.add(address)

    def forget(self, name):
        """Remove a server that is gone, or that has moved."""
        address = self.addresses.pop(name, None)
        if address is None:
            return
        del self.names[address][name]
        if len(self.names[address]) <= 1:
            self.shared.discard(address)
        if not self.names[address]:
            del self.names[address]

    def superseded(self):
        """Return the names of the servers at whose addresses later ones are."""
        return {
            name
            for address in self.shared
            for name in sorted(self.names[address], key=self.names[address].get)[:-1]
        }
