"""Stand-ins for the platform's store, engines of a plain service, and clients, in one event loop.

They speak what PROTOCOL.md tells of them. Each listens on a loopback address of its own; the
gateways are real processes.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import time
import urllib.parse


def now():
    return time.monotonic()


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader, is_answer=False):
    """The next message; None if the connection ended before it. Raises if it ends inside it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("cut in the head")
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    message = Message(lines[0], fields, b"")
    length = message.get("content-length")
    if message.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += chunk[:-2]
    elif length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_answer and message.status >= 200 and message.status not in (204, 304):
        message.body = await reader.read()
    return message


def reset(writer):
    """Closes the connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Server:
    """An HTTP server that keeps its connections, so that they can be closed or reset."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.address = "%s:%d" % (host, port)
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 20)

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.handle(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer):
        raise NotImplementedError

    def answer(self, writer, status, fields, body=b""):
        head = "HTTP/1.1 %d X\r\n" % status
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)


class Store(Server):
    """The platform's table store, with its feed, its history and its eras."""

    FORBIDDEN = ("op", "servers")

    def __init__(self, host, port):
        super().__init__(host, port)
        self.rows = {}
        self.log = []
        self.version = 0
        self.era = 0
        self.history_from = 0
        self.changed = asyncio.Event()
        self.times = []  # (time, version)
        self.mode = None  # None, busy, reset, silent, slow
        self.lost_share = 0.0
        self.begun = now()

    # rows

    def _apply(self, table, part, key, value):
        self.rows[(table, part, key)] = (value, self.version)
        self.log.append((self.version, table, part, key, value))

    def commit(self, writes):
        """`writes`: (table, part, key, value as base64 text or None)."""
        self.version += 1
        for table, part, key, value in writes:
            self._apply(table, part, key, value)
        self.times.append((now(), self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.commit([(table, "", key, text)])

    def drop(self, table, key):
        if self.rows.get((table, "", key), (None, 0))[0] is not None:
            self.commit([(table, "", key, None)])

    def version_at(self, moment):
        found = 0
        for at, version in self.times:
            if at <= moment:
                found = version
        return found

    def compact(self):
        self.history_from = self.version

    async def restore(self, age_s, away_s):
        """The drill: away for a moment, and back from a copy that is `age_s` old."""
        copy = self.version_at(now() - age_s)
        await self.stop()
        self.log = [entry for entry in self.log if entry[0] <= copy]
        self.times = [entry for entry in self.times if entry[1] <= copy]
        self.rows = {}
        for version, table, part, key, value in self.log:
            self.rows[(table, part, key)] = (value, version)
        self.version = copy
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        await asyncio.sleep(away_s)
        await self.start()

    # calls

    def _row(self, table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    def _reply(self, writer, status, body):
        body.update({"ver": self.version, "nowMs": int((now() - self.begun) * 1000)})
        self.answer(writer, status,
                    [("Content-Type", "application/json"), ("Store-Era", str(self.era))],
                    json.dumps(body).encode())

    async def handle(self, message, reader, writer):
        era = self.era
        method, target, _ = message.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.mode == "busy":
            self.answer(writer, 503, [("Store-Era", str(self.era))])
            return True
        if self.mode == "reset":
            reset(writer)
            return False
        if self.mode == "silent":
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            return False
        await asyncio.sleep(0.004 if self.mode != "slow" else 0.24)
        if era != self.era:
            return False
        if url.path == "/rows-get":
            self._get(writer, query)
        elif url.path == "/rows-feed":
            return await self._feed(writer, query)
        elif url.path == "/rows-tx" and method == "POST":
            lost = random.random() < self.lost_share
            status, body = self._transact(json.loads(message.body))
            if lost:
                return False
            self._reply(writer, status, body)
        else:
            self.answer(writer, 404, [("Store-Era", str(self.era))])
        return True

    def _get(self, writer, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted(key for (t, p, key), (value, _) in self.rows.items()
                       if t == table and p == part and value is not None and key >= low
                       and (high is None or key < high))
        rows = [self._row(table, part, key, *self.rows[(table, part, key)])
                for key in found[:limit]]
        self._reply(writer, 200, {"rows": rows, "morePages": len(found) > limit})

    async def _feed(self, writer, query):
        table, after, era = query["table"], int(query["after"]), self.era
        until = now() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            if after > self.version or after < self.history_from:
                self._reply(writer, 410, {})
                return True
            latest = {}
            for version, t, part, key, value in self.log:
                if version > after and t == table:
                    latest[(part, key)] = (version, value)
            rows = [self._row(table, part, key, value, version)
                    for (part, key), (version, value) in latest.items()]
            rows.sort(key=lambda row: row["ver"])
            left = until - now()
            if rows or left <= 0:
                self._reply(writer, 200, {"rows": rows})
                return True
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if era != self.era or self.mode in ("reset", "silent"):
                return False

    def _transact(self, body):
        for entry in body.get("expectedRev", []):
            key = (entry["table"], entry.get("part", ""), entry["key"])
            value, version = self.rows.get(key, (None, 0))
            if (version if value is not None else 0) != entry["ver"]:
                rows = [self._row(*key, *self.rows[key])] if value is not None else []
                return 412, {"rows": rows}
        writes = [(w["table"], w.get("part", ""), w["key"], w["value"]) for w in body["writes"]]
        writes += [(w["table"], w.get("part", ""), w["key"], None) for w in body.get("remove", [])]
        if any(write[0] in self.FORBIDDEN for write in writes):
            return 403, {}
        self.commit(writes)
        return 200, {}


class Engine(Server):
    """An engine of a plain service. It registers itself in the store and counts what it runs."""

    def __init__(self, host, port, name, service, store, zone="zone-a", slots=6, work_s=0.015,
                 heartbeat_s=1.2):
        super().__init__(host, port)
        self.name, self.service, self.store, self.zone = name, service, store, zone
        self.slots, self.work_s, self.heartbeat_s = slots, work_s, heartbeat_s
        self.state = "ready"
        self.runs = []  # dictionaries
        self.running = 0
        self.beat = None
        self.leaving_at = None
        self.phase = now()  # heartbeats are sent whole intervals after it

    async def start(self):
        await super().start()
        self.beat = asyncio.ensure_future(self._heartbeats())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seqNo": 0}

    async def _heartbeats(self):
        while True:
            if self.store.server is not None and self.store.mode is None:
                text = base64.b64encode(json.dumps(self.entry()).encode()).decode()
                if self.store.rows.get(("servers", "", self.name), (None, 0))[0] != text:
                    self.store.put("servers", self.name, self.entry())
            left = self.heartbeat_s - (now() - self.phase) % self.heartbeat_s
            await asyncio.sleep(left + 0.001)

    def drain(self):
        """Reports that it leaves; the time of the store's acknowledgement."""
        self.state = "draining"
        self.store.put("servers", self.name, self.entry())
        self.leaving_at = now()

    async def exit(self):
        self.beat.cancel()
        await self.stop()
        self.store.drop("servers", self.name)

    async def handle(self, message, reader, writer):
        got_at = now()
        method, target, _ = message.first.split(" ")
        attempt = message.get("x-attempt-id")
        if target == "/health":
            self.answer(writer, 200, [("X-Instance-Id", self.name)])
            return True
        if message.get("x-expect-instance") not in (None, self.name):
            self.answer(writer, 421, [("X-Attempt-Id", attempt), ("X-Not-Run", "1"),
                                      ("X-Instance-Id", self.name)])
            return True
        if self.running >= self.slots:
            self.answer(writer, 503, [("X-Attempt-Id", attempt), ("X-Not-Run", "1")])
            return True
        run = {"id": attempt, "engine": self.name, "got": got_at, "ended": None,
               "tenant": message.get("x-tenant"), "target": target, "body": message.body,
               "method": method}
        self.runs.append(run)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s(attempt) if callable(self.work_s) else self.work_s)
        finally:
            self.running -= 1
        if writer.transport.is_closing():
            return False
        run["ended"] = now()
        body = ("%s %s %s " % (attempt, self.name, target)).encode() + message.body
        fields = [("X-Attempt-Id", attempt),
                  ("X-Server-Stamp", "stamp.%s.%s" % (self.name, attempt)),
                  ("X-Server-Load", "%d,0,%d" % (self.running, self.slots))]
        if self.leaving_at is not None:
            fields.append(("Server-Leaving", "1"))
        self.answer(writer, 200, fields, body)
        return True


class Gateway:
    """A real gateway process, with the settings of one small machine."""

    PORTS = {"front": 8227, "ready": 8220, "directory": 8224}

    def __init__(self, number, host, base, program, folder, store, zone="zone-a", bounds=None):
        self.name = "front-%s-%d" % (zone, number)
        self.host, self.program, self.folder, self.store = host, program, folder, store
        self.zone = zone
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.ports = {name: base + i for i, name in enumerate(self.PORTS)}
        self.range = [base + 10, base + 25]
        self.front = "%s:%d" % (host, self.ports["front"])
        self.process = None
        self.log = os.path.join(folder, self.name + ".log")
        self.exits = []

    def settings(self):
        listen = {name: "%s:%d" % (self.host, port) for name, port in self.ports.items()}
        return {"nodeName": self.name, "role": "gateway", "machineClass": "front",
                "serves": ["front", "directory"], "ip": self.host, "zone": self.zone,
                "region": "region-1", "zones": {self.zone: "region-1"}, "listen": listen,
                "portRange": self.range, "seeds": [], "bootstrap": True, "faultCounted": False,
                "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                           "linkMbps": 1000.0, "diskMb": 0},
                "discovery": "platform", "entryKind": "directory", "heartbeatMs": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                              "stream", "tenants", "platform", "spans"],
                "bounds": self.bounds,
                "platform": {"address": self.store.address, "form": "table", "writesPerS": 400,
                             "readsPerS": 2000, "txMs": 5.0, "partitionWritesS": 200,
                             "rowBytes": 65536, "across": False, "historyS": 20}}

    async def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        self.process = await asyncio.create_subprocess_exec(
            self.program, stdout=open(self.log, "a"), stderr=asyncio.subprocess.STDOUT,
            env=dict(os.environ, ALDERTURN_BOOT=path, ASAN_OPTIONS="detect_leaks=0"))

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            answer = await request("%s:%d" % (self.host, self.ports["ready"]), "GET", "/ready", [])
            return answer.status == 200
        except (OSError, ConnectionError, asyncio.TimeoutError, AttributeError):
            return False

    async def await_ready(self, timeout_s=10):
        until = now() + timeout_s
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 100, "recoverS": 12,
          "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000,
          "idleMaxMs": 9000, "ttl_max_s": 5}


def config(version, keys, services=("desk",), timeout_ms=1000):
    routes = []
    for service in services:
        for kind, attempts in (("unsafe", 1), ("safe", 2)):
            routes.append({"name": "r-%s-%s" % (service, kind), "hostname": "desk.example",
                           "prefix": "/%s/%s/" % (service, kind), "routeKind": kind,
                           "timeoutMs": timeout_ms, "targetLatencyMs": 100, "priority": 2,
                           "service": service, "maxAttempts": attempts, "public": False})
    return {"version": version, "routes": routes,
            "services": [{"name": s, "healthPath": "/health", "maxConns": 96, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-%d" % i, "apiKeys": list(k), "priority": 1}
                        for i, k in enumerate(keys)]}


async def request(address, method, target, fields, body=b"", timeout_s=1.0, connection=None):
    """Sends one request. `connection`: a (reader, writer) pair to reuse."""
    async def run():
        nonlocal connection
        if connection is None:
            host, port = address.split(":")
            connection = await asyncio.open_connection(host, int(port), limit=1 << 20)
            own = True
        else:
            own = False
        reader, writer = connection
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            return await read_message(reader, True)
        finally:
            if own:
                writer.close()

    return await asyncio.wait_for(run(), timeout_s)
