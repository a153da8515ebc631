"""The node's network side: clients, cache servers and discovery on sockets, around the logic of logic.py."""
