"""A request that crashes each endpoint that runs it comes again and again.

The caller sends it six times, 80 ms apart, and from eight seconds later on twice a second, at either
of two instances. Endpoints are back three seconds after a crash, under a new id. Other callers send
sound requests all the while.
"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins  # noqa: E402

# Whether the disruption is made; TROUBLE=0 in the environment does the same without it.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ENDPOINTS = 12
DEADLY_WORK_S = 0.3
SOUND_WORK_S = 1.0
SOUND_CALLERS = 96
DOWN_S = 3.0
# Three heartbeat intervals of the deployment, after which the row of a silent endpoint is removed.
ROW_TTL_S = 3.6
CONTACT_S = standins.BOUNDS["contactMs"] / 1000
FIRST_SENDS = 6
FIRST_GAP_S = 0.08
LATER_FROM_S = 8.0
LATER_GAP_S = 0.5
LATER_SENDS = 20
MAX_RETRIES = 3
DEADLINE_MS = 10000
DEADLY_BODY = b"the same prompt each time"


class Engine(standins.Endpoint):
    """An endpoint that ends 0.3 s after it has begun to run the deadly request."""

    def __init__(self, case, store, index):
        self.case = case
        self.store = store
        self.generation = 0
        self.index = index
        self.connections = set()
        super().__init__("i-%d" % index, self.work)
        self.port = int(self.address.split(":")[1])
        self.store.put("servers", self.name, self.entry("desk"))

    def serve(self, connection):
        self.connections.add(connection)
        try:
            super().serve(connection)
        finally:
            self.connections.discard(connection)

    def work(self, request):
        name = self.name
        is_deadly = TROUBLE and request.body == DEADLY_BODY
        if is_deadly:
            self.case.arrivals.append((time.monotonic(), request.id, name))
        time.sleep(DEADLY_WORK_S if is_deadly else SOUND_WORK_S)
        if self.name != name:
            return False
        if is_deadly:
            self.crash(request)
            return False
        request.answer(body=b"done")
        return True

    def crash(self, request):
        old = self.name
        self.generation += 1
        self.name = "i-%d-%d" % (self.index, self.generation)
        self.case.crashes.append((time.monotonic(), request.id, old))
        self.listener.shutdown(standins.socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            standins.end(connection)
        threading.Thread(target=self.come_back, args=(old,), daemon=True).start()

    def come_back(self, old):
        time.sleep(DOWN_S)
        self.listen(self.port)
        self.store.put("servers", self.name, self.entry("desk"))
        time.sleep(ROW_TTL_S - DOWN_S)
        self.store.put("servers", old, None)


def send(address, target, request_id, body):
    try:
        return standins.call(address, "POST", target, timeout=DEADLINE_MS / 1000,
                             request_id=request_id, body=body, deadline_ms=DEADLINE_MS)
    except OSError:
        return standins.Answer(0, {}, b"", False)


def main(case):
    case.arrivals = []
    case.crashes = []
    sound = []
    store = standins.Store()
    for i in range(ENDPOINTS):
        Engine(case, store, i)
    store.put("op", "config", standins.config(1, [
        standins.route("/reads/", "desk", "safe", targetLatencyMs=2000),
        standins.route("/orders/", "desk", "unsafe", targetLatencyMs=2000),
    ], ["desk"]))
    gateways = [case.gateway(store) for _ in range(2)]
    for gateway in gateways:
        gateway.wait_ready()
    # More than contactMs without any disruption.
    time.sleep(3.5)
    over = threading.Event()

    def send_sound(caller):
        n = 0
        while not over.is_set():
            n += 1
            request_id = "sound-%d-%d" % (caller, n)
            sound.append(send(gateways[caller % 2].address, "/orders/x", request_id,
                              request_id.encode()))

    def send_deadly(n, after_s):
        time.sleep(max(origin + after_s - time.monotonic(), 0))
        answer = send(gateways[n % 2].address, "/reads/x", "deadly-%d" % n, DEADLY_BODY)
        case.note("deadly-%d sent %.2f s after the first: status %d", n, after_s, answer.status)

    threads = [threading.Thread(target=send_sound, args=(i,)) for i in range(SOUND_CALLERS)]
    times = [i * FIRST_GAP_S for i in range(FIRST_SENDS)]
    times += [LATER_FROM_S + i * LATER_GAP_S for i in range(LATER_SENDS)]
    deadly = [threading.Thread(target=send_deadly, args=(n, after_s))
              for n, after_s in enumerate(times)]
    for thread in threads:
        thread.start()
        time.sleep(SOUND_WORK_S / SOUND_CALLERS)
    time.sleep(1)
    origin = time.monotonic()
    for thread in deadly:
        thread.start()
    for thread in deadly:
        thread.join()
    over.set()
    for thread in threads:
        thread.join()
    for at, request_id, name in case.crashes:
        case.note("%s crashed %s %.3f s after the first was sent", request_id, name, at - origin)
    failed = sum(not (answer.status == 200 and answer.is_complete) for answer in sound)
    case.note("%d sound requests, %d not served", len(sound), failed)
    if len(case.crashes) < 3:
        case.note("%d endpoints crashed", len(case.crashes))
        return False
    since = sorted(case.crashes)[2][0] + CONTACT_S
    late = [arrival for arrival in case.arrivals if arrival[0] > since]
    case.note("%d endpoints crashed; later than contactMs after the third the request reached "
              "endpoints %d times (at most %d are allowed)", len(case.crashes), len(late),
              MAX_RETRIES)
    return len(late) > MAX_RETRIES


standins.Case(HERE).run(main)
