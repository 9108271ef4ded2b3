"""One guarded call of a subscription."""

from jackdawcrank.timer.subscription import Subscription


async def run_callback(subscription: Subscription, now: float) -> None:
    """Call a subscription back and log what it raises.

    Args:
      subscription: The subscription that is due.
      now: The timer's time.
    """
    subscription.running = True
    try:
        await subscription.callback(now)
    except Exception:
        # Imported here, since processes that log elsewhere start quicker
        # without it.
        from absl import logging

        logging.exception("timer callback %s failed", subscription.name)
    finally:
        subscription.running = False
