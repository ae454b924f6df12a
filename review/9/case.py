"""Bad clients: two requests under one number, figures out of range, a tenant that does not exist."""
import os
import sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from platform2 import *

TITLE = "7f3a9c21e0b4d655"


async def case(record):
    servers = [VideoServer(record, f"s-{i:08x}", i, 3.75) for i in range(3)]
    bus = Bus(record, [server.member() for server in servers])
    await bus.start()
    manager = Manager(record, bus, settings())  # three cells, a ladder of four rungs, no tenants
    broken = []
    try:
        await manager.start()
        await asyncio.sleep(1)
        good = Viewer(record, "viewer", manager)
        await good.connect()
        for package in ("race-replay", "ticket-replay"):
            each = ref()
            good.set_up(each, package, TITLE, 4000)
            answers = await good.wait(each)
            if [got["t"] for _, got in answers] != ["up"]:
                raise CannotRun("a viewer was not served")
        if TROUBLE:
            forms = [
                ("two requests under one number", [dict(), dict(description="another\r\n")]),
                ("home: a cell that does not exist", [dict(extras="home:4000000000;copies:3;top:3")]),
                ("copies: more cells than there are", [dict(extras="home:0;copies:4000000000;top:3")]),
                ("top: a rung that does not exist", [dict(extras="home:0;copies:3;top:4000000000")]),
                ("a tenant that does not exist", [dict(tenant="nobody")]),
            ]
            for package in ("race-replay", "ticket-replay"):
                for form, requests in forms:
                    bad = Viewer(record, "bad client", manager)
                    await bad.connect()
                    each = ref()
                    lines = [json.dumps(bad.set_up_line(each, package, TITLE, 4000, **request)) for request in requests]
                    bad.send_raw("".join(line + "\n" for line in lines).encode(), f"sent, {form}: " + " ".join(lines))
                    answers = [got for _, got in await bad.wait(each, 2, 3.0)]
                    if any(got["t"] == "up" for got in answers):
                        said = ", then ".join(
                            "served" if got["t"] == "up" else f"down with cause {got.get('c')}" for got in answers)
                        broken.append(f"lost: a bad client ({form}, {package}) was answered: {said}")
                    bad.close()
        else:
            await asyncio.sleep(2)
        return broken
    finally:
        await manager.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
