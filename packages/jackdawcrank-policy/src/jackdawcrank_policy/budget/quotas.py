"""Fixed quotas that divide a group's connection limit.

A group's row lists its writers by quota. Each quota is a fixed share of the
limit, whatever the number of writers, and has an owner: a VM, or a departed VM
that may still have connections open. A quota passes from a departed VM to
another in one of two cases: the departed VM released it, or its process ended,
or was found to have ended, while the row marked it as departed, and its
connections have expired. So at any time, whichever version of the row each VM
has applied, the connections of a quota belong to one VM, and the sum over the
quotas never exceeds the limit.
"""

from collections.abc import Collection, Sequence

QUOTA_COUNT = 4
DEPARTED_PREFIX = "!"


def quota_size(limit: int, quota: int, quota_count: int = QUOTA_COUNT) -> int:
    """Return the size of one quota; all quotas add up to `limit`.

    Args:
      limit: The number of connections to divide.
      quota: The index of the quota, from 0.
      quota_count: The number of quotas.
    """
    if not 0 <= quota < quota_count:
        return 0
    return limit // quota_count + (quota < limit % quota_count)


def writer_names(writers: Sequence[str]) -> tuple[str, ...]:
    """Return a row's writers without the departed VMs."""
    return tuple(
        writer
        for writer in writers
        if writer and not writer.startswith(DEPARTED_PREFIX)
    )


def departed_vms(writers: Sequence[str]) -> tuple[str, ...]:
    """Return the departed VMs that still own a quota."""
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
    """Return the writers of the next row, with one quota per VM.

    A VM keeps its quota. A VM that is no longer wanted keeps it as a departed
    VM. New VMs get free quotas; if there are too few, the others get none yet.

    Args:
      writers: The writers of the current row, by quota.
      wanted: The VMs that should be writers, best ranked first.
      released: The departed VMs that released their quotas, or that are known
        to have ended and whose connections have expired.
      quota_count: The number of quotas.
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
    """Return the owner of a quota after unwanted VMs have departed."""
    name = owner.removeprefix(DEPARTED_PREFIX)
    if name in wanted or not name:
        return name
    if owner != name and name in released:
        return ""
    return DEPARTED_PREFIX + name
