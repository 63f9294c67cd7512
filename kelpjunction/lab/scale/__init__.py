"""A scale run: real controllers beside hollow workers, on loopback, with the rules checked while it plays.

`plan` reads the file, `run` starts and ends the processes, `hollow` and
`state` are two of them, `users` makes the load, `checker` judges, `measures`
keeps the figures.  No slice of a node imports any of it.
"""
