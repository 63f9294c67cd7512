"""Workers: check-ins, sessions, commands, and when a placement is settled.

Owns what the leader knows of each worker (`Worker`).  A placement is settled
when its task is surely not on its machine any more and no command that is
still under way could bring it there; until then it holds its task, its zone
and its team's quota.  See `docs/design.md`, "When a placement is settled".
"""
