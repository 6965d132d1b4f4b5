"""Stand-ins for the platform's store, the origin of weights, model servers and clients.

They follow the users' pages and listen on loopback addresses only. Everything runs in one asyncio
loop; the programs under review are started as separate processes by Fleet.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "primrosecove"


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt: seconds since the start, what happened, fields."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {event} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body, reader=None):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.reader = reader
        self.path, _, query = target.partition("?")
        self.query = dict(it.partition("=")[::2] for it in query.split("&") if it)


async def read_message(reader):
    """Reads one request or response with a length or in chunks; None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return lines[0], headers, body
            body += piece[:-2]
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def head_bytes(status, headers, reason="OK"):
    out = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers.items():
        out += f"{name}: {value}\r\n"
    return (out + "\r\n").encode("latin-1")


def respond(writer, status, body=b"", headers=None):
    if isinstance(body, str):
        body = body.encode()
    fields = dict(headers or {})
    fields["Content-Length"] = len(body)
    writer.write(head_bytes(status, fields) + body)


class HttpServer:
    """Calls `handle(request, writer)` for each request of each connection, one at a time."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                await self.handle(Request(method, target, headers, body, reader), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()


class Store(HttpServer):
    """The platform's store: items, one revision, ranges and watches."""

    def __init__(self, ip, port, record):
        super().__init__(ip, port)
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.beats = {}  # When each registered server wrote last.
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision, "lease": 0,
                "created": self.items.get(key, {}).get("created", self.revision),
                "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.items[key] = item
        self.note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)
        prefix = request.query.get("prefix", "").replace("%2F", "/")
        if request.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix)
                          and k > request.query.get("after", "").replace("%2F", "/"))
            body = {"entries": [self.items[k] for k in keys[:500]], "has_more": len(keys) > 500,
                    "as_of": self.revision}
            return respond(writer, 200, json.dumps(body), {"Content-Type": "application/json"})
        if request.path == "/kv-watch":
            after = int(request.query["after"])
            end = now() + int(request.query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history
                          if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - now()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            body = {"events": events, "as_of": self.revision}
            return respond(writer, 200, json.dumps(body), {"Content-Type": "application/json"})
        return respond(writer, 404)


class Weights:
    """Pieces of all versions of one model."""

    def __init__(self, model, chunks, chunk_bytes):
        self.model, self.chunks, self.chunk_bytes = model, chunks, chunk_bytes

    def piece(self, version, n):
        seed = hashlib.sha256(f"{self.model}/{version}/{n}".encode()).digest()
        return (seed * (self.chunk_bytes // len(seed) + 1))[:self.chunk_bytes]

    def hashes(self, version):
        return [hashlib.sha256(self.piece(version, n)).hexdigest() for n in range(self.chunks)]


class Origin(HttpServer):
    """The service that weights come from; its link carries `mbps`."""

    def __init__(self, ip, port, record, weights, mbps):
        super().__init__(ip, port)
        self.record, self.weights = record, weights
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0
        self.spoil_manifests = 0  # How many of the next manifests get one wrong hex digit.
        self.pieces = 0

    async def handle(self, request, writer):
        version = int(request.query.get("version", 1))
        if request.path == f"/manifest/{self.weights.model}":
            hashes = self.weights.hashes(version)
            spoilt = self.spoil_manifests > 0
            if spoilt:
                self.spoil_manifests -= 1
                digit = hashes[7][20]
                hashes[7] = hashes[7][:20] + ("0" if digit != "0" else "1") + hashes[7][21:]
            self.record.write("manifest_sent", version=version, spoilt=spoilt)
            body = {"model": self.weights.model, "version": version, "layers": 16,
                    "chunk_bytes": self.weights.chunk_bytes, "hashes": hashes}
            return respond(writer, 200, json.dumps(body), {"Content-Type": "application/json"})
        if request.path == f"/piece/{self.weights.model}":
            self.free_at = max(self.free_at, now()) + self.weights.chunk_bytes / self.bytes_per_s
            await asyncio.sleep(self.free_at - now())
            self.pieces += 1
            return respond(writer, 200, self.weights.piece(version, int(request.query["num"])))
        return respond(writer, 404)


class Engine(HttpServer):
    """A model server: staged pieces, load orders, streams; registers itself in the store."""

    def __init__(self, ip, port, record, store, weights, service, zone, slots=16, events=14,
                 event_s=0.03, warm_s=0.3, name="", queue_limit=32):
        super().__init__(ip, port)
        self.record, self.store, self.weights = record, store, weights
        self.service, self.zone, self.slots = service, zone, slots
        self.events, self.event_s, self.warm_s = events, event_s, warm_s
        self.name, self.queue_limit = name, queue_limit
        self.staged = {}
        self.on_stage_get = None
        self.on_order = None
        self.on_begin = None
        self.beats = None
        self.awake = asyncio.Event()
        self.awake.set()
        self.boot(0)

    def boot(self, version, server_id=None):
        """A new incarnation that holds `version` whole, or no layers (0)."""
        self.id = server_id or "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.version = version
        self.layers = ({n: self.weights.piece(version, n) for n in range(self.weights.chunks)}
                       if version else {})
        self.running = 0
        self.queue = []
        self.orders = 0
        self.beat_number = 0
        self.loading = False

    def models(self):
        if not self.version:
            return {"models": [], "layers": []}
        return {"models": [{"name": self.weights.model, "version": self.version, "adapters": []}],
                "layers": [{"from": 0, "to": 16, "version": self.version}]}

    async def run(self):
        await self.start()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.awake.wait()
            self.register()
            await asyncio.sleep(1.2)

    def register(self, state="ready"):
        self.beat_number += 1
        self.store.beats[self.id] = now()
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0,
            "phase": "unified", "born": self.born, "sequence": self.beat_number, **self.models()})

    async def lose_power(self):
        if self.beats is not None:
            self.beats.cancel()
        await self.stop()
        self.staged = {}
        self.record.write("power_lost", server=self.name)

    async def stand_still(self, seconds):
        """Its machine freezes: nothing is read, made or sent for that time."""
        self.awake.clear()
        self.record.write("frozen", server=self.name)
        await asyncio.sleep(seconds)
        self.awake.set()
        self.record.write("awake", server=self.name)

    async def handle(self, request, writer):
        await self.awake.wait()
        if request.path == "/report":
            body = {"phase": "unified", "busy": self.loading, "sequence": self.orders,
                    "waiting": len(self.queue), "running": self.running, "kv_in_use": 0, "kv_size": 317000,
                    "handlers": 0, "pace": 1.0, "born": self.born, **self.models()}
            return respond(writer, 200, json.dumps(body), {"Content-Type": "application/json"})
        if request.path == f"/stage-put/{self.weights.model}":
            self.staged[int(request.query["num"])] = request.body
            return respond(writer, 200)
        if request.path == f"/stage-get/{self.weights.model}":
            n = request.query.get("num")
            if n is None:
                return respond(writer, 200, json.dumps({"held": sorted(self.staged)}))
            if int(n) not in self.staged:
                return respond(writer, 404)
            respond(writer, 200, self.staged[int(n)])
            if self.on_stage_get:
                self.on_stage_get(int(n))
            return None
        if request.path == "/order":
            return self.handle_order(json.loads(request.body), writer)
        if request.path == "/healthz":
            return respond(writer, 200, b"", {"Instance-Id": self.id})
        return await self.handle_request(request, writer)

    def handle_order(self, order, writer):
        if order.get("op") != "start":
            return respond(writer, 400)
        if self.loading:
            return respond(writer, 409)
        if order["version"] == self.version:
            return respond(writer, 200)
        if self.on_order:
            self.on_order(order)
        self.orders += 1
        self.loading = True
        taken = dict(self.staged)
        self.record.write("order_accepted", server=self.name, version=order["version"],
                          pieces=len(taken))
        asyncio.create_task(self.load(order["version"], taken))
        return respond(writer, 202)

    async def load(self, version, taken):
        while self.running > 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.warm_s)
        self.version, self.layers, self.loading = version, taken, False
        self.register()
        self.begin_queued()
        self.record.write("loaded", server=self.name, version=version, whole=self.is_whole())

    def is_whole(self):
        return all(self.layers.get(n) == self.weights.piece(self.version, n)
                   for n in range(self.weights.chunks))

    def headers(self):
        return {"Server-Load": f"{self.running},{len(self.queue)},{self.slots}"}

    async def handle_request(self, request, writer):
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id} if request_id else {}
        expected = request.headers.get("expect-instance")
        version = request.headers.get("expect-version")
        if not request_id:
            return respond(writer, 400, b"", {"Not-Executed": 1})
        if (expected and expected != self.id) or not self.version or (
                version and int(version) != self.version):
            return respond(writer, 421, b"", {**echo, "Instance-Id": self.id})
        if len(self.queue) >= self.queue_limit:
            return respond(writer, 503, b"", {**echo, **self.headers(), "Not-Executed": 1})
        if self.loading or self.running >= self.slots or self.queue:
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
            await self.awake.wait()
            if request.reader.at_eof() or writer.transport.is_closing():
                self.end_run()
                return None
            if version and int(version) != self.version:
                self.end_run()
                return respond(writer, 421, b"", {**echo, "Instance-Id": self.id})
        else:
            self.running += 1
        began = self.version
        whole = self.is_whole()
        self.record.write("run", id=request_id, server=self.name, version=began, whole=whole,
                          resumed=request.headers.get("last-event-id", "-"))
        if self.on_begin:
            self.on_begin(request_id, began, whole)
        try:
            writer.write(head_bytes(200, {
                **echo, **self.headers(), "Content-Type": "text/event-stream",
                "Server-Signature": f"{self.name}.{request_id[:6]}", "Weight-Versions": began,
                "Transfer-Encoding": "chunked"}))
            first = int(request.headers.get("last-event-id", 0)) + 1
            for n in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                await self.awake.wait()
                if request.reader.at_eof() or writer.transport.is_closing():
                    return None
                event = f"id: {n}\ndata: {self.name} {began} {n}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.end_run()
        return None

    def end_run(self):
        self.running -= 1
        self.begin_queued()

    def begin_queued(self):
        while self.queue and not self.loading and self.running < self.slots:
            turn = self.queue.pop(0)
            if not turn.done():
                self.running += 1
                turn.set_result(None)


class Fleet:
    """The programs under review as processes, with the settings of a small deployment."""

    BOUNDS = ("{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, "
              "drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, "
              "rollback_slack_ms: 250, max_skew_ms: 5000, strict_revoke: true, revoke_ms: 5000, "
              "retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 100, recovery_s: 12, "
              "event_lag_ms: 120, retry_after_s: 0, version_ms: 8000, version_all_ms: 0}")

    def __init__(self, folder, record, net, store, service):
        self.folder, self.record, self.net = pathlib.Path(folder), record, net
        self.store, self.service = store, service
        self.processes = {}

    def ip(self, kind, n):
        return f"{self.net}.{ {'edge': 10, 'side': 20}[kind] + n}"

    def start(self, kind, n, zone):
        ip = self.ip(kind, n)
        name = f"{kind}-{n}"
        listen = f'{{frontend: "{ip}:8005", ready: "{ip}:8002"}}' if kind == "edge" else "{}"
        text = (f'node_name: "{name}"\nrole: "{kind}"\nmachine_class: "{kind}"\n'
                f'serves: ["{kind}"]\nip: "{ip}"\nzone: "{zone}"\nregion: "r-{zone}"\n'
                f'zones: {{z1: "r-z1", z2: "r-z2", z3: "r-z3"}}\nlisten: {listen}\n'
                f'internal_ports: [7700, 7715]\nseed_nodes: []\nbootstrap: true\n'
                f'in_tolerance: false\nlimits: {{cpu_share: 0.3, cpu_speed: 1, '
                f'memory_mb: {260 if kind == "edge" else 128}, '
                f'max_fds: {4200 if kind == "edge" else 2048}, '
                f'link_mbps: {1000.0 if kind == "edge" else 7.3}, disk_mb: 0}}\n'
                f'data_dir: null\ndiscovery: "platform"\nentry: "vip"\nheartbeat_ms: 1200\n'
                f'bounds: {self.BOUNDS}\n')
        if kind == "side":
            text += f'app: "{ip}:8001"\nservice: "{self.service}"\n'
        text += (f'platform: {{address: "{self.store.ip}:{self.store.port}", form: "kv", '
                 f'writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, '
                 f'ttl_min_ms: 1000}}\n')
        path = self.folder / f"{name}.yaml"
        path.write_text(text, encoding="utf-8")
        command = "fleet-router" if kind == "edge" else "fleet-agent"
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(PROGRAM), command], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            env={"PRIMROSECOVE_BOOT": str(path), "PATH": os.environ.get("PATH", "")})
        log.close()
        self.record.write("process_started", name=name)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.write("signal", name=name, number=int(number))

    def kill(self, name):
        process = self.processes.pop(name, None)
        if process is None:
            return
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()
        self.record.write("process_killed", name=name)

    def kill_all(self):
        for name in list(self.processes):
            self.kill(name)


async def call(ip, port, method, target, headers, body=b"", timeout=6.0):
    """One request on a connection of its own; returns (status, headers, body) or (0, {}, b"")."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            fields = {"Host": "x", **headers}
            if body or method != "GET":
                fields["Content-Length"] = len(body)
            head = f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
            writer.write(head.encode("latin-1") + body)
            message = await read_message(reader)
            if message is None:
                return 0, {}, b""
            line, fields, data = message
            return int(line.split(" ")[1]), fields, data
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, {}, b""


async def wait_ready(ip, seconds):
    end = now() + seconds
    while now() < end:
        if (await call(ip, 8002, "GET", "/readyz", {}, timeout=1))[0] == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def free_net():
    """A /24 of the loopback network on which the deployment's ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(80, 200)}.{random.randint(1, 250)}"
        try:
            for host, port in ((1, 8007), (2, 8006), (10, 8005), (10, 7700), (20, 7700)):
                with socket.socket() as it:
                    it.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


def make_config(version, service, origin, model, weights, keys, timeout_ms=6000):
    return {
        "version": version,
        "routes": [{"name": "r-1", "host": "a.example", "prefix": "/s/", "route_type": "streaming",
                    "timeout_ms": timeout_ms, "latency_target_ms": 500, "priority": 1,
                    "service": service, "max_attempts": 2, "public": False, "sticky": True,
                    "resumable": True, "itl_target_ms": 400}],
        "services": [
            {"name": service, "health_path": "/healthz", "max_conns": 264, "protocol": "h1",
             "tls": False, "runtime": {
                 "slots": 16, "kv_capacity": 317000, "kv_token_bytes": 262144, "stride": 5,
                 "models": [{"name": model, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
                 "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322,
                 "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
                 "usual": {"prompt": 979, "answer": 92}, "layers": 16, "layer_mb": 4090.0,
                 "chunks": weights.chunks, "chunk_bytes": weights.chunk_bytes}},
            {"name": "apps", "origin": f"{origin.ip}:{origin.port}", "zone": "z1",
             "link_mbps": 7.3, "max_conns": 48}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t-1", "api_keys": keys, "priority": 1}],
    }


class Deployment:
    """A small deployment: 2 entry machines, 3 model servers with their machines, store, origin."""

    ZONES = ("z1", "z2", "z3")
    SERVICE, MODEL, KEY = "llm", "m1", "key-one"

    def __init__(self, record, folder, mbps=7.3, routers=2, engines=3, ids=None, **engine_options):
        self.ids = ids or {}
        self.record = record
        self.net = free_net()
        self.weights = Weights(self.MODEL, 96, 24576)
        self.store = Store(f"{self.net}.1", 8007, record)
        self.origin = Origin(f"{self.net}.2", 8006, record, self.weights, mbps)
        self.fleet = Fleet(folder, record, self.net, self.store, self.SERVICE)
        self.routers = list(range(routers))
        self.engines = [Engine(self.fleet.ip("side", n), 8001, record, self.store, self.weights,
                               self.SERVICE, self.ZONES[n % 3], name=f"side-{n}", **engine_options)
                        for n in range(engines)]
        self.answers = []  # (sent at, status, events, router)
        self.expiry = None
        self.requests = 0

    async def start(self):
        await self.store.start()
        await self.origin.start()
        self.store.put("op/config", make_config(7, self.SERVICE, self.origin, self.MODEL,
                                                self.weights, [self.KEY]))
        self.store.put(f"op/version/{self.MODEL}", {"model": self.MODEL, "version": 1})
        for engine in self.engines:
            engine.boot(1, self.ids.get(engine.name))
            engine.staged = dict(engine.layers)
            await engine.run()
        self.expiry = asyncio.create_task(self.expire_silent())
        self.start_processes()
        for n in self.routers:
            if not await wait_ready(self.fleet.ip("edge", n), 15):
                return False
        return True

    def start_processes(self):
        for n in range(len(self.engines)):
            self.fleet.start("side", n, self.ZONES[n % 3])
        for n in self.routers:
            self.fleet.start("edge", n, self.ZONES[n % 3])

    async def send(self, n, timeout=6.0):
        self.requests += 1
        request_id = f"{self.requests:06d}" + os.urandom(5).hex()
        sent = now()
        status, _, body = await call(
            self.fleet.ip("edge", n), 8005, "POST", "/s/x",
            {"Host": "a.example", "Request-Id": request_id, "Model": self.MODEL,
             "Token-Usage": "600,70", "Prefix-Hash": f"aa11bb22:40,{request_id[:8]}:560",
             "Deadline-Ms": int(timeout * 1000), "Authorization": f"Bearer {self.KEY}"},
            b"hello", timeout)
        self.answers.append((sent, status, body.count(b"id: "), n))
        self.record.write("answer", id=request_id, router=n, status=status,
                          sent=f"{sent - self.record.start:.3f}", events=body.count(b"id: "))

    async def traffic(self, seconds, per_s):
        """Sends requests to the routers in turn at a fixed rate."""
        tasks = []
        end = now() + seconds
        while now() < end:
            tasks.append(asyncio.create_task(self.send(self.routers[len(tasks) % len(self.routers)])))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def expire_silent(self):
        """The store removes the entry of a server after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.1)
            for server, at in list(self.store.beats.items()):
                if now() - at > 3.6:
                    del self.store.beats[server]
                    self.store.remove(f"servers/{server}")

    async def stop(self):
        if self.expiry is not None:
            self.expiry.cancel()
        self.fleet.kill_all()
        for engine in self.engines:
            if engine.beats is not None:
                engine.beats.cancel()
            await engine.stop()
        await self.origin.stop()
        await self.store.stop()


def main(run, record_path):
    """Runs `run(record, folder, trouble)` in a temporary folder; it returns the exit code."""
    import sys
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    if not PROGRAM.exists():
        record.write("not_run", why="target/primrosecove is missing")
        sys.exit(2)
    async def supervise(temporary):
        # `timeout` ends a run with SIGTERM; the processes are ended then, too.
        task = asyncio.create_task(run(record, temporary, trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(supervise(temporary))
        except (Exception, asyncio.CancelledError) as error:  # The case could not run.
            record.write("not_run", why=repr(error))
            code = 2
    print(f"exit {code}")
    sys.exit(code)
