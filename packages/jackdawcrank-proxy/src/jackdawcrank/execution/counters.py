"""Statement counters of a group on a home proxy."""

import attrs


@attrs.define
class GroupCounters:
    """Counts a group's statements by how they were served.

    Attributes:
      replica_reads: Reads that a replica served.
      primary_reads: Reads that the primary served.
      replica_waits: Reads that waited for a replica.
      late_answers: Replica answers discarded because they were too old.
      writes: Writes that were acknowledged.
      refused: Statements refused without being run.
      failed: Statements that ran and were rolled back.
      unknown: Statements with an unknown outcome.
      repeats: Writes answered from their request record.
    """

    replica_reads: int = 0
    primary_reads: int = 0
    replica_waits: int = 0
    late_answers: int = 0
    writes: int = 0
    refused: int = 0
    failed: int = 0
    unknown: int = 0
    repeats: int = 0
