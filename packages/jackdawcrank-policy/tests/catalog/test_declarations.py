import attrs

from jackdawcrank_policy.catalog import Declarations, ListedServer

SERVER = ListedServer("s1", "plots", "h", 1, "dc", 5, False, True, 7, 1)


def declarations(version: int) -> Declarations:
    return Declarations(version, {}, {}, 3.0)


def test_only_a_newer_version_supersedes() -> None:
    assert declarations(5).supersedes(None)
    assert declarations(5).supersedes(declarations(4))
    assert not declarations(5).supersedes(declarations(5))
    assert not declarations(5).supersedes(declarations(9))


def test_later_report_of_a_process_has_the_same_process() -> None:
    later = attrs.evolve(SERVER, leaving=True, revision=2)
    assert SERVER.same_process(later)


def test_server_restarted_under_its_id_is_another_process() -> None:
    assert not SERVER.same_process(attrs.evolve(SERVER, started_at_ms=8))
    assert not SERVER.same_process(attrs.evolve(SERVER, port=2))
