"""Couriers that agree: who is there, one record of what was decided, and leases on it.

Loaded only where the operator's own file has a `[fleet]` table; on the platform couriers do not talk.
`record`, `state`, `members` and `agent` decide and do no I/O; `store` is the disk, `node` the wire and the
driver.
"""
