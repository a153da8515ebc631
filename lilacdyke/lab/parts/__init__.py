"""Stand-ins of what a node meets: clients, cache servers, the origin and discovery. Twisted protocols on
either ground."""
