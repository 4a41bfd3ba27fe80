"""Stand-ins for the cases of the third review: the platform's store, servers, clients, hosts.

Everything listens on loopback addresses and runs in one event loop; the entry hosts are
separate processes. The stand-ins behave as PROTOCOL.md says, apart from the disruptions
that a case switches on.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ENTRY = ROOT / "target" / "release" / "guavaspread-entry"
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port(ip="127.0.0.1"):
    """Returns a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """The record of a case: each line with the seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.file.flush()

    def since_start(self):
        return time.monotonic() - self.started


# HTTP/1.1


async def read_head(reader):
    """Reads a head; returns its first line and its headers in lower case, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, on_data=None):
    """Reads a chunked body; raises if it breaks off."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if on_data:
            on_data(data[:-2])


async def read_body(reader, headers, on_data=None):
    """Reads the body of a request, or of a response with a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunks(reader, on_data)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole(status, headers, body=b""):
    """Returns a response with a length."""
    return head(status, {**headers, "Content-Length": len(body)}) + body


class HttpServer:
    """Serves one request at a time on each channel; a subclass answers."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port, self.server, self.tasks = ip, 0, None, set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.on_channel, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_channel(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (request := await read_head(reader)) is not None:
                if await self.on_request(request[0], request[1], reader, writer) == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer is gone, or this server has ended.
        finally:
            self.tasks.discard(task)
            writer.close()

    def stop(self):
        """Closes the listener and all channels, as the end of a process does."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


# The platform's store


class Store(HttpServer):
    """The platform's table store."""

    def __init__(self):
        super().__init__()
        self.rows, self.log, self.ver = {}, [], 0
        self.changed = asyncio.Condition()
        self.clock_start = time.monotonic()
        self.answers = lambda method, path, query: True

    def now_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000) + 50_000

    async def put(self, table, key, value, part=""):
        """Writes a row of the operator's or of a server."""
        async with self.changed:
            self.ver += 1
            self.write(table, part, key, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    async def drop(self, table, key, part=""):
        async with self.changed:
            self.ver += 1
            self.erase(table, part, key)
            self.changed.notify_all()

    def write(self, table, part, key, value):
        self.rows[(table, part, key)] = (value, self.ver)
        self.log.append((self.ver, table, part, key, value))

    def erase(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.log.append((self.ver, table, part, key, None))

    def value(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return row and json.loads(base64.b64decode(row[0]))

    async def on_request(self, line, headers, reader, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = await read_body(reader, headers)
        if not self.answers(method, path, query):
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        if path == "/guavaspread/rows-get":
            status, answer = 200, self.get(query)
        elif path == "/guavaspread/rows-feed":
            status, answer = 200, await self.feed(query)
        elif path == "/guavaspread/rows-tx":
            status, answer = await self.transact(json.loads(body))
        else:
            status, answer = 404, {}
        headers = {"Content-Type": "application/json"}
        writer.write(whole(status, headers, json.dumps(answer).encode()))
        await writer.drain()

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, limit = query.get("from", ""), min(int(query.get("limit", 500)), 500)
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part and k >= first)
        rows = [self.row(table, part, key) for key in keys[:limit]]
        return self.answer(rows, truncated=len(keys) > limit)

    def row(self, table, part, key):
        value, ver = self.rows[(table, part, key)]
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    def answer(self, rows, **more):
        return {"rows": rows, "ver": self.ver, "now_ms": self.now_ms(), **more}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = []
            for ver, row_table, part, key, value in self.log:
                if ver > after and row_table == table:
                    row = {"table": table, "part": part, "key": key, "ver": ver}
                    rows.append({**row, "tombstone": True} if value is None
                                else {**row, "value": value})
            if rows or time.monotonic() >= until:
                return self.answer(rows)
            async with self.changed:
                try:
                    left = until - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), max(left, 0.001))
                except asyncio.TimeoutError:
                    pass

    async def transact(self, tx):
        async with self.changed:
            for cond in tx.get("expected", []):
                row = self.rows.get((cond["table"], cond.get("part", ""), cond["key"]))
                if (row[1] if row else 0) != cond["ver"]:
                    keys = [(c["table"], c.get("part", ""), c["key"]) for c in tx["expected"]]
                    return 412, self.answer([self.row(*key) for key in keys if key in self.rows])
            self.ver += 1
            for row in tx.get("writes", []):
                self.write(row["table"], row.get("part", ""), row["key"], row["value"])
            for row in tx.get("remove", []):
                self.erase(row["table"], row.get("part", ""), row["key"])
            self.changed.notify_all()
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}


# Rows of the operator


def route(prefix, kind, service, attempts=2, timeout_ms=6000, target_ms=500, **more):
    return {"name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 0,
            "service": service, "max_attempts": attempts, "sticky": False, "resumable": False,
            **more}


def service(name, max_connections=110):
    return {"name": name, "health_path": "/health", "max_connections": max_connections,
            "protocol": "h1", "tls": False}


def engine_service(name, slots=64, adapter_slots=18, adapters=3000):
    engine = {"slots": slots, "weights_mb": 45_000, "adapter_slots": adapter_slots,
              "kv_capacity_tokens": 251_415, "loads_per_s": 3.3,
              "models": [{"name": "base", "weights_mb": 42_700, "load_s": 1.3,
                          "adapters": adapters, "adapter_mb": 12}]}
    return {**service(name, 370), "engine": engine}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                       "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}}


# Servers


class Server(HttpServer):
    """A server of a plain service."""

    slots = 6

    def __init__(self, store, id, service, zone="sapporo", ip="127.0.0.1"):
        super().__init__(ip)
        self.store, self.id, self.service, self.zone = store, id, service, zone
        self.state, self.seq, self.beats = "ready", 0, None
        self.born = int(time.time() * 1000)
        self.runs, self.running, self.work_s = [], 0, 0.015
        self.record = None

    def row(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "seq": self.seq, "born": self.born}

    async def register(self):
        await self.store.put("servers", self.id, self.row())
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.seq += 1
            await self.store.put("servers", self.id, self.row())

    def note(self, text):
        if self.record:
            self.record.add(f"{self.id}: {text}")

    def reply_headers(self, headers):
        mine = {"X-Server-Load": f"{self.running},0,{self.slots}"}
        if "x-request-id" in headers:
            mine["X-Request-Id"] = headers["x-request-id"]
        return mine

    def seal(self, id):
        return f"seal.{self.id}.{id}"

    def refuse(self, status, headers):
        mine = {**self.reply_headers(headers), "X-Not-Executed": "1", "X-Instance-Id": self.id}
        return whole(status, mine)

    async def on_request(self, line, headers, reader, writer):
        body = await read_body(reader, headers)
        method, path, _ = line.split(" ")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(self.refuse(421, headers))
        elif path == "/health":
            writer.write(whole(200, {"X-Instance-Id": self.id}))
        else:
            return await self.serve(path, headers, body, writer)
        await writer.drain()

    async def serve(self, path, headers, body, writer):
        self.running += 1
        self.runs.append(headers["x-request-id"])
        try:
            await asyncio.sleep(self.work_s)
            id = headers["x-request-id"]
            mine = {**self.reply_headers(headers), "X-Server-Seal": self.seal(id)}
            writer.write(whole(200, mine, f"answer to {id}".encode().ljust(800)))
            await writer.drain()
        finally:
            self.running -= 1


class Engine(Server):
    """A model server that loads adapters on order."""

    slots = 64

    def __init__(self, store, id, service, adapter_slots=18, **more):
        super().__init__(store, id, service, **more)
        self.adapter_slots, self.load_s, self.gap_s = adapter_slots, 0.25, 0.02
        self.order_count, self.fences = 0, {}
        # Adapter -> [version, loaded at, runs, whether an unload waits for its runs].
        self.adapters, self.orders, self.crashed = {}, [], None
        self.drops_on_close = True
        # Answers that are sent once more at the next request on their channel: id -> bytes.
        self.late_copies, self.owed = set(), {}
        self.events = lambda path: 14

    def row(self):
        return {**super().row(), "stage": "both", "models": self.models()}

    def loaded(self):
        now = time.monotonic()
        return {name: a for name, a in self.adapters.items() if a[1] <= now}

    def models(self):
        names = [f"{name}@{a[0]}" for name, a in sorted(self.loaded().items())]
        return [{"name": "base", "version": 1, "adapters": names}]

    def report(self):
        coming = [f"base/{name}@{a[0]}" for name, a in self.adapters.items()
                  if name not in self.loaded()]
        return {"stage": "both", "models": self.models(), "busy": False,
                "seq": self.order_count, "queued": 0, "running": self.running, "kv_used": 0,
                "kv_total": 251_415, "handles": 0, "coming": coming}

    async def on_request(self, line, headers, reader, writer):
        body = await read_body(reader, headers)
        if (copy := self.owed.pop(writer, None)) is not None:
            # A faulty server's additional response, where the next one is expected.
            self.note(f"sends the answer to {copy[0]} a second time, before the answer to "
                      f"{line} {headers.get('x-request-id', '')}")
            writer.write(copy[1])
        method, path, _ = line.split(" ")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(self.refuse(421, headers))
        elif path == "/health":
            writer.write(whole(200, {"X-Instance-Id": self.id}))
        elif path == "/guavaspread/report":
            answer = json.dumps(self.report()).encode()
            writer.write(whole(200, {"Content-Type": "application/json"}, answer))
        elif path == "/guavaspread/order":
            status = self.on_order(json.loads(body))
            if self.crashed:
                return "close"
            writer.write(whole(status, {"Content-Type": "application/json"}, b"{}"))
        else:
            return await self.serve(path, headers, body, writer)
        await writer.drain()

    def on_order(self, order):
        status = self.apply(order)
        name = order.get("adapter")
        self.orders.append((time.monotonic(), order["holder"], order["fencing_token"],
                            order["operation"], name, status))
        self.note(f"order {order['operation']} {name} expected {order.get('expected')} from "
                  f"{order['holder']} fence {order['fencing_token']} -> {status}; "
                  f"holds {sorted(self.adapters)}")
        return status

    def apply(self, order):
        if order.get("expected", self.order_count) != self.order_count:
            return 409
        name = order.get("adapter")
        if name is None:
            return 200
        held = self.adapters.get(name)
        if order["operation"] == "unloading":
            if held is None:
                return 200
            if held[2] > 0:
                # The unload waits for the runs; a repeated order finds it under way.
                if not held[3]:
                    held[3] = True
                    self.order_count += 1
                return 202
            del self.adapters[name]
            self.order_count += 1
            return 200
        if held is not None:
            return 200 if held[1] <= time.monotonic() else 202
        if len(self.adapters) >= self.adapter_slots:
            self.crash(f"was ordered to load {name} beside {sorted(self.adapters)}, with "
                       f"{self.adapter_slots} places")
            return 202
        self.adapters[name] = [order.get("version") or 1, time.monotonic() + self.load_s, 0, False]
        self.order_count += 1
        return 202

    def crash(self, reason):
        self.crashed = reason
        self.note(f"CRASHES: it {reason}; {self.running} requests were running")
        if self.beats:
            self.beats.cancel()
        self.stop()

    def release(self, name):
        held = self.adapters.get(name)
        if held is None:
            return
        held[2] -= 1
        if held[3] and held[2] == 0:
            del self.adapters[name]

    async def serve(self, path, headers, body, writer):
        name = headers.get("x-model", "").partition("/")[2]
        held = self.loaded().get(name)
        version = headers.get("x-expect-version")
        if held is None or (version and int(version) != held[0]):
            writer.write(self.refuse(421, headers))
            return await writer.drain()
        if held[3]:
            writer.write(self.refuse(503, headers))
            return await writer.drain()
        id = headers["x-request-id"]
        self.runs.append(id)
        self.running += 1
        held[2] += 1
        answer = bytearray()
        is_open = True

        async def send(data):
            nonlocal is_open
            answer.extend(data)
            if not is_open or writer.is_closing():
                is_open = False
                return
            try:
                writer.write(data)
                await writer.drain()
            except ConnectionError:
                is_open = False

        try:
            mine = {**self.reply_headers(headers), "X-Server-Seal": self.seal(id),
                    "X-Weight-Versions": held[0], "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked"}
            await send(head(200, mine))
            count = self.events(path)
            for number in range(count):
                await asyncio.sleep(self.gap_s)
                last = " last" if number == count - 1 else ""
                event = f"id: {number}\ndata: {id} base/{name}{last}\n\n".encode()
                await send(b"%x\r\n%s\r\n" % (len(event), event))
                if not is_open and self.drops_on_close:
                    return "close"
            await send(b"0\r\n\r\n")
        finally:
            self.running -= 1
            self.release(name)
        if not is_open:
            return "close"
        if id in self.late_copies:
            self.owed[writer] = (id, bytes(answer))


# Clients


class Answer:
    """What a client got: the status, the headers, the body, and whether it was whole."""

    def __init__(self, status=0, headers=None, body=b"", is_whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_whole, self.error = is_whole, error

    def __str__(self):
        if not self.status:
            return f"no answer ({self.error})"
        return f"{self.status} {'whole' if self.is_whole else 'BROKEN OFF'} {len(self.body)} B"


class Client:
    """A client with one channel, which it keeps open while the host does."""

    def __init__(self, address):
        self.ip, port = address.split(":")
        self.port, self.reader, self.writer = int(port), None, None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)

    async def send(self, path, id, deadline_ms=6000, model=None, method="POST", body=b"",
                   on_data=None, **more):
        """Sends a request and reads the answer."""
        await self.open()
        headers = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": deadline_ms, **more}
        if model:
            headers |= {"X-Model": model, "X-Token-Count": "200,70",
                        "X-Prompt-Prefix": f"{abs(hash(id)) % 0xffffffff:x}:200"}
        if method != "GET":
            headers["Content-Length"] = len(body)
        text = "\r\n".join(f"{name}: {value}" for name, value in headers.items())
        try:
            self.writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n\r\n".encode() + body)
            answer = await asyncio.wait_for(self.read_answer(on_data), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            answer = Answer(error="time limit")
        except ConnectionError as e:
            answer = Answer(error=f"channel failed: {e}")
        if not answer.is_whole or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def read_answer(self, on_data):
        received = await read_head(self.reader)
        if received is None:
            return Answer(error="channel closed")
        line, headers = received
        status, body = int(line.split(" ")[1]), bytearray()

        def collect(data):
            body.extend(data)
            if on_data:
                on_data(data)

        try:
            if "chunked" in headers.get("transfer-encoding", ""):
                await read_chunks(self.reader, collect)
            else:
                collect(await self.reader.readexactly(int(headers.get("content-length", 0))))
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as e:
            return Answer(status, headers, bytes(body), False, str(e))
        return Answer(status, headers, bytes(body), True)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# Entry hosts


class EntryHost:
    """An entry host's process, run as deploy/system.toml says."""

    def __init__(self, folder, store, name, ip="127.0.0.1", zone="sapporo", **settings):
        self.name, self.ip, self.folder, self.process = name, ip, folder, None
        self.listen, self.ready = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
        self.path = folder / f"{name}.toml"
        port = free_port(ip)
        fields = {"host": name, "ip": ip, "zone": zone, "listen": self.listen,
                  "ready": self.ready, "ports": [port, port],
                  "metrics": f"{ip}:{free_port(ip)}", "store": store.address, "grace-s": 8,
                  "lease-ms": 3000, "drain-ms": 2000, "apply-ms": 2000, "contact-ms": 3000,
                  "retry-share": 0.2, "retry-slack": 58, "first-start": True,
                  "link-mbps": 1000.0,
                  **{name.replace("_", "-"): value for name, value in settings.items()}}
        self.path.write_text("".join(f"{k} = {json.dumps(v)}\n" for k, v in fields.items()))

    async def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ENTRY), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "GUAVASPREAD_BOOT": str(self.path)})

    def signal(self, signum):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signum)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        try:
            client = Client(self.ready)
            answer = await client.send("/guavaspread/ready", "ready", 900, method="GET")
            client.close()
            return answer.status == 200
        except OSError:
            return False

    async def until_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def run_case(main, folder):
    """Runs `main(record, tmp, trouble)` for at most 110 s and returns its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.add(f"TROUBLE={int(trouble)}")
    if not ENTRY.exists():
        record.add("the build of deploy/system.toml is missing")
        return NOT_RUN

    async def limited():
        hosts = []
        this = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        with tempfile.TemporaryDirectory() as tmp:
            try:
                return await asyncio.wait_for(main(record, Path(tmp), trouble, hosts), 110)
            except (Exception, asyncio.CancelledError) as e:  # A fault of the case itself.
                record.add(f"the case could not run: {e!r}")
                if os.environ.get("KEEP_TRACE"):
                    raise
                return NOT_RUN
            finally:
                for host in hosts:
                    await host.kill()
                if keep := os.environ.get("KEEP_LOGS"):
                    for log in Path(tmp).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    code = asyncio.run(limited())
    record.add(f"exit code {code}")
    return code
