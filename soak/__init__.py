"""Runs the real programs of the packet path under random faults from outside."""
