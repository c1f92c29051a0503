"""The store turns one gateway away for some seconds, while configurations come in quick succession and one of them takes a key away.
When the gateway reaches the store again, it reads what it missed in several pages."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
from platform2 import Proxy, REVOKE_S, configuration, is_trouble, route, run_case  # noqa: E402

AWAY_S = 9.0  # the site file plays platform_down "nodes ..." for 9 s
ROUTES = 350  # and big_config with count 350
STORM_S, STORM_GAP_S = 2.0, 0.08  # and config_storm with for_s 2 and gap_s 0.08
CLIENTS = 6
WITHDRAWN, KEPT = "key-withdrawn", "key-kept"


async def case(fleet):
    store, record = fleet.store, fleet.record
    await fleet.start_store()
    routes = [route("status", "/status/", "desk", "safe"), route("filing", "/filing/", "desk", "unsafe")]
    routes += [route("more-%03d" % number, "/more-%03d/" % number, "desk", "safe") for number in range(ROUTES)]
    version = 7

    def publish(keys, more):
        nonlocal version
        version += 3
        added = [route("late-%03d" % number, "/late-%03d/" % number, "desk", "safe") for number in range(more)]
        store.put("config", "main", configuration(version, routes + added, ["desk"], {"tenant-a": keys}))
        return record.now()

    publish([KEPT, WITHDRAWN], 0)
    for index in range(3):
        await fleet.add_replica("desk", index)
    proxy = Proxy(store.address)
    await proxy.start()
    fleet.make_gateways([store.address] * (fleet.count - 1) + [proxy.address])
    gateway = fleet.gateways[-1]
    await fleet.start_gateways()
    await asyncio.sleep(3)

    cut_at = record.now()
    if is_trouble():
        proxy.refuse()
        record.line("the store turns", gateway.name, "away")
    added = 0
    while record.now() < cut_at + 0.1 + STORM_S:
        added += 1
        publish([KEPT, WITHDRAWN], added)
        await asyncio.sleep(STORM_GAP_S)
    record.line(added, "configurations in quick succession, newest", version)
    acked = publish([KEPT], added)
    record.line("configuration", version, "takes", WITHDRAWN, "away: acknowledged")

    sent = {}

    async def client(number):
        while record.now() < cut_at + AWAY_S + 3:
            path = "/filing/%d" % number if number % 2 else "/status/%d" % number
            answer = await fleet.request(gateway, "GET", path, WITHDRAWN)
            sent[answer.id] = (answer.sent_at, answer.status)
            await asyncio.sleep(0.02)

    await asyncio.sleep(cut_at + AWAY_S - 0.5 - record.now())
    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(cut_at + AWAY_S - record.now())
    proxy.heal()
    record.line("the store serves", gateway.name, "again")
    await asyncio.gather(*clients)
    for replica in fleet.replicas:
        for _, identity, _, _ in replica.runs:
            if identity in sent and sent[identity][0] > acked + REVOKE_S:
                at, status = sent[identity]
                fleet.report("request %s with the withdrawn key, sent %.3f s after the ack, ran; answered %s"
                             % (identity, at - acked, status))


run_case(HERE, case, count=4)
