"""Access to the state service, the only place where controllers store anything.

`client` sends the requests: rate limiting, transactions and their outcomes,
store leases, and whether the state service is reachable.  `mirror` keeps each
node's local copy of the live keys.
"""
