"""The fleet: catalog, renting, returning, draining, faulty machines.

Owns what the leader knows of each machine (`machines`) and every call to the
cloud (`cloud`).  Rentals are written down before they are asked for, under a
name that no other request ever had, so that a new leader can ask again and
get the same machines.
"""
