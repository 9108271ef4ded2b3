"""How long VMs could not prove the age of the keys."""

from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine


@attrs.frozen
class UnprovenTime:
    """The times in which a VM refused all callers with keys.

    Attributes:
      vm: The VM.
      times: How often the age became unproven.
      seconds: How long it stayed so in all; the last time counts up to its
        end or the VM's last line.
    """

    vm: str
    times: int
    seconds: float


def find_unproven_times(lines: Iterable[LogLine]) -> list[UnprovenTime]:
    """Return the VMs whose keys were unproven, the longest first.

    Args:
      lines: The lines of all logs.
    """
    by_vm: dict[str, list[LogLine]] = {}
    for line in lines:
        by_vm.setdefault(line.vm, []).append(line)
    found = [add_up(vm, one) for vm, one in by_vm.items()]
    found = [one for one in found if one.times]
    return sorted(found, key=lambda one: (-one.seconds, one.vm))


def add_up(vm: str, lines: list[LogLine]) -> UnprovenTime:
    """Return the unproven time of one VM.

    Args:
      vm: The VM.
      lines: All its lines.
    """
    lines.sort(key=lambda one: one.at)
    times = 0
    seconds = 0.0
    began: float | None = None
    for line in lines:
        if line.event == "keys_unproven" and began is None:
            began = line.at
            times += 1
        elif line.event in ("keys_proven", "started") and began is not None:
            seconds += line.at - began
            began = None
    if began is not None:
        seconds += lines[-1].at - began
    return UnprovenTime(vm, times, seconds)
