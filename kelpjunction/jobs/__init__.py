"""Jobs and tasks: their life from acceptance to their end.

Owns the records of live jobs (`l/job/<ref>`, `l/run/<ref>/<chunk>`,
`l/sum/<ref>`) and of ended ones (`e/<ref>`), the in-memory picture of them
(`job_index`), who is to blame for a failure (`failure_attribution`), and the rounds of leader and
holders that write them (`leader_scheduler`, `holder_scheduler`, by way of `records`).
"""
