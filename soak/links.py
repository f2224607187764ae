"""Loopback links between processes that can be delayed, reset, cut one way or both, or silenced."""

import asyncio

import http_wire as http

PIECE = 16384


class Link:
    """Forwards connections from its own address to a target.

    `mode`: ok, delay, cut (nothing passes in either direction), one_way (nothing passes back). `silence` makes the open
    connections silent for good while new ones work; `reset` ends them.
    """

    DELAY_S = 0.08

    def __init__(self, target):
        self.target = target
        self.mode = "ok"
        self.pairs = {}
        self.silenced = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.accept, ip, port)
        self.address = f"{ip}:{port}"

    async def accept(self, reader, writer):
        await self.open()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            http.abort(writer)
            return
        number = object()
        self.pairs[number] = (writer, far_writer)
        try:
            await asyncio.gather(self.pump(number, reader, far_writer, False), self.pump(number, far_reader, writer, True))
        finally:
            self.pairs.pop(number, None)
            http.abort(writer)
            http.abort(far_writer)

    async def open(self):
        """Waits until the link passes bytes."""
        while self.mode == "cut":
            await asyncio.sleep(0.05)

    async def pump(self, number, reader, writer, back):
        try:
            while piece := await reader.read(PIECE):
                if self.mode == "delay":
                    await asyncio.sleep(self.DELAY_S)
                while number in self.silenced or self.mode == "cut" or (back and self.mode == "one_way"):
                    await asyncio.sleep(0.05)
                    # Bytes that are held up are lost when their sender resets the connection.
                    if reader.exception() is not None:
                        raise reader.exception()
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # A reset on one side is a reset on the other.
            for each in self.pairs.get(number, ()):
                http.abort(each)

    def reset(self):
        for pair in self.pairs.values():
            for writer in pair:
                http.abort(writer)

    def silence(self):
        self.silenced.update(self.pairs)
