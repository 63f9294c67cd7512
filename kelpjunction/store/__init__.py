"""The state service: the only place where controllers keep anything.

Owns the conversation with it (`client`): pacing, transactions and what is
known of their outcome, holds, and whether the service answers at all; and the
copy of the live keys that each node follows (`mirror`).
"""
