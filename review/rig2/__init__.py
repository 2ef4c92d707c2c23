"""Stand-ins for the scripts of the second review: store, targets, callers, processes.

They use the standard library only and follow the users' pages on the wire.
"""
