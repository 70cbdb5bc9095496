"""Not a case: shows the first entry of KNOWN-RED.txt, a withdrawn key that works.

The store comes back from a copy that is six seconds old, and the operator writes its configuration
again a second later. One of two instances is killed while the store is away, and started again when it
is back, 5.9 s after the key was withdrawn.
Run with python3; exits with 1 if the rule (CONFIG, strictRevoke) was broken. TROUBLE=0 does the same
with a store that comes back with all that it had.
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

REVOKE_S = standins.BOUNDS["revokeMs"] / 1000
COPY_BEFORE_S = 0.3
RESTORE_AFTER_S = 5.6
AWAY_S = 0.3
WRITE_AGAIN_S = 1.0
OLD_KEY = "old-key"


def main(case):
    runs = {}
    sent = {}

    def work(request):
        runs[request.id] = time.monotonic()
        request.answer(body=b"done")

    store = standins.Store()
    store.era = 1
    endpoints = [standins.Endpoint("i-%d" % i, work) for i in range(3)]
    for endpoint in endpoints:
        store.put("servers", endpoint.name, endpoint.entry("desk"))

    def put_config(version, keys):
        store.put("op", "config", standins.config(
            version, [standins.route("/reads/", "desk", "safe")], ["desk"], keys=keys))

    put_config(3, [OLD_KEY, standins.KEY])
    gateways = [case.gateway(store) for _ in range(2)]
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(4)
    copy = store.copy()
    time.sleep(COPY_BEFORE_S)
    put_config(5, [standins.KEY])
    withdrawn_at = time.monotonic()
    case.note("operator: version 5 withdraws the key; acknowledged")
    time.sleep(RESTORE_AFTER_S)
    store.is_down = True
    gateways[1].stop()
    time.sleep(AWAY_S)
    if TROUBLE:
        store.restore(copy)
    store.is_down = False
    case.note("store: back%s", " from a copy" if TROUBLE else "")
    gateways[1].start()

    def write_again():
        time.sleep(WRITE_AGAIN_S)
        put_config(5, [standins.KEY])
        case.note("operator: version 5 is written again")

    writer = threading.Thread(target=write_again)
    writer.start()
    until = time.monotonic() + 4
    n = 0
    while time.monotonic() < until:
        n += 1
        for gateway in gateways:
            request_id = "%s-%d" % (gateway.name[-1], n)
            sent[request_id] = time.monotonic()
            try:
                standins.call(gateway.address, "GET", "/reads/x", timeout=2, request_id=request_id,
                              key=OLD_KEY, deadline_ms=1500)
            except OSError:
                pass
        time.sleep(0.02)
    writer.join()
    late = [i for i in sorted(runs, key=runs.get) if sent[i] > withdrawn_at + REVOKE_S]
    for request_id in late[:1] + late[-1:]:
        case.note("request %s, sent %.2f s after the key was withdrawn, ran", request_id,
                  sent[request_id] - withdrawn_at)
    case.note("%d requests with the withdrawn key ran, sent later than revokeMs", len(late))
    return len(late) > 0


standins.Case(HERE).run(main)
