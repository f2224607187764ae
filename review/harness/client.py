"""A sound client: one attempt on a connection of its own or on a kept one."""

import asyncio
import random

import wire

HOST = "ficu95.example"


def note(*parts):
    """Writes to the record of the case, once the case has set it."""


class Answer:
    def __init__(self):
        self.status, self.complete, self.fields, self.body, self.read = 0, False, {}, b"", False


def new_id():
    return f"{random.getrandbits(64):016x}"


async def attempt(ip, method, target, fields, body=b"", deadline_s=6.0, kept=None, port=8149):
    """Returns the answer and, if it may be used again, its connection. Status 0: no answer came."""
    answer = Answer()
    writer = None
    id = fields.get("X-Request-Id", "-")
    note("sent", id, method, target, "to", ip, "on a kept connection" if kept else "on a new connection", "bytes",
         len(body), "program", fields.get("X-Program-Id", "-"), "previous", fields.get("X-Previous-Turn", "-"))
    try:
        if kept is None:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port, limit=1 << 24), 1)
        else:
            reader, writer = kept
        head = {"Host": HOST} | fields | {"X-Deadline-Ms": int(deadline_s * 1000)}
        writer.write(wire.request(method, target, head, body))

        async def receive():
            await writer.drain()
            message = await wire.read_head(reader)
            if message is None:
                return
            answer.status, answer.fields = message.status, message.fields
            async for piece in wire.pieces(reader, message.fields):
                answer.body += piece
            answer.complete = True

        await asyncio.wait_for(receive(), deadline_s)
    except (OSError, wire.Lost, asyncio.TimeoutError):
        pass
    note("answered", id, answer.status or "nothing", "whole" if answer.complete else "cut", "bytes", len(answer.body),
         "signature", answer.fields.get("x-response-signature", "-"), "retry-after", answer.fields.get("retry-after", "-"))
    if writer is not None and (not answer.complete or answer.fields.get("connection") == "close"):
        wire.reset(writer)
        writer = None
    return answer, (reader, writer) if writer is not None else None
