"""Counts of one group's statements on one home proxy."""

import attrs


@attrs.define
class GroupCounters:
    """How a group's statements were served.

    Attributes:
      replica_reads: Reads that a replica served.
      primary_reads: Reads that the primary served.
      replica_waits: Reads that waited for a replica.
      late_answers: Replica answers that were dropped as too old.
      writes: Writes that were acknowledged.
      refused: Statements refused as not run.
      failed: Statements that ran and were rolled back.
      unknown: Statements with an unknown outcome.
      repeats: Writes answered from the request table.
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
