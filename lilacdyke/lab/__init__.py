"""Test lab: runs fleets of real nodes against simulated clients and servers, injects faults and checks
the outcome."""
