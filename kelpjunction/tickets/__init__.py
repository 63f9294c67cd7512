"""Render-farm job tickets: Open Job Description's job templates as jobs of this service.

These modules have no side effects: `job_template` reads the published format, `plan`
turns a ticket into jobs, `progress` holds the state of an accepted ticket, and `classes`
decides how often a ticket may run.
`records` reads and writes tickets in the state service, `step_planner` decides a run's
next change, `requests` answers users, `reconciler` advances runs, and `gateway` connects
them in a separate process.  Nodes import nothing from this package.  docs/tickets.md
says what is mapped, what is rejected and why the rules hold.
"""
