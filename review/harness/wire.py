"""The parts of HTTP/1.1 that the stand-ins of the review use."""

import asyncio


class Lost(Exception):
    """The connection ended before the message was complete."""


class Message:
    """Start line, header fields (names in lower case, the last of a name counts) and body."""

    def __init__(self, line, fields, body=b""):
        self.line = line
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.line[1])


async def read_head(reader):
    """Returns the head of a message; None if the connection ends before its first byte."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Lost("head") from error
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Lost(str(error)) from error
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields)


async def pieces(reader, fields):
    """Yields the body in pieces; raises Lost if it ends early."""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif length := int(fields.get("content-length", 0)):
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Lost("body") from error


async def read_message(reader):
    message = await read_head(reader)
    if message is not None:
        message.body = b"".join([piece async for piece in pieces(reader, message.fields)])
    return message


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def response(status, fields=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer):
    if writer.transport is not None:
        writer.transport.abort()
