"""Fault soak of the packet path.

Runs the real programs on loopback, injects seeded random faults from outside of the
processes, and checks invariants on the packets that callers and targets receive.
"""
