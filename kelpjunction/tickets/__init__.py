"""Render-farm job tickets: Open Job Description's job templates as jobs of this service.

Pure: `job_template` knows the published format, `plan` what each part of a ticket
becomes, `progress` how an accepted one stands, `classes` how often it may run.
`records` writes them, `step_planner` decides what comes next, `requests` answers users,
`reconciler` drives, and `gateway` wires them into a process of its own.  Nodes
import nothing of this.  docs/tickets.md says what is mapped, what is refused
and why the rules hold.
"""
