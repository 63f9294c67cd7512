"""The fair-share ledger: each team's decaying usage, and the priority factor for its work beyond its guarantee.

`decay` has the arithmetic.  `accounts` defines how an entry changes the
balances and how entries are chained.  Both do no I/O and use integers only.
`writer` runs on the leader: it closes periods of time, guarded by `l/lead`.
`reader`, `audit`, `archive` and `report` serve the operators' commands and are
never imported by a node.

The machine time of a job up to a given time follows from the job's records
(`Job.machine_time_ms`).  An entry charges the difference between the machine
time in the records now and at the previous entry.  Nothing is summed from
observed events.  If a process dies or pauses, or a write has an unknown
outcome, the next entry charges the missing time exactly once.
"""
