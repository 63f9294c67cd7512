"""The fleet: catalog, renting, returning, draining, faulty machines.

Owns each node's inventory of machines (`machines`) and every call to the cloud
(`cloud`).  A rental request is recorded under a unique name before it is sent,
so that a new leader can repeat it and get the same machines.
"""
