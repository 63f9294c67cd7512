"""A scale run: real controllers and hollow workers on loopback, with the rules checked during the run.

`plan` reads the plan file, `run` starts and ends the processes, `hollow` and
`state` are the main modules of two kinds of them, `users` generates the load,
`checker` checks the rules, and `measures` keeps the figures.  No module of a
node may import this package.
"""
