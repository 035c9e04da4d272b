"""A randomized soak test of real gateways under external faults."""
