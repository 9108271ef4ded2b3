"""Checks a history against the consistency rules for terms and writes."""

import collections
import itertools
from collections.abc import Iterator

from jackdawcrank_standins.history.history import History
from jackdawcrank_standins.history.records import CallerOutcome
from jackdawcrank_standins.history.violation import Rule, Violation


def check_history(history: History) -> list[Violation]:
    """Return all violations of the rules in a history.

    Args:
      history: The complete history of a finished run.
    """
    return [
        *_acknowledged_under_old_term(history),
        *_applied_twice(history),
        *_refused_but_applied(history),
        *_lost_writes(history),
        *_two_primaries(history),
    ]


def _acknowledged_under_old_term(history: History) -> Iterator[Violation]:
    final_write_ids = history.final_writes()
    for answer in history.answers:
        if (
            answer.outcome is not CallerOutcome.DONE
            or answer.write_id in final_write_ids
        ):
            continue
        later = [
            later_term
            for later_term in history.terms
            if later_term.term > answer.term
            and later_term.opened_at <= answer.answered_at
        ]
        if later:
            yield Violation(
                Rule.OLD_TERM,
                answer.write_id,
                f"acknowledged under term {answer.term} at "
                f"{answer.answered_at:.3f} s, after term {later[0].term} "
                f"had opened at {later[0].opened_at:.3f} s",
            )


def _applied_twice(history: History) -> Iterator[Violation]:
    for server, log in history.logs.items():
        counts = collections.Counter(entry.write_id for entry in log)
        for write_id, count in counts.items():
            if count > 1:
                yield Violation(
                    Rule.APPLIED_TWICE, write_id, f"{count} times on {server}"
                )


def _refused_but_applied(history: History) -> Iterator[Violation]:
    final_write_ids = history.final_writes()
    unsuccessful_outcomes = (CallerOutcome.NOT_RUN, CallerOutcome.FAILED)
    for answer in history.answers:
        if not answer.last or answer.outcome not in unsuccessful_outcomes:
            continue
        if answer.write_id in final_write_ids:
            yield Violation(
                Rule.NOT_RUN_RAN,
                answer.write_id,
                f"reported as {answer.outcome} but on the final branch",
            )


def _lost_writes(history: History) -> Iterator[Violation]:
    final_write_ids = history.final_writes()
    for answer in history.answers:
        if answer.outcome is not CallerOutcome.DONE:
            continue
        if answer.must_survive and answer.write_id not in final_write_ids:
            yield Violation(
                Rule.LOST,
                answer.write_id,
                f"acknowledged under term {answer.term}, not on "
                f"{history.final_primary}",
            )


def _two_primaries(history: History) -> Iterator[Violation]:
    for earlier, later in itertools.pairwise(history.terms):
        if later.term <= earlier.term or later.opened_at < earlier.opened_at:
            yield Violation(
                Rule.TWO_PRIMARIES,
                str(later.term),
                f"opened on {later.primary} after term {earlier.term} on "
                f"{earlier.primary}",
            )
