"""Fixed seats that share a group's connection limit.

A group's row lists its writers by seat. Each seat has a fixed share of the
limit, whatever the number of writers, and an owner: a VM, or a departed VM
that may still have connections open. A seat passes from a departed VM to
another only after the departed one released it, or after its process ended or
was found ended while the row called it departed, and its connections have run
out. So at any moment, whichever version of the row each VM has applied, a
seat's connections belong to one VM, and the sum over the seats never passes
the limit.
"""

from collections.abc import Collection, Sequence

SEATS = 4
DEPARTED_MARK = "!"


def seat_share(limit: int, seat: int, seats: int = SEATS) -> int:
    """Return the connections of one seat; all seats together have `limit`.

    Args:
      limit: The connections to split.
      seat: The seat's number, from 0.
      seats: The number of seats.
    """
    if not 0 <= seat < seats:
        return 0
    return limit // seats + (seat < limit % seats)


def writer_names(writers: Sequence[str]) -> tuple[str, ...]:
    """Return the VMs of a row's writers, without the departed ones."""
    return tuple(w for w in writers if w and not w.startswith(DEPARTED_MARK))


def departed(writers: Sequence[str]) -> tuple[str, ...]:
    """Return the departed VMs whose seats are not free yet."""
    marked = (w for w in writers if w.startswith(DEPARTED_MARK))
    return tuple(w.removeprefix(DEPARTED_MARK) for w in marked)


def plan_seats(
    writers: Sequence[str],
    wanted: Sequence[str],
    freed: Collection[str],
    seats: int = SEATS,
) -> tuple[str, ...]:
    """Return the writers of the next row, each VM in a seat of its own.

    A VM keeps its seat. A VM that is not wanted any more stays on its seat
    as departed. Newcomers get free seats; those who find none wait.

    Args:
      writers: The writers of the present row, by seat.
      wanted: The VMs that should be writers, best ranked first.
      freed: The departed VMs that released their seats, or that are proved
        to be gone and whose connections have run out.
      seats: The number of seats.
    """
    planned = [*writers, *[""] * (seats - len(writers))]
    planned = [leave_seat(owner, wanted, freed) for owner in planned]
    newcomers = [vm for vm in wanted if vm not in planned]
    for seat, owner in enumerate(planned):
        if not owner and newcomers:
            planned[seat] = newcomers.pop(0)
    return tuple(planned)


def leave_seat(
    owner: str, wanted: Sequence[str], freed: Collection[str]
) -> str:
    """Return who owns a seat once unwanted VMs have left."""
    name = owner.removeprefix(DEPARTED_MARK)
    if name in wanted or not name:
        return name
    if owner != name and name in freed:
        return ""
    return DEPARTED_MARK + name
