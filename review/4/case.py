"""Machines are added as the store comes back from a copy of before a key was withdrawn."""

import asyncio
import os
import random
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(HERE))

from standins_2 import Engine, Gateway, Store, config, now, request  # noqa: E402

PROGRAM = os.path.join(HERE, "..", "..", "target", "gateway", "alderturn-gateway")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
REVOKE_S = 5.0  # the bound revokeMs

# Times in seconds from the start of traffic.
WITHDRAW_AT = 27.0
DRILL_AT = 32.3
AWAY_S = 0.3
COPY_AGE_S = 5.8
ADD_AT = DRILL_AT + AWAY_S
WRITE_AGAIN_AT = ADD_AT + 1.0
END_AT = 35.5

# Between two requests with the withdrawn key at one instance.
INTERVAL_S = 0.05


class Case:
    def __init__(self):
        self.net = "127.%d.%d" % (random.randint(60, 120), random.randint(1, 250))
        self.base = random.randint(20000, 40000)
        self.folder = tempfile.mkdtemp()
        self.lines = []
        self.sent = {}
        self.begun = 0
        self.withdrawn_at = None
        self.number = 0

    def note(self, text):
        self.lines.append("%8.3f %s" % (now() - self.begun if self.begun else 0, text))

    def gateway(self, number):
        return Gateway(number, "%s.%d" % (self.net, 100 + number), self.base, PROGRAM, self.folder,
                       self.store, zone=ZONES[number % 3])

    async def start(self):
        self.store = Store(self.net + ".1", self.base)
        await self.store.start()
        self.engines = [Engine("%s.%d" % (self.net, 10 + i), self.base, "i-desk%d" % i, "desk",
                               self.store, zone=zone) for i, zone in enumerate(ZONES)]
        self.store.put("op", "config", config(5, [["key-a"], ["key-b"]]))
        for engine in self.engines:
            await engine.start()
        self.gateways = [self.gateway(i) for i in range(6)]
        for gateway in self.gateways:
            await gateway.start()
        return all([await gateway.await_ready() for gateway in self.gateways])

    def withdraw(self):
        self.store.put("op", "config", config(9, [["key-a"]]))

    async def send(self, gateway, key):
        self.number += 1
        ident = "r%05d" % self.number
        sent_at = now()
        try:
            answer = await request(gateway.front, "GET", "/desk/safe/%d" % self.number, [
                ("Host", "desk.example"), ("X-Attempt-Id", ident), ("X-Deadline-Ms", "1000"),
                ("Authorization", "Bearer " + key)], timeout_s=1.5)
            result = "answered %s" % (answer.status if answer else "closed")
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            result = "failed: %r" % error
        self.sent[ident] = (sent_at, gateway, key)
        self.note("%s sent to %s with %s at %.3f %s"
                  % (ident, gateway.name, key, sent_at - self.begun, result))

    async def call(self, gateway):
        """A caller that goes on using the withdrawn key."""
        while now() - self.begun < END_AT:
            await self.send(gateway, "key-b")
            await asyncio.sleep(INTERVAL_S)

    async def at(self, moment):
        await asyncio.sleep(max(self.begun + moment - now(), 0))

    async def play(self):
        self.begun = now()
        callers = [asyncio.ensure_future(self.call(gateway)) for gateway in self.gateways[:2]]
        await self.at(WITHDRAW_AT)
        self.withdraw()
        self.withdrawn_at = now()
        self.note("the store acknowledges version 9, which withdraws key-b")
        await self.at(DRILL_AT)
        if TROUBLE:
            self.note("the store is away, and comes back from a copy %.1f s old" % COPY_AGE_S)
            await self.store.restore(COPY_AGE_S, AWAY_S)
        await self.at(ADD_AT)
        added = [self.gateway(number) for number in (6, 7)]
        self.gateways += added
        for gateway in added:
            await gateway.start()
            self.note("%s is started" % gateway.name)
        callers += [asyncio.ensure_future(self.call(gateway)) for gateway in added]
        await self.at(WRITE_AGAIN_AT)
        if TROUBLE:
            self.withdraw()
            self.note("the operator has written version 9 again")
        await asyncio.gather(*callers)
        for gateway in added:
            await self.send(gateway, "key-a")

    def judge(self):
        """CONFIG, strictRevoke: requests that were sent later than the bound, and ran."""
        runs = {run["id"]: run for engine in self.engines for run in engine.runs}
        late = [ident for ident, (sent_at, _, key) in self.sent.items()
                if key == "key-b" and sent_at - self.withdrawn_at > REVOKE_S and ident in runs]
        served = sum(key == "key-a" and ident in runs for ident, (_, _, key) in self.sent.items())
        for ident in late:
            sent_at, gateway, _ = self.sent[ident]
            self.note("%s ran, sent %.3f s after the withdrawal, by way of %s"
                      % (ident, sent_at - self.withdrawn_at, gateway.name))
        self.note("%d requests with the withdrawn key sent after the bound, %d of them ran; the key "
                  "that is in force works at %d of 2 added machines"
                  % (sum(key == "key-b" and at - self.withdrawn_at > REVOKE_S
                         for at, _, key in self.sent.values()), len(late), served))
        return 1 if late else 0 if served == 2 else 2

    async def stop(self):
        for gateway in getattr(self, "gateways", []):
            await gateway.kill()
        for engine in getattr(self, "engines", []):
            if engine.beat is not None:
                engine.beat.cancel()
            await engine.stop()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


async def main():
    case = Case()
    result = 2
    try:
        if await case.start():
            await case.play()
            result = case.judge()
        else:
            case.note("the gateways did not become ready")
    finally:
        await case.stop()
        with open(os.path.join(HERE, "record.txt"), "w") as file:
            file.write("\n".join(case.lines) + "\n")
    print(case.lines[-1])
    return result


try:
    sys.exit(asyncio.run(main()))
except OSError as error:
    print(error)
    sys.exit(2)
