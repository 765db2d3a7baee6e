"""The laboratory: the real courier on a virtual clock, with connections and a disk of the laboratory's own.

Shipped with the daemon and loaded by none of it. `virtual` has the clock and the connections, `disk` the
file system that fails where it is told to, `stands` the partners, discovery and service clients, `judge` the
rules, `run` a whole run.
"""
