"""Workers: reports, sessions, commands, and when a placement is settled.

Owns what the holder of a block knows of each worker (`Worker`).  A placement is
settled when its task is known to be off its machine and no command that is still
in flight could start it there.  Until then it occupies its task, its zone and its
team's quota.  See `docs/design.md`, "When a placement is settled".
"""
