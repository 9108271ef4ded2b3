"""Stand-ins of the platform, the servers and the clients, for the scripts.

Only the standard library is used. Each machine has a loopback address of its
own. Every class follows `PROTOCOL.md`; what it does beyond that is named in the
case that switches it on.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable, Coroutine

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ["python3", "-S", "-m", "jackdawcrank_platform"]
SERVICE = "verif-core"
ZONES = {"obb-a": "oberbayern", "frk-a": "franken", "swb-a": "schwaben"}
DRAIN_MS = 7_000
GRACE_S = 6
CONFIG_APPLY_MS = 3_000
LOSS_SLACK_MS = 200
PLATFORM = "127.0.9.1"


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def add(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self) -> None:
        self.file.close()


def free_port(hosts: list[str]) -> int:
    """Return a port that is free on all addresses."""
    while True:
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = int(first.getsockname()[1])
        if all(is_free(host, port) for host in hosts):
            return port


def is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


Handler = Callable[
    [str, str, dict[str, str], dict[str, str], bytes],
    Awaitable[tuple[int, object] | None],
]


class HttpServer:
    """HTTP/1.1 with persistent connections; None as an answer cuts one."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(
            self.serve, host, 0, limit=1 << 22
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *rest = head.split("\r\n")
                method, target, _ = first.split(" ")
                pairs = (one.partition(":") for one in rest if one)
                headers = {n.lower(): v.strip() for n, _, v in pairs}
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                answer = await self.handler(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    body,
                )
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store: rows in tables, with a feed.

    Attributes:
      down: Whether every call gets 503, so that nothing is done.
    """

    def __init__(self) -> None:
        self.down = False
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        # The same store for a machine whose ways to the servers are `Path`s:
        # bytes to replace in what it reads.
        self.replaced: list[tuple[bytes, bytes]] = []
        self.far_http = HttpServer(self.handle_far)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self.ver += 1
        self.history.append((self.ver, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = value, self.ver
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        self.down = down
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, rows: list[dict[str, object]]) -> tuple[int, object]:
        now_ms = time.monotonic() * 1000
        return 200, {
            "rows": rows,
            "ver": self.ver,
            "nowMs": now_ms,
            "hasMore": False,
        }

    async def handle(
        self,
        _method: str,
        path: str,
        query: dict[str, str],
        _headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, object] | None:
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        if path == "/rows-get":
            return self.answer(
                [
                    row_body(table, key, value, ver)
                    for (table, key), (value, ver) in sorted(self.rows.items())
                    if table == query["table"]
                    and key >= query.get("from", "")
                    and ("target" not in query or key < query["target"])
                ]
            )
        if path == "/rows-feed":
            return await self.feed(query)
        if path == "/rows-tx":
            return self.transaction(json.loads(body))
        return 404, {}

    async def handle_far(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, object] | None:
        answer = await self.handle(method, path, query, headers, body)
        if answer is None or query.get("table") != "servers":
            return answer
        status, found = answer
        for row in found["rows"] if status == 200 else ():
            value = base64.b64decode(row.get("value", ""))
            for old, new in self.replaced:
                value = value.replace(old, new)
            if "value" in row:
                row["value"] = base64.b64encode(value).decode()
        return answer

    async def feed(self, query: dict[str, str]) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        while True:
            changed = self.changed
            found = [
                row_body(table, key, value, ver)
                for ver, table, key, value in self.history
                if table == query["table"] and ver > after
            ]
            left = deadline - loop.time()
            if self.down:
                return 503, {}
            if found or left <= 0:
                return self.answer(found)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def transaction(self, body: dict[str, list[dict]]) -> tuple[int, object]:
        for one in body["precondition"]:
            found = self.rows.get((one["table"], one["key"]))
            if (found[1] if found else 0) != one["ver"]:
                return 412, {"rows": [], "ver": self.ver}
        for one in body["writes"]:
            value = base64.b64decode(one["value"])
            self.put(one["table"], one["key"], value)
        return self.answer([])


def row_body(
    table: str, key: str, value: bytes | None, ver: int
) -> dict[str, object]:
    row: dict[str, object] = {
        "table": table,
        "part": "",
        "key": key,
        "ver": ver,
    }
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}


class Path:
    """A machine's path to a server, which can be cut silently.

    Attributes:
      cut: Whether bytes are held back in both directions.
    """

    def __init__(self, host: str, port: int) -> None:
        self.target = host, port
        self.cut = False
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while self.cut:
            await asyncio.sleep(0.02)
        to_reader, to_writer = await asyncio.open_connection(*self.target)
        await asyncio.gather(
            self.pump(reader, to_writer), self.pump(to_reader, writer)
        )

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                while self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Session:
    """A connection at a server."""

    def __init__(self) -> None:
        self.state = "I"
        self.plain = False
        self.writes: list[str] = []
        self.prepared: dict[str, tuple[str, str]] = {}


class Server:
    """A server of the service.

    Attributes:
      log: The commits, as (term, number, request id).
      deaf: Whether it receives no commits.
      suspended: The term of the last `SUSPEND`; 0 if it receives.
      state: What it reports, `ready` or `draining`.
    """

    def __init__(self, group: "Group", server_id: str, zone: str) -> None:
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.log: list[tuple[int, int, str]] = []
        self.primary = False
        self.deaf = False
        self.suspended = 0
        self.state = "ready"
        self.port = 0
        self.slots = asyncio.Semaphore(5)
        self.sequence = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.serve, "127.0.8.1", 0, limit=1 << 21
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.report()

    def expire(self) -> None:
        """Let the entry run out, as after three heartbeats of silence."""
        self.group.store.put("servers", self.server_id, None)
        self.group.record.add(f"the entry of {self.server_id} runs out")

    def report(self) -> None:
        """Write the entry in the platform's store."""
        self.sequence += 1
        body = {
            "service": SERVICE,
            "address": f"127.0.8.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 5,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self.sequence,
            "dbRole": "primary" if self.primary else "replica",
            "born": 1_700_000_000_000,
        }
        value = json.dumps(body).encode()
        self.group.store.put("servers", self.server_id, value)
        self.group.record.add(
            f"store accepts {self.server_id} {body['dbRole']} {self.state}"
        )

    def position(self) -> tuple[int, int]:
        return self.log[-1][:2] if self.log else (1, 0)

    def receives(self) -> bool:
        return not (self.deaf or self.suspended or self.primary)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = Session()
        try:
            first = (await reader.readuntil(b"\r\n")).decode().split()
            if first[1] != SERVICE or first[3:4] not in ([], [self.server_id]):
                writer.write(b"ERROR MISROUTED x\r\n")
                return
            self.ready(writer, session)
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                word, request_id, text = (line + "  ").split(" ", 2)
                if word != "QUERY":
                    return
                # The blanks were added for a query without a text.
                lines = await self.run(session, request_id, text[:-2])
                writer.write("".join(f"{x}\r\n" for x in lines).encode())
                self.ready(writer, session)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def ready(self, writer: asyncio.StreamWriter, session: Session) -> None:
        term, number = self.position()
        writer.write(f"READY {session.state} {term}.{number}\r\n".encode())

    def fail(self, session: Session, code: str) -> list[str]:
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {code} {self.server_id}"]

    async def run(
        self, session: Session, request_id: str, text: str
    ) -> list[str]:
        if text.startswith("SYNCPOS "):
            _, needed, text = text.split(" ", 2)
            term, _, number = needed.partition(".")
            if self.position() < (int(term), int(number)):
                return self.fail(session, "LAGGING")
        word, _, rest = text.partition(" ")
        if session.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED failed transaction"]
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return self.fail(session, "UNKNOWNST")
            word = session.prepared[name][0]
        if word in ("READ", "WRITE", "COMMIT"):
            return await self.run_data(session, request_id, word, text)
        if word == "BEGIN":
            if not rest and not self.primary:
                return self.fail(session, "READONLY")
            session.state, session.plain = "T", not rest
        elif word == "ROLLBACK":
            session.state = "I"
            session.writes.clear()
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session.prepared[name] = kind, shape
        elif word == "RESET":
            session.prepared.clear()
        elif word != "SET":
            return self.order(word, rest)
        return ["COMPLETE -"]

    async def run_data(
        self, session: Session, request_id: str, word: str, text: str
    ) -> list[str]:
        lost_lead = session.plain and session.state == "T" and not self.primary
        if lost_lead and (word != "COMMIT" or session.writes):
            return self.fail(session, "READONLY")
        if word == "WRITE" and not self.primary:
            return self.fail(session, "READONLY")
        self.group.arrived(self, request_id, text, session.state)
        async with self.slots:
            await asyncio.sleep(self.group.work_seconds)
        if word == "WRITE":
            session.writes.append(request_id)
            if session.state == "T":
                return [f"COMPLETE s.{self.server_id}.{request_id}"]
        elif word == "READ":
            return ["ROW data", f"COMPLETE s.{self.server_id}.{request_id}"]
        writes = bool(session.writes)
        session.writes.clear()
        session.state = "I"
        if writes and not await self.group.commit(self, request_id):
            return [f"ERROR READONLY {self.server_id}"]
        return [f"COMPLETE s.{self.server_id}.{request_id}"]

    def order(self, word: str, rest: str) -> list[str]:
        if word != "STATUS":
            self.group.record.add(f"{self.server_id} gets {word} {rest}")
        if word == "SUSPEND" and int(rest) > self.group.term:
            self.suspended = int(rest)
        elif word == "RESUME":
            self.suspended = 0
            self.group.replicate()
        elif word == "DEMOTE" and int(rest) > self.group.term and self.primary:
            self.primary = False
            self.report()
        role = "primary" if self.primary else "replica"
        term, number = self.position()
        return [
            f"ROW {role} {self.group.term} {term}.{number} {self.suspended}"
            " 0 0 1",
            "COMPLETE -",
        ]


class Group:
    """The service's servers, their replication and their promotion.

    Attributes:
      work_seconds: The time of a read, write or commit.
      on_arrival: Called for each request of a client that reaches a server.
      lost_orders: How many of the next orders get no answer, and are carried
        out `late_seconds` later.
      acknowledged: The ids of the commits that were acknowledged.
      missing: Those that the log of a promoted server lacked.
    """

    def __init__(self, store: Store, record: Record) -> None:
        self.store = store
        self.record = record
        self.term = 1
        self.token = 0
        self.work_seconds = 0.011
        self.servers: dict[str, Server] = {}
        self.lost_orders = 0
        self.late_seconds = 5.0
        self.acknowledged: list[str] = []
        self.missing: list[str] = []
        self.on_arrival: Callable[[Server, str, str, str], None] = (
            lambda _server, _request_id, _text, _state: None
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.http = HttpServer(self.promotion)

    async def start(self) -> None:
        await self.http.start(PLATFORM)
        for zone in ZONES:
            await self.add(zone)

    async def add(self, zone: str) -> Server:
        """Start a server, which has the leader's log from then on."""
        server = Server(self, f"i-{len(self.servers)}{zone[:3]}", zone)
        server.primary = not self.servers
        self.servers[server.server_id] = server
        await server.start()
        self.replicate()
        return server

    def leader(self) -> Server | None:
        return next((x for x in self.servers.values() if x.primary), None)

    def arrived(
        self, server: Server, request_id: str, text: str, state: str
    ) -> None:
        if request_id != "-":
            self.record.add(f"{server.server_id} runs {request_id} {text!r}")
            self.on_arrival(server, request_id, text, state)

    def replicate(self) -> int:
        """Copy the leader's log to its replicas; return how many have it."""
        leader = self.leader()
        if leader is None:
            return 0
        receiving = [x for x in self.servers.values() if x.receives()]
        for server in receiving:
            server.log[:] = leader.log
        return len(receiving)

    async def commit(self, server: Server, request_id: str) -> bool:
        server.log.append((self.term, server.position()[1] + 1, request_id))
        while server.primary:
            if self.replicate() >= 1:
                self.acknowledged.append(request_id)
                return True
            await asyncio.sleep(0.01)
        return False

    async def promotion(
        self,
        _method: str,
        _path: str,
        _query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, object] | None:
        token = int(headers["x-jackdawcrank-fencing-token"])
        server_id = json.loads(body)["id"]
        self.record.add(f"promotion of {server_id} ordered, token {token}")
        if self.lost_orders:
            self.lost_orders -= 1
            self.start_task(self.carry_out_late(server_id, token))
            await asyncio.sleep(30.0)
            return None
        return self.carry_out(server_id, token)

    async def carry_out_late(self, server_id: str, token: int) -> None:
        await asyncio.sleep(self.late_seconds)
        status, _ = self.carry_out(server_id, token)
        self.record.add(f"late order for {server_id}, token {token}: {status}")

    def carry_out(self, server_id: str, token: int) -> tuple[int, object]:
        if token < self.token or server_id not in self.servers:
            return 409, {}
        self.token = token
        self.start_task(self.promote(self.servers[server_id]))
        return 200, {}

    def start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def promote(self, chosen: Server) -> None:
        await asyncio.sleep(0.3)
        if chosen.primary:
            return
        self.term += 1
        held = {request_id for _, _, request_id in chosen.log}
        for request_id in self.acknowledged:
            if request_id not in held and request_id not in self.missing:
                self.missing.append(request_id)
                self.record.add(
                    f"{chosen.server_id} lacks the acknowledged {request_id}"
                )
        for server in self.servers.values():
            changed = server.primary != (server is chosen)
            server.primary = server is chosen
            server.suspended = 0
            if server is not chosen:
                del server.log[len(chosen.log) :]
            if changed:
                server.report()
        self.record.add(f"{chosen.server_id} leads term {self.term}")


class Caller:
    """A client's session through a proxy."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.number = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, address: tuple[str, int], database: str) -> bool:
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    *address
                )
                self.writer.write(f"CONNECT {database} u1\r\n".encode())
                line = await self.reader.readline()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"READY")

    async def ask(self, text: str) -> tuple[str, str | None]:
        """Send a query; return its id, and its result, None if cut off."""
        assert self.reader and self.writer
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        self.record.add(f"client sends {request_id} {text!r}")
        result = ""
        try:
            self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
            while True:
                line = (await self.reader.readuntil(b"\n")).decode().strip()
                if line.startswith("READY"):
                    break
                if not line.startswith("ROW"):
                    result = line
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.add(f"client's connection ends during {request_id}")
            return request_id, None
        self.record.add(f"client gets {request_id} {result}")
        return request_id, result

    def close(self) -> None:
        if self.writer:
            self.writer.close()


class Machine:
    """A machine with a process of the system."""

    def __init__(self, number: int, zone: str, folder: pathlib.Path) -> None:
        self.number = number
        self.zone = zone
        # Whether its ways to the servers are those in `Store.replaced`.
        self.far = False
        self.host = f"127.0.{number}.1"
        self.path = folder / f"boot-{number}.toml"
        self.log = folder / f"proxy-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.metrics_port = 0


class Deployment:
    """The platform, the service and the system's processes."""

    def __init__(self, record_path: pathlib.Path) -> None:
        self.record = Record(record_path)
        self.store = Store()
        self.group = Group(self.store, self.record)
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name)
        self.machines = [
            Machine(number, zone, path)
            for number, zone in enumerate(ZONES, start=1)
        ]

    async def start(self, path_to_primary: bool = False) -> None:
        """Start everything.

        Args:
          path_to_primary: Whether the first machine's way to the primary is
            `self.path`.
        """
        await self.store.http.start(PLATFORM)
        await self.store.far_http.start(PLATFORM)
        await self.group.start()
        if path_to_primary:
            leader = self.group.leader()
            assert leader
            self.path = Path("127.0.8.1", leader.port)
            await self.path.start("127.0.7.1")
            old = f'"127.0.8.1:{leader.port}"'.encode()
            new = f'"127.0.7.1:{self.path.port}"'.encode()
            self.store.replaced.append((old, new))
            self.machines[0].far = True
        self.configure()
        hosts = [one.host for one in self.machines]
        front, ready, peers, metrics = (free_port(hosts) for _ in range(4))
        for one in self.machines:
            one.port = front
            one.path.write_text(self.boot_file(one, front, ready, peers))
            one.metrics_port = metrics
            await self.start_process(one)
        for one in self.machines:
            await self.wait_ready(one.host, ready)
            # The whole system starts for the first time only once.
            text = one.path.read_text()
            one.path.write_text(
                text.replace("bootstrap = true", "bootstrap = false")
            )
        self.record.add("all machines are ready")

    async def start_process(self, machine: Machine) -> None:
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["JACKDAWCRANK_CONFIG"] = str(machine.path)
        env["JACKDAWCRANK_METRICS_PORT"] = str(machine.metrics_port)
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def configure(self) -> None:
        routes = [
            {
                "name": f"r-{kind}",
                "host": kind,
                "routeType": kind,
                "timeoutMs": timeout_ms,
                "aimMs": aim_ms,
                "priority": 1,
                "service": SERVICE,
                **({"maxStalenessMs": age_ms} if age_ms else {}),
            }
            for kind, timeout_ms, aim_ms, age_ms in (
                ("primary", 1_000, 400, 0),
                ("bounded_staleness", 3_000, 1_000, 1_500),
                ("read_your_writes", 1_000, 800, 2_500),
            )
        ]
        services = [{"name": SERVICE, "maxConns": 79, "syncReplicas": 1}]
        body = {
            "version": 1,
            "routes": routes,
            "services": services,
            "limits": {"txIdleMs": 3_000},
        }
        self.store.put("op", "config", json.dumps(body).encode())

    def boot_file(
        self, machine: Machine, front: int, ready: int, peers: int
    ) -> str:
        store = self.store.far_http if machine.far else self.store.http
        return f"""nodeName = "edge-{machine.zone}-1"
role = "proxy"
machineClass = "edge"
serves = ["edge"]
ip = "{machine.host}"
zone = "{machine.zone}"
region = "{ZONES[machine.zone]}"
internalPorts = [{peers}, {peers}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
{"".join(f'{zone} = "{region}"{chr(10)}' for zone, region in ZONES.items())}
[listen]
front = "{machine.host}:{front}"
readyAddr = "{machine.host}:{ready}"
[limits]
cpuShare = 0.731
cores = 1
memoryMb = 222
maxFds = 1570
linkMbps = 350.0
diskMb = 0
[bounds]
contactMs = 4000
drainMs = {DRAIN_MS}
graceS = {GRACE_S}
lossSlackMs = {LOSS_SLACK_MS}
configApplyMs = {CONFIG_APPLY_MS}
recoveryS = 12
requireFencing = true
[platform]
address = "{PLATFORM}:{store.port}"
form = "table"
rowBytes = 65536
[cloudApi]
address = "{PLATFORM}:{self.group.http.port}"
duties = ["failover"]
"""

    async def wait_ready(self, host: str, port: int) -> None:
        async with asyncio.timeout(20):
            while not await self.is_ready(host, port):
                await asyncio.sleep(0.1)

    async def is_ready(self, host: str, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return False
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    def send_signal(self, machine: Machine, number: signal.Signals) -> None:
        assert machine.process
        self.record.add(f"{number.name} to edge-{machine.zone}-1")
        machine.process.send_signal(number)

    async def close(self) -> None:
        for one in self.machines:
            if one.process and one.process.returncode is None:
                one.process.kill()
            if one.process:
                await one.process.wait()
        if os.environ.get("KEEP"):
            for one in self.machines:
                print(one.log.read_text())
        self.record.close()
        self.folder.cleanup()


def play(
    record_path: pathlib.Path,
    case: Callable[[Deployment], Awaitable[bool]],
    path_to_primary: bool = False,
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if neither.

    Args:
      record_path: Where the record is written.
      case: Plays the case; returns whether the rule was broken.
      path_to_primary: Whether the first machine's way to the primary can be
        cut.
    """

    async def run() -> int:
        deployment = Deployment(record_path)
        try:
            async with asyncio.timeout(110):
                await deployment.start(path_to_primary)
                broken = await case(deployment)
            verdict = "broken" if broken else "held"
            deployment.record.add(f"the rule was {verdict}")
            print(f"the rule was {verdict}")
            return 1 if broken else 0
        except Exception as error:
            deployment.record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.close()

    return asyncio.run(run())
