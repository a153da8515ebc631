"""lilacdyke: a router for fleets of cache servers."""
