"""The node on sockets: clients, cache servers and discovery around the module. No decision is made here."""
