"""The fair-share ledger: what each team held, fading, and what that does to its work beyond its guarantee.

`decay` is the arithmetic, `accounts` what an entry does to the balances and
how entries are chained; both are pure and use whole numbers only.  `writer`
is the leader's part: it closes stretches of time under `l/lead`'s guard.
`reader`, `audit`, `archive` and `report` serve the operators' commands and are
never imported by a node.

What a job has held until a moment follows from its records (`Job.machine_time_ms`), so
an entry charges the difference between what the records say now and what they
said at the entry before.  Nothing is added up from observed events: whoever
dies, stands still or writes with an unknown outcome, the next entry charges
what is missing, once.
"""
