"""One guarded call of a subscription."""

from absl import logging

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
        logging.exception("timer callback %s failed", subscription.name)
    finally:
        subscription.running = False
