from jackdawcrank_policy.values import Vm, VmState
from jackdawcrank_standins.store import VmList

ALPHA = Vm("alpha", "10.0.0.1", 7001, 7002)


def test_changes_are_listed_after_the_lag() -> None:
    vms = VmList(lag_seconds=5)
    vms.put(ALPHA, now=10)
    assert vms.listed(14.9) == []
    assert vms.listed(15) == [ALPHA]
    vms.remove("alpha", now=20)
    assert vms.listed(24) == [ALPHA]
    assert vms.listed(25) == []


def test_states_are_listed_at_once() -> None:
    vms = VmList(lag_seconds=5)
    vms.put(ALPHA, now=0, at_once=True)
    assert vms.set_state("alpha", VmState.LEAVING, now=1)
    assert [vm.state for vm in vms.listed(1)] == [VmState.LEAVING]
    assert not vms.set_state("beta", VmState.LIVE, now=1)
