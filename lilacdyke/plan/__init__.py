"""Planners: coordinate the limits, server verdicts and task leases that the forwarders of a fleet share."""
