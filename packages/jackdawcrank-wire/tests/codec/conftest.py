import pytest

from jackdawcrank_wire.codec import Codec, JsonCodec, MsgpackCodec


@pytest.fixture(params=[MsgpackCodec, JsonCodec], scope="module")
def codec(request: pytest.FixtureRequest) -> Codec:
    return request.param()
