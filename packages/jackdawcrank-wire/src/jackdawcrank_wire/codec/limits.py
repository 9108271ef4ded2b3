"""Size limits of encoded messages."""

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_LIST_LENGTH = 65_536
