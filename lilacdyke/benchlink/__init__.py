"""Adapter to the simulator: reads batches of events, runs the routers and writes their decisions."""
