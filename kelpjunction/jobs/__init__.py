"""Jobs and tasks, from the acceptance of a job until its end.

This package owns the records of live jobs (`l/job/<ref>`, `l/run/<ref>/<chunk>`,
`l/sum/<ref>`) and of ended jobs (`e/<ref>`).  `job_index` indexes the live jobs in memory.
`failure_attribution` decides whether a failure is due to the job or to the machine.
`leader_scheduler` and `holder_scheduler` run the rounds of the leader and of the holders,
which write the records through `records`.
"""
