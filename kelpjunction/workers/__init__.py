"""Workers: reports, sessions, commands, and when a placement is settled.

Owns what the holder of a block knows of each worker (`Worker`).  A placement is
settled when its task is known to be off its machine and neither a start that was
sent for it nor a copy of one could run it there.  Until then it occupies its task,
its zone and its team's quota.  See `docs/design.md`, "When a placement is settled".
"""
