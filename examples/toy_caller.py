"""A minimal station: places one call through the router of examples/config.json.

Prints what it receives, until the call is released.
"""

from __future__ import annotations

import asyncio
import secrets

INVITE = (
    "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n"
    "Via: SIP/2.0/TCP toy\r\n"
    "Call-ID: {call}\r\n"
    "CSeq: 1 INVITE\r\n"
    "X-Service: item-lookup\r\n"
    "X-Setup-Ms: 1500\r\n"
    "X-Route: dest:1;width:1;via:-1\r\n"
    "Content-Length: 13\r\n"
    "\r\n"
    "parcel 4711\r\n"
)


async def main() -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", 7100)
    writer.write(INVITE.format(call=secrets.token_hex(8)).encode())
    while line := await reader.readline():
        print(line.decode().rstrip(), flush=True)
        if line.startswith(b"BYE"):
            break
    writer.close()


asyncio.run(main())
