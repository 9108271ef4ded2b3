"""The envelope that carries a message in every codec."""

import typing

import cattrs

from jackdawcrank_wire.codec.malformed import Malformed
from jackdawcrank_wire.messages import MESSAGE_TYPES, Message

SCHEMA_VERSION = 1
MESSAGE_NUMBERS = {cls: number for number, cls in MESSAGE_TYPES.items()}


def pack_envelope(
    message: Message, converter: cattrs.Converter
) -> list[typing.Any]:
    """Return a message as `[number, schema version, fields]`.

    Args:
      message: The message.
      converter: Converts the fields to plain values.
    """
    number = MESSAGE_NUMBERS[type(message)]
    return [number, SCHEMA_VERSION, converter.unstructure(message)]


def unpack_envelope(
    envelope: typing.Any, converter: cattrs.Converter
) -> Message | Malformed:
    """Return the message in a decoded envelope, or why there is none.

    Args:
      envelope: The decoded value, of any type.
      converter: Builds messages from plain values.
    """
    if type(envelope) is not list or len(envelope) < 3:
        return Malformed("not an envelope")
    number, _, fields = envelope[:3]
    if type(number) is not int or type(fields) is not list:
        return Malformed("not an envelope")
    cls = MESSAGE_TYPES.get(number)
    if cls is None:
        return unknown_type(number, fields)
    try:
        return converter.structure(fields, cls)
    except (TypeError, ValueError, KeyError) as error:
        return Malformed(f"{cls.__name__}: {error}")


def unknown_type(number: int, fields: list[typing.Any]) -> Malformed:
    """Describe a message whose type this version does not know.

    Args:
      number: The number of the message type.
      fields: The message's fields. The first field of a request is its
        request number.
    """
    first = fields[0] if fields else 0
    return Malformed(
        f"unknown message number {number}",
        unknown_type=number,
        request_number=first if type(first) is int else 0,
    )
