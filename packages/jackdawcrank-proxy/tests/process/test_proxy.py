"""Tests of the interaction of the components of a proxy process."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from jackdawcrank.process import Proxy
from jackdawcrank.process.proxy import VERSION_GOSSIP_FANOUT
from jackdawcrank_policy.configuration import Configuration
from jackdawcrank_wire.messages import ConfigVersion
from jackdawcrank_wire.settings import Settings


class FakeStream:
    """An open stream that records the posted messages."""

    usable = True

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        self.posted.append(message)


@pytest.fixture
async def proxy() -> Proxy:
    settings = Settings(
        vm="vm0",
        host="127.0.0.1",
        platform_url="http://127.0.0.1:9",
        peer_secret="0123456789abcdef0123456789abcdef",
        token_keys=("0123456789abcdef0123456789abcdef",),
        operator_tokens=("operator:0123456789abcdef0123456789abcdef",),
        callers=(),
        backend_user="proxy",
    )
    return Proxy(settings, random.Random(1))


async def test_new_version_is_announced_to_few_peers(proxy: Proxy) -> None:
    streams: dict[str, Any] = {f"vm{n}": FakeStream() for n in range(1, 50)}
    proxy.peer_pool.streams.update(streams)
    proxy._configuration_changed(Configuration(4), ())
    posted_lists = [
        stream.posted for stream in streams.values() if stream.posted
    ]
    assert posted_lists == [[ConfigVersion(4)]] * VERSION_GOSSIP_FANOUT


async def test_peers_with_open_transactions_are_monitored(
    proxy: Proxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    is_peer_monitored = proxy.peer_pool.is_peer_monitored
    assert not is_peer_monitored("vm1")
    proxy.router.pinned["t1"] = "vm1"
    assert is_peer_monitored("vm1")
    proxy.router.pinned.clear()
    transaction: Any = SimpleNamespace(session_id="vm2:5f3a:7")
    home: Any = SimpleNamespace(
        group=SimpleNamespace(
            transactions=SimpleNamespace(open={"t1": transaction})
        )
    )
    monkeypatch.setitem(proxy.registry.homes, "ledger", home)
    assert is_peer_monitored("vm2")
    assert not is_peer_monitored("vm1")
