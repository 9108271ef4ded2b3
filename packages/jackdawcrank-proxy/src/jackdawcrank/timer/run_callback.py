"""Calls timer callbacks and logs their exceptions."""

from jackdawcrank.timer.subscription import Subscription


async def run_callback(subscription: Subscription, now: float) -> None:
    """Call a subscription's callback and log any exception.

    Args:
      subscription: The subscription that is due.
      now: The current time on the timer's clock, in seconds.
    """
    subscription.running = True
    try:
        await subscription.callback(now)
    except Exception:
        # Imported here because processes that log by other means start
        # faster without it.
        from absl import logging

        logging.exception("timer callback %s failed", subscription.name)
    finally:
        subscription.running = False
