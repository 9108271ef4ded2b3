"""Errors that decoding malformed JSON may raise."""

MALFORMED = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
