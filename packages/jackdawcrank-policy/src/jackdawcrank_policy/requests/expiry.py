"""The retention of request records."""

REQUEST_RECORD_SECONDS = 7 * 24 * 3600
EXPIRY_BATCH_SECONDS = 600
DELETE_EXPIRED = "DELETE FROM jackdawcrank_requests WHERE created_at < %s"
SELECT_OLDEST = "SELECT MIN(created_at) FROM jackdawcrank_requests"


def expired_before(oldest: int | None, now: int) -> int | None:
    """Return the creation time below which records may be deleted now.

    Records are kept for `REQUEST_RECORD_SECONDS` and then deleted in batches.
    A batch spans `EXPIRY_BATCH_SECONDS` of creation times, so that no single
    deletion is large.

    Args:
      oldest: The creation time of the oldest record, in Unix seconds; None if
        there are no records.
      now: The current time, in Unix seconds.

    Returns:
      The parameter of `DELETE_EXPIRED`, or None if nothing has expired.
    """
    if oldest is None:
        return None
    bound = min(now - REQUEST_RECORD_SECONDS, oldest + EXPIRY_BATCH_SECONDS)
    return bound if bound > oldest else None
