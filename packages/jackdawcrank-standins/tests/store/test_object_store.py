from jackdawcrank_standins.store import (
    ObjectStore,
    PreconditionFailed,
    Stored,
)


def test_conditions() -> None:
    store = ObjectStore()
    first = store.put("a", b"1", if_none_match="*")
    assert isinstance(first, Stored)
    assert store.put("a", b"2", if_none_match="*") == PreconditionFailed(
        first.etag
    )
    assert store.put("b", b"2", if_match="*") == PreconditionFailed(None)
    second = store.put("a", b"2", if_match=first.etag)
    assert isinstance(second, Stored)
    assert second.etag != first.etag
    assert store.put("a", b"3", if_match=first.etag) == PreconditionFailed(
        second.etag
    )
    found = store.get("a")
    assert found is not None
    assert found.data == b"2"


def test_names_and_deletion() -> None:
    store = ObjectStore()
    for name in ("b/2", "a/1", "b/1"):
        store.put(name, b"")
    assert store.names("b/") == ["b/1", "b/2"]
    assert store.delete("b/1")
    assert not store.delete("b/1")
    assert store.names("") == ["a/1", "b/2"]
