"""Simulated clients, cache servers, origin and discovery, as Twisted protocols for simulated and real
networks."""
