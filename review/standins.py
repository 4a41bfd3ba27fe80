"""Stand-ins for the platform's store, plain servers and requesters, and a launcher of entry hosts.

Only the standard library is used. All addresses are on 127.0.0.1.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPO, "target", "release", "guavaspread-entry")

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


USED_PORTS = set()


def free_port():
    """Returns a port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15_000, 30_000)
        if port in USED_PORTS:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a request with a length, in chunks, or without a body."""
    start, headers = await read_head(reader)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    return start, headers, body


class Store:
    """The platform's store: rows, feeds and transactions of one part."""

    def __init__(self, record=None, keep_alive_s=None):
        self.rows = {}
        self.ver = 0
        self.record = record
        self.keep_alive_s = keep_alive_s
        self.changed = asyncio.Condition()
        self.address = None
        self.is_busy = False

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    async def put(self, table, key, value):
        """Writes a row; returns when the store has acknowledged it."""
        async with self.changed:
            self.ver += 1
            self.rows[(table, key)] = (json.dumps(value).encode(), self.ver)
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self.ver += 1
            self.rows[(table, key)] = (None, self.ver)
            self.changed.notify_all()

    def encode(self, table, key, row):
        value, ver = row
        out = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            out["tombstone"] = True
        else:
            out["value"] = base64.b64encode(value).decode()
        return out

    def page(self, query):
        table, start, end = query["table"], query.get("from", ""), query.get("to")
        keys = sorted(k for (t, k), row in self.rows.items() if t == table and row[0] is not None)
        keys = [k for k in keys if k >= start and (end is None or k < end)]
        page = keys[: min(500, int(query.get("limit", 500)))]
        rows = [self.encode(table, k, self.rows[(table, k)]) for k in page]
        return 200, {"rows": rows, "truncated": len(page) < len(keys), "ver": self.ver}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            rows = [
                (row[1], self.encode(t, k, row))
                for (t, k), row in self.rows.items()
                if t == table and row[1] > after
            ]
            rows = [row for _, row in sorted(rows, key=lambda pair: pair[0])]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows[:500], "ver": rows[499]["ver"] if len(rows) > 500 else self.ver}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, tx):
        async with self.changed:
            for row in tx.get("expected", []):
                value, ver = self.rows.get((row["table"], row["key"]), (None, 0))
                if (0 if value is None else ver) != row["ver"]:
                    return 412, {"rows": [], "ver": self.ver}
            self.ver += 1
            for row in tx.get("writes", []):
                value = base64.b64decode(row["value"])
                self.rows[(row["table"], row["key"])] = (value, self.ver)
            for row in tx.get("remove", []):
                self.rows[(row["table"], row["key"])] = (None, self.ver)
            self.changed.notify_all()
            return 200, {"ver": self.ver}

    async def serve(self, reader, writer):
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                if self.is_busy:
                    status, out = 503, {}
                elif url.path == "/guavaspread/rows-get":
                    status, out = self.page(query)
                elif url.path == "/guavaspread/rows-feed":
                    status, out = await self.feed(query)
                elif url.path == "/guavaspread/rows-tx" and method == "POST":
                    status, out = await self.commit(json.loads(body))
                else:
                    status, out = 404, {}
                if self.is_busy:
                    status, out = 503, {}
                out["now_ms"] = int(time.monotonic() * 1000)
                data = json.dumps(out).encode()
                keep = f"Keep-Alive: timeout={self.keep_alive_s}\r\n" if self.keep_alive_s else ""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{keep}"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def server_row(server_id, service, address, born, state="ready", seq=1, slots=6):
    return {
        "service": service, "address": address, "zone": "sapporo", "version": "1",
        "slots": slots, "state": state, "cold_remaining_ms": 0, "seq": seq, "born": born,
    }


async def heartbeats(store, name, row, is_alive=lambda: True):
    """Writes a server's entry at once and each 1.2 s, until the server is no longer alive."""
    seq = row["seq"]
    while is_alive():
        await store.put("servers", name, {**row, "seq": seq})
        seq += 1
        await asyncio.sleep(1.2)


def config(routes, version=7):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "booking", "health_path": "/health", "max_connections": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def route(prefix, kind, timeout_ms=600, target_ms=100, attempts=1):
    return {
        "name": "r" + prefix.strip("/"), "host": "counter.example", "prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 2,
        "service": "booking", "max_attempts": attempts, "sticky": False, "resumable": False,
    }


class Host:
    """An entry host, started with the command of the deploy file."""

    def __init__(self, folder, name, store, grace_s=8, zone="sapporo"):
        self.name = name
        self.front = "127.0.0.1:%d" % free_port()
        self.ready = "127.0.0.1:%d" % free_port()
        port = free_port()
        self.path = os.path.join(folder, name + ".toml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(
                f'host = "{name}"\nip = "127.0.0.1"\nzone = "{zone}"\n'
                f'listen = "{self.front}"\nready = "{self.ready}"\nports = [{port}, {port}]\n'
                f'metrics = "127.0.0.1:{free_port()}"\nstore = "{store}"\n'
                f"grace-s = {grace_s}\nlease-ms = 3000\ndrain-ms = 2000\napply-ms = 2000\n"
                "retry-share = 0.2\nretry-slack = 58\nfirst-start = true\nlink-mbps = 1000.0\n"
            )
        self.process = None

    def start(self):
        log = open(self.log_path, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "GUAVASPREAD_BOOT": self.path}
        self.process = subprocess.Popen(
            [PROGRAM], env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        return self

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await request(self.ready, "GET", "/guavaspread/ready", timeout=1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            if self.process.poll() is not None:
                return False
            await asyncio.sleep(0.05)
        return False


class Answer:
    """What a requester got: the head, the body, and whether the body is whole by its framing."""

    def __init__(self, status, headers):
        self.status, self.headers = status, headers
        self.body, self.is_whole = b"", False


async def read_answer(reader, method, on_data=None):
    start, headers = await read_head(reader)
    answer = Answer(int(start.split(" ")[1]), headers)
    try:
        if method == "HEAD" or answer.status in (204, 304):
            answer.is_whole = True
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    answer.is_whole = True
                    break
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(min(left, 4096))
                if not data:
                    break
                left -= len(data)
                answer.body += data
                if on_data:
                    await on_data(len(data))
            answer.is_whole = left == 0
        else:
            answer.body = await reader.read()
            answer.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        answer.is_whole = False
    return answer


def request_bytes(method, path, request_id, deadline_ms=600, body=b"", extra=""):
    head = f"{method} {path} HTTP/1.1\r\nHost: counter.example\r\n{extra}"
    if request_id:
        head += f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def request(
    address, method, path, request_id="", deadline_ms=600, body=b"", timeout=10, extra=""
):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    try:
        writer.write(request_bytes(method, path, request_id, deadline_ms, body, extra))
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader, method), timeout)
    except asyncio.IncompleteReadError as e:
        raise EOFError("the channel was closed without an answer") from e
    finally:
        writer.close()


def run_case(folder, main):
    """Runs `main(record, temp_folder, with_trouble)`, which returns an exit code, and ends with it."""
    record = Record(os.path.join(folder, "record.txt"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption: {'yes' if with_trouble else 'no'}")
    if not os.path.exists(PROGRAM):
        record.line("the entry host's program is not built")
        sys.exit(EXIT_NOT_RUN)
    with tempfile.TemporaryDirectory() as temp:
        try:
            code = asyncio.run(asyncio.wait_for(main(record, temp, with_trouble), 110))
        except Exception as e:  # A failure of the script is no result of the program.
            record.line(f"the case could not run: {type(e).__name__}: {e}")
            code = EXIT_NOT_RUN
    record.line({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[code])
    record.file.close()
    # Open channels of the stand-ins need no orderly end.
    os._exit(code)
