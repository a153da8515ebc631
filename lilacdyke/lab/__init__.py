"""The lab: fleets of real nodes against stand-ins, in simulated time or on loopback, with faults and
judges."""
