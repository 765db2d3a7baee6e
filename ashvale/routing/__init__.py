"""Which partner or pool a message may go to, and under which limits: decisions without input or output.

`router` finds the route of a message, `pools` the partner within it, `limits` says whether there is room, and
`build` makes all three from a set of operators' files. Nothing here reads a clock, a file or a socket. The
decision module still chooses the endpoint, whether to try again and what to turn away: a route only narrows
what it may choose from.
"""
