"""The network between the machines and one worker: a proxy at the address that the worker has in the store.

While it is cut, what is sent on open connections is held up, and what the other side does isn't seen; new connections are
refused. When the cut heals, the held bytes arrive, and then the end of the connection if its sender has closed it
(DEPLOY.md: bytes that are held up by a partition are lost only if their sender resets the connection or loses power)."""

import asyncio

import wire


class Link:
    def __init__(self, address, target):
        self.address, self.target = address, target
        self.passes = asyncio.Event()
        self.passes.set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.address)

    def cut(self):
        self.passes.clear()
        self.server.close()

    async def heal(self):
        self.passes.set()
        await self.start()

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            wire.reset(writer)
            return
        for pair in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self.forward(*pair))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
            await self.passes.wait()
            writer.close()
        except OSError:
            await self.passes.wait()
            wire.reset(writer)
        except asyncio.CancelledError:
            pass

    def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
