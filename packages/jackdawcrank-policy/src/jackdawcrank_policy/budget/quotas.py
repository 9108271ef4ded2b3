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

QUOTA_COUNT = 4
DEPARTED_PREFIX = "!"


def quota_size(limit: int, quota: int, quota_count: int = QUOTA_COUNT) -> int:
    """Return the connections of one seat; all seats together have `limit`.

    Args:
      limit: The connections to split.
      quota: The seat's number, from 0.
      quota_count: The number of seats.
    """
    if not 0 <= quota < quota_count:
        return 0
    return limit // quota_count + (quota < limit % quota_count)


def writer_names(writers: Sequence[str]) -> tuple[str, ...]:
    """Return the VMs of a row's writers, without the departed ones."""
    return tuple(
        writer
        for writer in writers
        if writer and not writer.startswith(DEPARTED_PREFIX)
    )


def departed_vms(writers: Sequence[str]) -> tuple[str, ...]:
    """Return the departed VMs whose seats are not free yet."""
    with_prefix = (
        writer for writer in writers if writer.startswith(DEPARTED_PREFIX)
    )
    return tuple(writer.removeprefix(DEPARTED_PREFIX) for writer in with_prefix)


def assign_quotas(
    writers: Sequence[str],
    wanted: Sequence[str],
    released: Collection[str],
    quota_count: int = QUOTA_COUNT,
) -> tuple[str, ...]:
    """Return the writers of the next row, each VM in a seat of its own.

    A VM keeps its seat. A VM that is not wanted any more stays on its seat
    as departed. Newcomers get free seats; those who find none wait.

    Args:
      writers: The writers of the present row, by seat.
      wanted: The VMs that should be writers, best ranked first.
      released: The departed VMs that released their seats, or that are proved
        to be gone and whose connections have run out.
      quota_count: The number of seats.
    """
    owners = [*writers, *[""] * (quota_count - len(writers))]
    owners = [quota_owner(owner, wanted, released) for owner in owners]
    unassigned = [vm for vm in wanted if vm not in owners]
    for quota, owner in enumerate(owners):
        if not owner and unassigned:
            owners[quota] = unassigned.pop(0)
    return tuple(owners)


def quota_owner(
    owner: str, wanted: Sequence[str], released: Collection[str]
) -> str:
    """Return who owns a seat once unwanted VMs have left."""
    name = owner.removeprefix(DEPARTED_PREFIX)
    if name in wanted or not name:
        return name
    if owner != name and name in released:
        return ""
    return DEPARTED_PREFIX + name
