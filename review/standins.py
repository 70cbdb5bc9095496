"""Stand-ins for the platform's store, endpoints and callers, and a launcher of real gateways.

Everything runs on loopback addresses. The store follows the published protocol: linearizable rows, a
feed that answers as soon as there is a change, else when the requested wait is over.
"""

import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.environ.get("GATEWAY") or os.path.join(ROOT, "target", "gateway", "alderturn-gateway")
KEY = "key-one"
TENANT = "tenant-one"
HOST = "desk.example"
# Bounds of a small deployment.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 100, "recoverS": 12,
    "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000,
    "idleMaxMs": 9000, "ttl_max_s": 5,
}


def read_head(stream):
    """Reads a message's first line and fields; None at the end of the stream."""
    first = stream.readline()
    if not first:
        return None
    fields = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        line = line.strip()
        if not line:
            return first.decode("latin-1").strip(), fields
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


def read_body(stream, fields):
    """Reads the body of a request or an answer that has a length or chunks; None if it is cut."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = stream.readline()
            if not size.endswith(b"\n"):
                return None
            length = int(size.strip() or b"0", 16)
            piece = stream.read(length + 2)
            if len(piece) < length + 2:
                return None
            if length == 0:
                return body
            body += piece[:-2]
    length = int(fields.get("content-length", "0"))
    body = stream.read(length)
    return body if len(body) == length else None


class Server:
    """Accepts connections and serves each in a thread with `serve (connection)`."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.listen(port)

    def listen(self, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, port))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def serve(self, connection):
        raise NotImplementedError


class Store(Server):
    """The platform's store."""

    def __init__(self, ip="127.0.0.1"):
        self.rows = {}  # (table, part, key) -> (value or None, version)
        self.version = 1
        self.changed = threading.Condition()
        self.is_down = False
        self.era = None  # of a store that states it in its answers
        super().__init__(ip)

    def copy(self):
        """A copy from which the store can come back."""
        with self.changed:
            return dict(self.rows), self.version

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone."""
        with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.era += 1
            self.changed.notify_all()

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or an endpoint does; None removes it. Returns the version."""
        with self.changed:
            self.version += 1
            text = None if value is None else (
                value if isinstance(value, bytes) else json.dumps(value).encode())
            self.rows[(table, part, key)] = (text, self.version)
            self.changed.notify_all()
            return self.version

    def _row(self, where):
        value, version = self.rows[where]
        row = {"table": where[0], "part": where[1], "key": where[2], "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _get(self, query):
        part = query.get("part", "")
        found = sorted(w for w, (value, _) in self.rows.items()
                       if w[0] == query["table"] and w[1] == part and value is not None
                       and w[2] >= query.get("from", "")
                       and ("to" not in query or w[2] < query["to"]))
        limit = int(query.get("limit", 500))
        return {"rows": [self._row(w) for w in found[:limit]], "morePages": len(found) > limit}

    def _feed(self, query):
        after = int(query.get("after", 0))
        era = self.era
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if era != self.era or after > self.version:
                return None
            found = sorted((v, w) for w, (_, v) in self.rows.items()
                           if w[0] == query["table"] and v > after)
            left = until - time.monotonic()
            if found or left <= 0:
                return {"rows": [self._row(w) for _, w in found]}
            self.changed.wait(left)

    def _transaction(self, body):
        for want in body.get("expectedRev", []):
            where = (want["table"], want["part"], want["key"])
            value, version = self.rows.get(where, (None, 0))
            if (version if value is not None else 0) != want["ver"]:
                return 412, {"rows": [self._row(where)] if value is not None else []}
        self.version += 1
        for write in body.get("writes", []):
            self.rows[(write["table"], write["part"], write["key"])] = (
                base64.b64decode(write["value"]), self.version)
        self.changed.notify_all()
        return 200, {}

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            body = read_body(stream, head[1])
            url = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            time.sleep(0.004)
            status, answer = 200, {}
            with self.changed:
                if self.is_down:
                    status = 503
                elif url.path == "/rows-get":
                    answer = self._get(query)
                elif url.path == "/rows-feed":
                    answer = self._feed(query)
                    if answer is None:
                        status, answer = 410, {}
                elif url.path == "/rows-tx":
                    status, answer = self._transaction(json.loads(body))
                else:
                    status = 404
                answer.update(ver=self.version, nowMs=int(time.monotonic() * 1000))
                era = b"" if self.era is None else b"Store-Era: %d\r\n" % self.era
            text = json.dumps(answer).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s"
                               b"Content-Length: %d\r\n\r\n" % (status, era, len(text)) + text)


class Request:
    """A request that has arrived at an endpoint."""

    def __init__(self, endpoint, connection, line, fields, body):
        self.endpoint = endpoint
        self.connection = connection
        self.method, self.target, _ = line.split(" ")
        self.fields = fields
        self.body = body
        self.id = fields.get("x-attempt-id")

    def head(self, status, fields):
        text = "HTTP/1.1 %d X\r\n" % status
        if self.id is not None:
            text += "X-Attempt-Id: %s\r\n" % self.id
        return (text + fields + "\r\n").encode()

    def answer(self, status=200, body=b"", fields=""):
        self.connection.sendall(self.head(status, "X-Server-Stamp: s.%s\r\n%sContent-Length: %d\r\n"
                                          % (self.id, fields, len(body))) + body)

    def reject(self, status=503, fields=""):
        self.connection.sendall(self.head(status, "X-Not-Run: 1\r\n%sContent-Length: 0\r\n"
                                          % fields))


class Endpoint(Server):
    """An endpoint: `handler (request)` answers, and returns False to close the connection. `runs`
    holds the ids of the requests that began to run, in their order."""

    def __init__(self, name, handler=None, ip="127.0.0.1", port=0):
        self.name = name
        self.handler = handler or (lambda request: request.answer(body=b"done"))
        self.runs = []
        self.arrived = []  # (time, id)
        super().__init__(ip, port)

    def entry(self, service, zone="zone-a", state="ready", slots=16):
        return {"service": service, "address": self.address, "zone": zone, "version": "v1",
                "slots": slots, "state": state, "coldLeftMs": 0, "seqNo": 0}

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            body = read_body(stream, head[1])
            if body is None:
                return
            request = Request(self, connection, head[0], head[1], body)
            if head[1].get("x-expect-instance", self.name) != self.name:
                request.reject(421, "X-Instance-Id: %s\r\n" % self.name)
                continue
            self.arrived.append((time.monotonic(), request.id))
            self.runs.append(request.id)
            if self.handler(request) is False:
                return


def end(connection):
    """Ends a connection at once, as the kernel does when its process ends."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def route(prefix, service, kind="unsafe", **more):
    fields = {"name": "r" + prefix.replace("/", "-"), "hostname": HOST, "prefix": prefix,
              "routeKind": kind, "timeoutMs": 10000, "targetLatencyMs": 1000, "priority": 1,
              "service": service, "maxAttempts": 2, "public": False}
    fields.update(more)
    return fields


def config(version, routes, services, keys=(KEY,), limits=None):
    return {"version": version, "routes": routes,
            "services": [s if isinstance(s, dict) else
                         {"name": s, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]}


def free_ports(ip, n):
    sockets = [socket.socket() for _ in range(n)]
    for s in sockets:
        s.bind((ip, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def free_range(ip, n):
    """The first of n consecutive free ports."""
    while True:
        first = random.randrange(20000, 30000)
        try:
            for port in range(first, first + n):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((ip, port))
            return first
        except OSError:
            continue


# Port of an instance's metrics, on its own address, as in the deploy file.
METRICS_PORT = 9190


def free_address():
    """A loopback address that no other instance uses."""
    while True:
        ip = "127.%d.%d.%d" % tuple(random.randrange(1, 255) for _ in range(3))
        try:
            with socket.socket() as s:
                s.bind((ip, METRICS_PORT))
            return ip
        except OSError:
            continue


class Gateway:
    """One instance, started with the command of the deploy file."""

    def __init__(self, folder, index, store, zone="zone-a", bounds=None, zones=("zone-a",)):
        self.name = "front-%s-%d" % (zone, index)
        self.ip = free_address()
        self.folder = folder
        ports = free_ports(self.ip, 3)
        first = free_range(self.ip, 16)
        store_ip = store.address
        self.settings = {
            "nodeName": self.name, "role": "gateway", "machineClass": "front",
            "serves": ["front", "directory"], "ip": self.ip, "zone": zone, "region": "region-a",
            "portRange": [first, first + 15], "seeds": [], "bootstrap": True,
            "faultCounted": False, "discovery": "platform", "entryKind": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "platform", "spans"],
            "zones": {z: "region-a" for z in zones},
            "listen": {"front": "%s:%d" % (self.ip, ports[0]),
                       "ready": "%s:%d" % (self.ip, ports[1]),
                       "directory": "%s:%d" % (self.ip, ports[2])},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": dict(BOUNDS, **(bounds or {})),
            "platform": {"address": store_ip, "form": "table", "writesPerS": 400,
                         "readsPerS": 2000, "txMs": 5.0, "partitionWritesS": 200,
                         "rowBytes": 65536, "across": False, "historyS": 20,
                         "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0},
        }
        self.address = self.settings["listen"]["front"]
        self.boot = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None
        self.write_settings()

    def write_settings(self):
        with open(self.boot + ".new", "w") as out:
            json.dump(self.settings, out)
        os.rename(self.boot + ".new", self.boot)

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([GATEWAY], stdout=log, stderr=log,
                                            env={"ALDERTURN_BOOT": self.boot, "HOME": self.folder,
                                                 "PATH": os.environ["PATH"], "LANG": "C.UTF-8"})
        return self

    def is_ready(self):
        try:
            return call(self.settings["listen"]["ready"], "GET", "/ready").status == 200
        except OSError:
            return False

    def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise Failure("gateway ended with %s" % self.process.returncode)
            if self.is_ready():
                return self
            time.sleep(0.05)
        raise Failure("gateway isn't ready")

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Failure(Exception):
    """The case couldn't run."""


Answer = collections.namedtuple("Answer", "status fields body is_complete")


def request_bytes(method, target, request_id=None, key=KEY, body=b"", deadline_ms=None, fields=""):
    text = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, HOST)
    if request_id is not None:
        text += "X-Attempt-Id: %s\r\n" % request_id
    if key is not None:
        text += "Authorization: Bearer %s\r\n" % key
    if deadline_ms is not None:
        text += "X-Deadline-Ms: %d\r\n" % deadline_ms
    if body or method == "POST":
        text += "Content-Length: %d\r\n" % len(body)
    return (text + fields + "\r\n").encode() + body


def connect(address, timeout=5, receive_buffer=None, source=None):
    ip, port = address.split(":")
    connection = socket.socket()
    if receive_buffer is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(timeout)
    connection.connect((ip, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_answer(stream):
    """Reads an answer; `is_complete` tells whether its body ended as its head says."""
    head = read_head(stream)
    if head is None:
        return Answer(0, {}, b"", False)
    status = int(head[0].split(" ")[1])
    body = b""
    try:
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = stream.readline()
                if not size.endswith(b"\n"):
                    return Answer(status, head[1], body, False)
                length = int(size.strip(), 16)
                piece = stream.read(length + 2)
                body += piece[:length]
                if len(piece) < length + 2:
                    return Answer(status, head[1], body, False)
                if length == 0:
                    return Answer(status, head[1], body, True)
        if "content-length" in head[1]:
            length = int(head[1]["content-length"])
            while len(body) < length:
                piece = stream.read1(min(65536, length - len(body)))
                if not piece:
                    break
                body += piece
            return Answer(status, head[1], body, len(body) == length)
        return Answer(status, head[1], stream.read(), True)
    except OSError:
        return Answer(status, head[1], body, False)


def call(address, method, target, timeout=5, **more):
    connection = connect(address, timeout)
    try:
        connection.sendall(request_bytes(method, target, **more))
        return read_answer(connection.makefile("rb"))
    finally:
        connection.close()


class Case:
    """Runs one case: a temporary folder, the record, and the end of all processes."""

    def __init__(self, folder):
        self.record_path = os.path.join(folder, "record.txt")
        self.record_file = open(self.record_path, "w")
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gateways = []
        self.lock = threading.Lock()

    def note(self, text, *values):
        line = "%8.3f %s" % (time.monotonic() - self.started, text % values if values else text)
        with self.lock:
            print(line, file=self.record_file, flush=True)
            print(line, flush=True) if os.environ.get("VERBOSE") else None

    def gateway(self, store, **more):
        gateway = Gateway(self.folder, len(self.gateways) + 1, store, **more)
        self.gateways.append(gateway)
        return gateway.start()

    def run(self, func):
        status = 2
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit("stopped"))
        try:
            status = 1 if func(self) else 0
        except (Exception, SystemExit) as error:
            self.note("couldn't run: %r", error)
        finally:
            for gateway in self.gateways:
                gateway.stop()
            if os.environ.get("KEEP_LOGS"):
                self.note("logs are in %s", self.folder)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        self.note("result: %s", {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[status])
        self.record_file.close()
        os._exit(status)
