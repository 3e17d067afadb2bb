"""Cancellation of tasks that wait for a connection."""

import asyncio

import pytest

from swifttrestle.internal.transport.upstream import UpstreamConnection


def test_a_cancellation_is_not_lost_when_the_sender_ends_at_the_same_time():
    async def check():
        connection = UpstreamConnection()
        sender = asyncio.get_running_loop().create_future()
        connection._sender = sender
        task = asyncio.ensure_future(connection.finish(5.0))
        await asyncio.sleep(0)
        sender.set_result(None)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(check())
