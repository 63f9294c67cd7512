"""Render-farm job tickets: Open Job Description's job templates as jobs of this service.

`wire` knows the published format, `plan` what each part of a ticket becomes.
Both are pure and serve the command `ticket check` so far; nodes import
neither.  docs/tickets.md says what is mapped, what is refused and why.
"""
