"""Stand-ins for the scripts of the review: store, servers, clients and the platform's starter.

They speak what PROTOCOL.md and DEPLOY.md say and use the standard library only.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


def trouble():
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_ip():
    """Returns a loopback address that other runs hardly use."""
    return f"127.{random.randint(100, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Record:
    """The record of a run: one line an event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the headers (names in lower case) of a message, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        if ":" in it:
            name, value = it.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    out = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return out
        out += data[:-2]


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: reads, ranges and watches. The case writes by put and remove."""

    def __init__(self, ip, record):
        self.ip, self.record = ip, record
        self.port = free_port(ip)
        self.revision = 10
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.publish(item)
        if not key.startswith("servers/"):
            self.record.line(f"store put {key} revision={self.revision}")
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.publish({"key": key, "revision": self.revision, "deleted": True})
        self.record.line(f"store removed {key} revision={self.revision}")

    def publish(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def events(self, prefix, after):
        return [it for it in self.history
                if it["revision"] > after and it["key"].startswith(prefix)]

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if url.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
            entries = [self.items[it] for it in keys[:500]]
            return 200, {"entries": entries, "has_more": len(keys) > 500, "as_of": self.revision}
        if url.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, as_of=self.revision)) if item else (404, {})
        if url.path == "/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
            while not self.events(prefix, after) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, {"events": self.events(prefix, after), "as_of": self.revision}
        return 404, {}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, _ = await read_head(reader)
                status, body = await self.answer(start.split(" ")[1])
                text = json.dumps(body).encode()
                writer.write(message(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json"), ("Store-Era", "1"),
                    ("Content-Length", len(text))], text))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Server:
    """A server of a plain service: runs `slots` requests at once and registers itself."""

    def __init__(self, ip, store, record, service, zone, slots=6, queue=24, work_s=0.03,
                 answer_bytes=800):
        self.ip, self.store, self.record = ip, store, record
        self.service, self.zone, self.slots, self.queue = service, zone, slots, queue
        self.work_s, self.answer_bytes = work_s, answer_bytes
        self.id = f"i-{random.getrandbits(32):08x}"
        self.port = free_port(ip)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.received = {}
        self.runs = {}
        self.read_rate = None  # Bytes a second of a body; None: as fast as they come.
        self.state = "ready"
        self.keep_alive_s = 5
        self.tasks = []

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 16)
        self.tasks.append(asyncio.create_task(self.heartbeat()))

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": 1, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    async def read_body(self, reader, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return len(await read_chunked(reader))
        left = total = int(headers.get("content-length", "0"))
        while left > 0:
            part = await reader.read(min(left, 1 << 16))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            if self.read_rate:
                await asyncio.sleep(len(part) / self.read_rate)
        return total

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                request_id = headers.get("request-id", "")
                self.received[request_id] = self.received.get(request_id, 0) + 1
                size = await self.read_body(reader, headers)
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(message("HTTP/1.1 421 Misdirected Request", [
                        ("Instance-Id", self.id), ("Content-Length", 0)]))
                elif self.running >= self.slots and self.waiting >= self.queue:
                    writer.write(message("HTTP/1.1 503 Service Unavailable", [
                        ("Not-Executed", 1), ("Content-Length", 0)]))
                else:
                    await self.run(start, request_id, size, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def run(self, start, request_id, size, writer):
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.running += 1
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.line(f"run id={request_id} server={self.id} body_bytes={size}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        body = b"a" * self.answer_bytes
        writer.write(message("HTTP/1.1 200 OK", [
            ("Request-Id", request_id), ("Server-Signature", f"sig.{request_id}"),
            ("Server-Load", self.load()), ("Keep-Alive", f"timeout={self.keep_alive_s}"),
            ("Content-Length", len(body))], body))


class Program:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, role, settings, record, folder):
        self.record, self.role = record, role
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        found = re.search(rf'\[roles\.{role}\]\s+run = "([^"]+)"', deploy)
        if found is None:
            raise NotRun(f"the deploy file has no role {role}")
        self.command = found.group(1).split(" ")
        if not (ROOT / self.command[0]).exists():
            raise NotRun(f"{self.command[0]} is not built")
        self.folder = pathlib.Path(folder)
        self.settings = self.folder / f"{role}-{settings['node_name']}.yaml"
        self.write_settings(settings)
        self.process = None

    def write_settings(self, settings):
        self.fields = settings
        self.settings.write_text(json.dumps(settings), encoding="utf-8")  # JSON is YAML.

    def start(self):
        log = open(self.settings.with_suffix(".log"), "ab")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "PRIMROSECOVE_BOOT": str(self.settings)})
        log.close()
        self.record.line(f"started {self.role} pid={self.process.pid}")

    def signal(self, number):
        self.record.line(f"signal {signal.Signals(number).name} to {self.role}")
        self.process.send_signal(number)

    def rss_mb(self):
        try:
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def stop(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def router_settings(ip, store, **limits):
    """Settings of a router as the pages show them for a small deployment."""
    first = free_port(ip)
    while first > 60000:
        first = free_port(ip)
    return {
        "node_name": f"edge-{ip.split('.')[-1]}", "role": "router", "machine_class": "edge",
        "serves": ["edge"], "ip": ip, "zone": "z1", "region": "r1", "zones": {"z1": "r1"},
        "listen": {"frontend": f"{ip}:{free_port(ip)}", "ready": f"{ip}:{free_port(ip)}"},
        "internal_ports": [first, first + 15], "seed_nodes": [], "bootstrap": True,
        "limits": {"cpu_share": 0.19, "cpu_speed": 1, "memory_mb": 260, "max_fds": 4200,
                   "link_mbps": 1000.0, "disk_mb": 0, **limits},
        "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
        "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                   "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                   "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
                   "strict_revoke": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                   "retry_window_s": 10, "retry_slack": 100, "recovery_s": 12,
                   "event_lag_ms": 120, "retry_after_s": 0, "version_ms": 8000,
                   "version_all_ms": 0},
        "platform": {"address": f"{store.ip}:{store.port}", "form": "kv", "writes_per_s": 400,
                     "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                     "ttl_min_ms": 1000},
    }


def route(name, host, prefix, service, kind, timeout_ms, **more):
    return {"name": name, "host": host, "prefix": prefix, "service": service,
            "route_type": kind, "timeout_ms": timeout_ms, "latency_target_ms": 500,
            "priority": 1, "max_attempts": 2 if kind == "safe" else 1, **more}


CALLER_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


async def wait_until_ready(program, seconds=20):
    """Asks the ready address once in 0.2 s, as the platform does once a second."""
    ip, port = program.fields["listen"]["ready"].split(":")
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if program.process.poll() is not None:
            raise NotRun(f"{program.role} ended at its start")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            start, _ = await read_head(reader)
            writer.close()
            if " 200 " in start:
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.2)
    raise NotRun(f"{program.role} did not become ready")


class Client:
    """A client with one connection, which it keeps open. Answers are None if there was none."""

    def __init__(self, address, host, record):
        self.ip, self.port = address.split(":")
        self.host, self.record = host, record
        self.reader = self.writer = None
        self.answered = 0  # On the present connection.

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, int(self.port)), 1)
        self.answered = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, path, body=b"", deadline_ms=1500, headers=(), rate=None):
        """Sends a request and returns (id, status, kept): status None without an answer."""
        request_id = f"{random.getrandbits(64):016x}"
        kept = False
        try:
            if self.writer is None:
                await self.connect()
            kept = self.answered > 0
            self.record.line(f"sent id={request_id} {method} {path} body_bytes={len(body)}")
            head = [("Host", self.host), ("Request-Id", request_id),
                    ("Deadline-Ms", deadline_ms), *headers]
            if body or method == "POST":
                head.append(("Content-Length", len(body)))
            self.writer.write(message(f"{method} {path} HTTP/1.1", head))
            for at in range(0, len(body), 1 << 16):
                self.writer.write(body[at:at + (1 << 16)])
                await self.writer.drain()
                if rate:
                    await asyncio.sleep((1 << 16) / rate)
            status, close = await asyncio.wait_for(self.read_answer(), deadline_ms / 1000 + 1)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            self.close()
            self.record.line(f"no answer id={request_id} kept={kept}")
            return request_id, None, kept
        self.record.line(f"answered id={request_id} status={status}")
        self.answered += 1
        if close:
            self.close()
        return request_id, status, kept

    async def read_answer(self):
        start, headers = await read_head(self.reader)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            await read_chunked(self.reader)
        else:
            await self.reader.readexactly(int(headers.get("content-length", "0")))
        return int(start.split(" ")[1]), headers.get("connection", "").lower() == "close"


def run_case(record_path, case):
    """Runs `case(record, temporary folder, programs)` and returns the exit code of the script."""
    record = Record(record_path)
    programs = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, programs), 110))
            record.line(f"result: {'broken' if broken else 'held'}")
            return EXIT_BROKEN if broken else EXIT_HELD
        except (NotRun, asyncio.TimeoutError, OSError) as e:
            record.line(f"result: not run: {e!r}")
            return EXIT_NOT_RUN
        finally:
            for it in programs:
                it.stop()
            record.close()


class Engine:
    """A model server: runs streams, reports its state, takes staged pieces and load orders."""

    CHUNKS, CHUNK_BYTES, LAYERS = 24, 4096, 16

    def __init__(self, ip, store, record, service, model, origin, slots=4):
        self.ip, self.store, self.record = ip, store, record
        self.service, self.model, self.origin, self.slots = service, model, origin, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.port = free_port(ip)
        self.born = int(time.time() * 1000)
        self.beats = self.orders = self.running = 0
        self.version = 1
        self.loading = False
        self.staged = {n: origin.piece(1, n) for n in range(self.CHUNKS)}
        self.runs = []  # Request id, arrival, begin and version of each.
        self.tasks = []

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 18)
        self.tasks.append(asyncio.create_task(self.heartbeat()))

    def state(self):
        return {"phase": "unified", "born": self.born,
                "models": [{"name": self.model, "version": self.version, "adapters": []}],
                "layers": [{"from": 0, "to": self.LAYERS, "version": self.version}]}

    async def heartbeat(self):
        while True:
            self.beats += 1
            self.store.put(f"servers/{self.id}", {
                **self.state(), "service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": "z1", "version": 1, "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "sequence": self.beats})
            await asyncio.sleep(1.2)

    def report(self):
        return {**self.state(), "busy": self.loading, "sequence": self.orders, "waiting": 0,
                "running": self.running, "kv_in_use": 0, "kv_size": 1000, "handlers": 0, "pace": 1}

    async def load(self, version):
        while self.running > 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.version, self.loading = version, False
        self.record.line(f"engine {self.id} has loaded version {version}")

    def take_order(self, order):
        if self.loading:
            return 409
        if order["version"] == self.version:
            return 200
        self.orders += 1
        self.loading = True
        self.record.line(f"engine {self.id} accepts the order to load {order['version']}")
        self.tasks.append(asyncio.create_task(self.load(order["version"])))
        return 202

    def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/report":
            return 200, json.dumps(self.report()).encode()
        if url.path == "/order":
            return self.take_order(json.loads(body)), b""
        if url.path.startswith("/stage-put/"):
            self.staged[int(query["num"])] = body
            return 200, b""
        if url.path.startswith("/stage-get/") and "num" in query:
            out = self.staged.get(int(query["num"]))
            return (404, b"") if out is None else (200, out)
        return 404, b""

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                method, target, _ = start.split(" ")
                if "request-id" in headers:
                    await self.run(headers, writer)
                else:
                    status, out = self.answer(method, target, body)
                    writer.write(message(f"HTTP/1.1 {status} X", [
                        ("Content-Type", "application/json"), ("Content-Length", len(out))], out))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def run(self, headers, writer):
        arrived = self.record.now()
        wanted = headers.get("expect-version", str(self.version))
        if headers.get("expect-instance", self.id) != self.id or wanted != str(self.version):
            return writer.write(message("HTTP/1.1 421 Misdirected Request", [
                ("Instance-Id", self.id), ("Content-Length", 0)]))
        if self.loading or self.running >= self.slots:
            return writer.write(message("HTTP/1.1 503 Service Unavailable", [
                ("Not-Executed", 1), ("Content-Length", 0)]))
        request_id = headers["request-id"]
        self.running += 1
        try:
            await asyncio.sleep(0.02)
            self.runs.append((request_id, arrived, self.record.now(), self.version))
            self.record.line(f"run id={request_id} engine={self.id} weights={self.version}")
            writer.write(message("HTTP/1.1 200 OK", [
                ("Request-Id", request_id), ("Server-Signature", f"sig.{request_id}"),
                ("Weight-Versions", self.version), ("Transfer-Encoding", "chunked"),
                ("Content-Type", "text/event-stream"), ("Keep-Alive", "timeout=5")]))
            for n in range(1, random.randint(15, 28)):
                event = f"id: {n}\ndata: token\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.05)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Origin:
    """The origin of the weights."""

    def __init__(self, ip, model):
        self.ip, self.model = ip, model
        self.port = free_port(ip)

    @staticmethod
    def piece(version, n):
        return hashlib.sha256(f"{version}/{n}".encode()).digest() * (Engine.CHUNK_BYTES // 32)

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                start, _ = await read_head(reader)
                url = urllib.parse.urlsplit(start.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                version = int(query.get("version", "1"))
                if url.path.startswith("/manifest/"):
                    hashes = [hashlib.sha256(self.piece(version, n)).hexdigest()
                              for n in range(Engine.CHUNKS)]
                    out = json.dumps({"model": self.model, "version": version,
                                      "chunk_bytes": Engine.CHUNK_BYTES,
                                      "layers": Engine.LAYERS, "hashes": hashes}).encode()
                else:
                    out = self.piece(version, int(query["num"]))
                writer.write(message("HTTP/1.1 200 OK", [("Content-Length", len(out))], out))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


def engine_service(name, model, slots=4):
    """Returns a service of engines as the configuration lists it."""
    runtime = {"slots": slots, "kv_capacity": 317000, "stride": 5, "step_ms": 9.27,
               "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0,
               "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
               "models": [{"name": model, "pace": 1.0, "load_s": 0.3, "warm_s": 0.3}],
               "usual": {"prompt": 40, "answer": 30}, "layers": Engine.LAYERS,
               "chunks": Engine.CHUNKS, "chunk_bytes": Engine.CHUNK_BYTES}
    return {"name": name, "health_path": "/healthz", "max_conns": 264, "runtime": runtime}


def agent_settings(router, engine):
    """Returns the settings of an agent beside `engine`, with the ports of the router."""
    out = dict(router, node_name=f"side-{engine.ip.split('.')[-1]}", role="agent",
               machine_class="side", serves=["side"], ip=engine.ip, listen={},
               app=f"{engine.ip}:{engine.port}", service=engine.service)
    out["limits"] = dict(router["limits"], cpu_share=0.3, memory_mb=128, max_fds=2048,
                         link_mbps=7.3)
    return out
