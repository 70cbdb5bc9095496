"""An instance is stopped with SIGTERM while callers go on using their open connections.

Each caller has one connection, opened and used before the signal, and sends one more request on it
at its own time after the signal. Nobody opens a connection after the signal.
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

GRACE_S = standins.BOUNDS["graceS"]
WORK_S = 0.15
DEADLINE_MS = 10000
CALLERS = 120
# Times of the callers' requests after the signal. Connections rest for at most 10 s, less than four
# fifths of idleTimeoutMs (12 s).
FIRST_S = 5.6
LAST_S = 8.0


class Caller:
    def __init__(self, case, gateway, index):
        self.case = case
        self.id = "late-%d" % index
        self.after_s = FIRST_S + (LAST_S - FIRST_S) * index / CALLERS
        self.connection = standins.connect(gateway.address, 12)
        self.stream = self.connection.makefile("rb")
        self.sent_s = self.ended_s = None
        self.answer = None
        self.early_id = "early-%d" % index

    def use_once(self):
        """Sends the request before the signal, which makes it a kept connection."""
        self.answer = self.send(self.early_id)

    def send(self, request_id):
        self.connection.sendall(standins.request_bytes(
            "POST", "/orders/x", request_id=request_id, deadline_ms=DEADLINE_MS))
        return standins.read_answer(self.stream)

    def run(self, origin):
        time.sleep(max(origin + self.after_s - time.monotonic(), 0))
        self.sent_s = time.monotonic() - origin
        try:
            self.answer = self.send(self.id)
        except OSError:
            self.answer = standins.Answer(0, {}, b"", False)
        self.ended_s = time.monotonic() - origin


def is_lost(caller, endpoints):
    """The rule: a process has read a whole request, and its connection ends without a complete
    answer once it has been passed on to an endpoint. All of these requests were sent later than 3 s
    after the signal, and end before their deadline; the endpoints break nothing off."""
    arrived = any(caller.id in endpoint.runs for endpoint in endpoints)
    in_window = caller.sent_s < GRACE_S + 1
    in_time = caller.ended_s - caller.sent_s < DEADLINE_MS / 1000
    return arrived and in_window and in_time and not caller.answer.is_complete


def run_all(threads):
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main(case):
    def work(request):
        time.sleep(WORK_S)
        try:
            request.answer(body=b"order taken")
        except OSError:
            case.note("endpoint: ran %s, its answer found the connection closed", request.id)

    store = standins.Store()
    endpoints = [standins.Endpoint("i-%d" % i, work) for i in range(3)]
    for endpoint in endpoints:
        store.put("servers", endpoint.name, endpoint.entry("desk"))
    store.put("op", "config", standins.config(1, [standins.route("/orders/", "desk")], ["desk"]))
    gateway = case.gateway(store).wait_ready()
    # More than contactMs without any disruption.
    time.sleep(3.5)
    callers = [Caller(case, gateway, i) for i in range(CALLERS)]
    run_all([threading.Thread(target=caller.use_once) for caller in callers])
    if not all(caller.answer.status == 200 for caller in callers):
        raise standins.Failure("requests before the signal were not answered")
    case.note("%d callers hold an open connection each", len(callers))
    origin = time.monotonic()
    if TROUBLE:
        case.note("platform: SIGTERM")
        gateway.signal(standins.signal.SIGTERM)
    threads = [threading.Thread(target=caller.run, args=(origin,)) for caller in callers]
    for thread in threads:
        thread.start()
    while TROUBLE and gateway.process.poll() is None:
        if time.monotonic() - origin > GRACE_S:
            case.note("platform: SIGKILL after graceS")
            gateway.process.kill()
            gateway.process.wait()
        time.sleep(0.005)
    if TROUBLE:
        case.note("platform: the process ended %.3f s after the signal", time.monotonic() - origin)
    for thread in threads:
        thread.join()
    lost = [caller for caller in callers if is_lost(caller, endpoints)]
    for caller in callers:
        ran = sum(endpoint.runs.count(caller.id) for endpoint in endpoints)
        case.note("%s sent at %.3f s, ended at %.3f s: %s, ran %d times%s", caller.id,
                  caller.sent_s, caller.ended_s,
                  caller.answer.status if caller.answer.is_complete
                  else "connection closed without a complete answer", ran,
                  " LOST" if caller in lost else "")
    complete = sum(caller.answer.is_complete for caller in callers)
    case.note("%d requests: %d complete answers, %d lost after an endpoint ran them", len(callers),
              complete, len(lost))
    return len(lost) > 0


standins.Case(HERE).run(main)
