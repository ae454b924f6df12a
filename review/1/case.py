"""Discovery is slow: the event bus begins its response some seconds after each request."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
from platform_kit import *  # noqa: E402,F403

RESPONSE_AFTER = float(os.environ.get("RESPONSE_AFTER", "3.0"))  # seconds; how slow discovery is, all the time
COUNTS_AS_TOLD = 4.0          # the longest span on our pages until an event counts as told
DRAIN_GRACE = 0.25            # guarantees.drain-grace-us in the settings
LIMIT = COUNTS_AS_TOLD + DRAIN_GRACE + SLACK


async def case(record, stops):
    servers = [await Server(record, f"s-{i:08x}", 0).start() for i in range(3)]
    stops.extend(server.stop for server in servers)
    first = topology(1, [server.row() for server in servers], True)
    bus = await Bus(record, [(1, first)]).start()
    bus.response_after = RESPONSE_AFTER if TROUBLE else 0.0
    manager = Manager(record, bus, [first], settings(places=2))
    stops.append(manager.stop)
    await manager.start()
    viewers = await Viewer(record, "viewers").connect(manager.port)

    async def traffic(seconds):
        until = time.time() + seconds
        while time.time() < until:
            viewers.set_up(left=4000, home=0, copies=1)  # every title lies in cell 0
            await asyncio.sleep(0.125)

    await traffic(8)  # the servers are warm, and a response of the bus has had its time
    drained = servers[0]
    drained_at = bus.publish([drained.row("draining")])
    await traffic(10)
    # An ordinary replacement: the drained server has gone, and a new one, which holds other titles, has its address.
    new = Server(record, "s-000000ff", 1)
    bus.publish([drained.row("gone")])
    drained.stop()
    await new.start(drained.port)
    stops.append(new.stop)
    replaced_at = bus.publish([new.row("ready", int(time.time() * 1000))])
    new.on_set_up = lambda link, ref, _: new.refuse(link, ref, 47)
    await traffic(12)

    late = [at for at, _ in drained.set_ups if at > drained_at + LIMIT]
    stray = [at for at, _ in new.set_ups if at > replaced_at + LIMIT]
    before = sum(at < drained_at for at, _ in drained.set_ups)
    record(f"{before} set-ups reached {drained.name} before it drained, {len(drained.set_ups) - before} later")
    record(f"{len(new.set_ups)} set-ups for titles that it does not hold reached {new.name}")
    record(f"the manager asked the event bus {len(bus.requests)} times")
    if not before:
        raise CannotRun("no set-up reached the server before it drained")
    broken = []
    if manager.ended() is not None:
        broken.append(f"the manager has ended with {manager.ended()}")
    if late:
        broken.append(f"{len(late)} set-ups reached {drained.name} later than {LIMIT:.2f} s after the event that it "
                      f"drains, the last {late[-1] - drained_at:.2f} s after it")
    if stray:
        broken.append(f"{len(stray)} set-ups reached {new.name}, which may not get them, later than {LIMIT:.2f} s after "
                      f"the event that it has the address of {drained.name}, the last {stray[-1] - replaced_at:.2f} s "
                      "after it")
    return broken


main(FOLDER, case)
