"""A task that is cancelled ends, whatever it waits for."""

import asyncio

import pytest

from swifttrestle.internal.transport.upstream import UpstreamConnection


def test_a_task_that_is_cancelled_as_its_request_has_been_sent_ends():
    async def story():
        connection = UpstreamConnection()
        sender = asyncio.get_running_loop().create_future()
        connection._sender = sender
        task = asyncio.ensure_future(connection.finish(5.0))
        await asyncio.sleep(0)
        sender.set_result(None)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(story())
