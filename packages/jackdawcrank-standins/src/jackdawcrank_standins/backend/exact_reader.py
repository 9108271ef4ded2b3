"""A stream reader for length-framed packets."""

import asyncio

HEADER_BYTES = 4


class ExactReader(asyncio.StreamReader):
    """Reads a packet's header whole, also when it arrives in pieces."""

    async def read(self, n: int = -1) -> bytes:
        """Return up to n bytes, but a header of four bytes as a whole."""
        if n != HEADER_BYTES:
            return await super().read(n)
        try:
            return await self.readexactly(n)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return b""
