"""A minimal switch and change log for trying a router by hand; every call is answered and held for 2 s."""

from __future__ import annotations

import asyncio
import json

HOLD_S = 2.0


async def switch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    def send(msg: str, sid: str, **more: object) -> None:
        writer.write(json.dumps({"msg": msg, "sid": sid, "attrs": {}, **more}).encode() + b"\n")

    send("status", "", attrs={"load": "x0:30;x1:30"})
    standing: set[str] = set()

    def end_call(sid: str) -> None:
        if sid in standing:
            standing.remove(sid)
            print("over", sid, flush=True)
            send("close", sid, code=16)

    while line := await reader.readline():
        message = json.loads(line)
        print(message["msg"], message["sid"], message.get("text", ""), flush=True)
        if message["msg"] == "open":
            standing.add(message["sid"])
            send("ready", message["sid"], text="bin 17\r\n")
            asyncio.get_running_loop().call_later(HOLD_S, end_call, message["sid"])
        elif message["msg"] == "close":
            standing.discard(message["sid"])
    writer.close()


async def change_log(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers every request with an empty list of changes after the requested timeout."""
    while line := await reader.readline():
        if line.startswith(b"GET"):
            await asyncio.sleep(int(line.partition(b"timeout=")[2].split()[0]) / 1000)
            body = b'{"seq":1,"results":[]}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    writer.close()


async def main() -> None:
    servers = [
        await asyncio.start_server(switch, "127.0.0.1", 7101),
        await asyncio.start_server(change_log, "127.0.0.1", 7102),
    ]
    await asyncio.gather(*(server.serve_forever() for server in servers))


asyncio.run(main())
