"""lilacdyke: a router for fleets of cache servers."""
__version__ = "0.2.0"
