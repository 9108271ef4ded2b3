"""Client of the platform's tables, object store and VM list."""

import json
import random
import time
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import attrs

from jackdawcrank.store.channel import Channel, Request
from jackdawcrank.store.limits import StoreLimits
from jackdawcrank.store.outcome import (
    Absent,
    Committed,
    Conflict,
    ConflictingRow,
    Deleted,
    ObjectWritten,
    Page,
    PreconditionFailed,
    Row,
    StoredObject,
    StoreUnavailable,
)
from jackdawcrank.store.response import StoreResponse
from jackdawcrank.store.traffic import Traffic
from jackdawcrank.store.transaction import Transaction
from jackdawcrank_policy.values import Vm, VmState

T = TypeVar("T")

OK = 200
CREATED = 201
NO_CONTENT = 204
NOT_MODIFIED = 304
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
SUCCESS_STATUSES = (OK, CREATED, NO_CONTENT)
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
JSON_HEADERS = {"Content-Type": "application/json"}


class StoreClient:
    """Accesses the platform's services over HTTP.

    Failures are returned as `StoreUnavailable`, not raised.

    Attributes:
      channel: Sends the requests within the limits.
      limits: The limits.
      vms: The entity tag and content of the last VM list.
    """

    def __init__(
        self,
        url: str,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        limits: StoreLimits | None = None,
    ) -> None:
        """Create a client; call `start` before use.

        Args:
          url: The platform's base URL.
          clock: Returns monotonic seconds.
          rng: The random source of the jitter.
          limits: The limits on requests.
        """
        self.limits = limits or StoreLimits()
        rng = rng or random.Random()
        self.channel = Channel(url.rstrip("/"), clock, rng, self.limits)
        self.vms: tuple[str, tuple[Vm, ...]] = ("", ())

    @property
    def traffic(self) -> Traffic:
        """Return the counters of requests and responses."""
        return self.channel.traffic

    async def start(self) -> None:
        """Open the client."""
        await self.channel.start()

    async def close(self) -> None:
        """Close the client and its connections."""
        await self.channel.close()

    async def get(
        self, table: str, key: str
    ) -> Row | Absent | StoreUnavailable:
        """Read a row."""
        path = f"/tables/{quote(table, safe='')}/{quote(key, safe='/')}"
        response = await self.read(path)
        if isinstance(response, StoreUnavailable):
            return response
        if response.status == NOT_FOUND:
            return Absent()
        return decode_response(response, lambda body: row(key, body))

    async def scan(
        self, table: str, after: str = "", limit: int = 200
    ) -> Page | StoreUnavailable:
        """Read a page of the rows whose keys are greater than a key.

        Args:
          table: The table's name.
          after: The key after which to start.
          limit: The maximum number of rows.
        """
        query = urlencode({"after": after, "limit": limit})
        response = await self.read(f"/tables/{quote(table, safe='')}?{query}")
        if isinstance(response, StoreUnavailable):
            return response
        return decode_response(response, page)

    async def transact(
        self, transaction: Transaction
    ) -> Committed | Conflict | StoreUnavailable:
        """Write several rows atomically if every check passes."""
        body = json.dumps(attrs.asdict(transaction)).encode()
        request = Request(
            "POST",
            "/transactions",
            self.limits.write_timeout_seconds,
            body,
            JSON_HEADERS,
        )
        response = await self.channel.send(request)
        if isinstance(response, StoreUnavailable):
            return response
        if response.status == CONFLICT:
            return decode_response(response, conflict, maybe_applied=False)
        return decode_response(response, committed, maybe_applied=True)

    async def get_object(
        self, name: str
    ) -> StoredObject | Absent | StoreUnavailable:
        """Read an object."""
        response = await self.object_request("GET", name)
        if isinstance(response, StoreUnavailable):
            return response
        if response.status == NOT_FOUND:
            return Absent()
        if response.status != OK:
            return unexpected_status(response)
        return StoredObject(response.body, response.etag)

    async def put_object(
        self,
        name: str,
        data: bytes,
        if_match: str | None = None,
        create_only: bool = False,
    ) -> ObjectWritten | PreconditionFailed | StoreUnavailable:
        """Write an object.

        Args:
          name: The object's name.
          data: The object's content.
          if_match: The required entity tag of the existing object.
          create_only: Whether to fail if the object exists.
        """
        headers = {"If-Match": if_match} if if_match is not None else {}
        if create_only:
            headers["If-None-Match"] = "*"
        response = await self.object_request("PUT", name, data, headers)
        if isinstance(response, StoreUnavailable):
            return response
        if response.status == PRECONDITION_FAILED:
            return PreconditionFailed()
        if response.status not in SUCCESS_STATUSES:
            return unexpected_status(response, maybe_applied=True)
        return ObjectWritten(response.etag)

    async def delete_object(self, name: str) -> Deleted | StoreUnavailable:
        """Delete an object; a missing object counts as deleted."""
        response = await self.object_request("DELETE", name)
        if isinstance(response, StoreUnavailable):
            return response
        if response.status not in (*SUCCESS_STATUSES, NOT_FOUND):
            return unexpected_status(response, maybe_applied=True)
        return Deleted()

    async def list_objects(
        self, prefix: str
    ) -> tuple[str, ...] | StoreUnavailable:
        """Return the names of the objects with a prefix."""
        response = await self.read(f"/objects?{urlencode({'prefix': prefix})}")
        if isinstance(response, StoreUnavailable):
            return response
        return decode_response(response, object_names)

    async def list_vms(self) -> tuple[Vm, ...] | StoreUnavailable:
        """Return the platform's list of VMs, which may be outdated."""
        etag, cached_vms = self.vms
        headers = {"If-None-Match": etag} if etag else {}
        response = await self.read("/vms", headers)
        if isinstance(response, StoreUnavailable):
            return response
        if response.status == NOT_MODIFIED:
            return cached_vms
        vms = decode_response(response, vm_list)
        if not isinstance(vms, StoreUnavailable):
            self.vms = (response.etag, vms)
        return vms

    async def read(
        self, path: str, headers: dict[str, str] | None = None
    ) -> StoreResponse | StoreUnavailable:
        """Send a read of a table or a list."""
        seconds = self.limits.read_timeout_seconds
        request = Request("GET", path, seconds, headers=headers or {})
        return await self.channel.send(request)

    async def object_request(
        self,
        method: str,
        name: str,
        data: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> StoreResponse | StoreUnavailable:
        """Send a request about one object."""
        path = f"/objects/{quote(name, safe='/')}"
        seconds = self.limits.object_timeout_seconds
        request = Request(method, path, seconds, data, headers or {})
        return await self.channel.send(request)


def decode_response(
    response: StoreResponse,
    decode: Callable[[Any], T],
    maybe_applied: bool = False,
) -> T | StoreUnavailable:
    """Return a decoded JSON body; unavailable if it is malformed."""
    if response.status not in (OK, CONFLICT):
        return unexpected_status(response)
    try:
        return decode(response.document())
    except DECODE_ERRORS as error:
        detail = f"malformed response: {error!r}"
        return StoreUnavailable(maybe_applied, detail)


def unexpected_status(
    response: StoreResponse, maybe_applied: bool = False
) -> StoreUnavailable:
    """Return the failure for an HTTP status outside the contract."""
    detail = (
        f"the store returned HTTP {response.status}: {response.body[:200]!r}"
    )
    return StoreUnavailable(maybe_applied, detail)


def row(key: str, body: dict[str, Any]) -> Row:
    """Return the row in a response to a read of one row."""
    return Row(key, body["value"], int(body["version"]))


def page(body: dict[str, Any]) -> Page:
    """Return the page in a response to a scan."""
    rows = tuple(row(item["key"], item) for item in body["rows"])
    return Page(rows, bool(body["more"]))


def committed(body: dict[str, Any]) -> Committed:
    """Return the outcome of a committed transaction."""
    return Committed({k: int(v) for k, v in body["versions"].items()})


def conflict(body: dict[str, Any]) -> Conflict:
    """Return the outcome of a transaction that failed a check."""
    rows = (
        ConflictingRow(
            item["table"], item["key"], item.get("version"), item.get("value")
        )
        for item in body["conflicts"]
    )
    return Conflict(tuple(rows))


def object_names(body: dict[str, Any]) -> tuple[str, ...]:
    """Return the names in an object list."""
    return tuple(str(name) for name in body["names"])


def vm_list(body: dict[str, Any]) -> tuple[Vm, ...]:
    """Return the VMs in a VM list."""
    return tuple(vm_from(item) for item in body["vms"])


def vm_from(item: dict[str, Any]) -> Vm:
    """Return a VM from its JSON form."""
    return Vm(
        name=str(item["name"]),
        host=str(item["host"]),
        peer_port=int(item["peer_port"]),
        operator_port=int(item["operator_port"]),
        region=str(item.get("region", "")),
        data_center=str(item.get("data_center", "")),
        state=VmState(item.get("state", "live")),
    )
