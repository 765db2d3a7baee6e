"""Traces per attempt: where each message's time went, across hops and restarts.

`context` reads and writes W3C Trace Context; `model` holds the spans of one message; `reasons` reads from the
decision module why a destination's messages wait; `sampling` decides at the end what is kept, and how fully;
`codec` and `store` put it on disk; `recorder` is what the exchange drives. `reader`, `report`, `export` and
`show` are for the command line alone. Nothing here is imported by a courier whose tracing is off, and nothing
here may ever hold a message up: detail is shed first, and what was shed is counted.
"""
