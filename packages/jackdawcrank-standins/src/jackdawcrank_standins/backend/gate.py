"""Holds work back while something blocks it."""

import asyncio

import attrs


@attrs.define
class Gate:
    """Is open while no reason blocks it.

    Attributes:
      reasons: What blocks the gate now.
      opened: Set while the gate is open.
    """

    reasons: set[str] = attrs.field(factory=set)
    opened: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.opened.set()

    @property
    def blocked(self) -> bool:
        """Return whether something blocks the gate."""
        return bool(self.reasons)

    def block(self, reason: str) -> None:
        """Add a reason that blocks the gate."""
        self.reasons.add(reason)
        self.opened.clear()

    def unblock(self, reason: str) -> None:
        """Remove a reason; the gate opens after the last one."""
        self.reasons.discard(reason)
        if not self.reasons:
            self.opened.set()

    async def wait(self) -> None:
        """Wait until the gate is open."""
        while self.reasons:
            await self.opened.wait()
