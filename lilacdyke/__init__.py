"""lilacdyke: a router for fleets of cache servers."""

__version__ = '0.3.0'
