"""A tenth of the video servers goes silent while the manager holds all the connections to servers that it may."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
from platform_kit import *  # noqa: E402,F403

SERVERS = int(os.environ.get("SERVERS", "160"))  # STANDING.md: up to 200
DESCRIPTORS = 256                                # DAYS.md: 256 to 1,024
TOLD_EVERY = 2.4                                 # seconds between a server's notes; wadi-lane-replays: 2.4 to 4.9
AT_ALL_AFTER = 8.0                               # PROTOCOL.md: "within 8 s of its end"
SILENT_FOR = 20.0                                # palgakoda-media: 8.2 to 30 s, up to 20% of the boxes


async def case(record, stops):
    servers = [await Server(record, f"s-{i:08x}", i).start() for i in range(SERVERS)]
    stops.extend(server.stop for server in servers)
    lost = servers[:: 10]
    paths = {server.name: await Path(record, server).start() for server in lost}
    rows = [paths[server.name].row() if server in lost else server.row() for server in servers]
    first = topology(1, rows, True)
    bus = await Bus(record, [(1, first)]).start()
    options = settings(places=SERVERS, specifics__told_every_us=int(TOLD_EVERY * 1e6), specifics__shelves=16)
    manager = Manager(record, bus, [first], options, DESCRIPTORS)
    stops.append(manager.stop)
    await manager.start()
    viewers = [await Viewer(record, f"viewers-{i}").connect(manager.port) for i in range(4)]

    async def notes():
        while True:
            await asyncio.sleep(TOLD_EVERY)
            for server in servers:
                server.tell()

    others = asyncio.ensure_future(notes())
    for i in range(300):  # 25 set-ups a second; each title lies on three servers
        viewers[i % 4].set_up("ticket" if i % 4 == 0 else "clip", home=(i * 7) % SERVERS, copies=3)
        await asyncio.sleep(0.04)
    await asyncio.sleep(1.0)
    connections = sum(len(server.links) for server in servers)
    standing = sum(len(server.sessions) for server in servers)
    refs = {ref: server for server in lost for ref in server.sessions}
    record(f"{standing} sessions stand at {sum(bool(server.sessions) for server in servers)} servers; the manager holds "
           f"{connections} connections to servers; {len(refs)} sessions at the {len(lost)} that go silent")
    if not refs:
        raise CannotRun("no session stands")
    ended_at = time.time()
    if TROUBLE:
        for server in lost:
            await paths[server.name].vanish()
            server.sessions = {}  # they are over: the machine is lost
        await asyncio.sleep(SILENT_FOR)
    else:
        for ref, server in refs.items():
            server.end(ref)
        await asyncio.sleep(2.0)
    others.cancel()
    late = []
    for ref in refs:
        told = [at - ended_at for viewer in viewers for at, _, message in viewer.lines
                if message["ref"] == ref and message["t"] == "down"]
        record(f"{ref} was released {told[0]:.2f} s after its end" if told else f"{ref} was not released")
        if not told or told[0] > AT_ALL_AFTER + SLACK:
            late.append(told[0] if told else None)
    broken = []
    if late:
        never = sum(at is None for at in late)
        broken.append(f"{len(late)} of {len(refs)} sessions that are over were not released towards their viewers within "
                      f"{AT_ALL_AFTER + SLACK:.2f} s, {never} of them not within {SILENT_FOR:.0f} s")
    if manager.ended() is not None:
        broken.append(f"the manager has ended with {manager.ended()}")
    return broken


main(FOLDER, case)
