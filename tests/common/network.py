"""A simulated network that carries hosts' datagrams, in virtual time."""

import asyncio
import random

from swifttrestle.internal.state.members import Member

# Maximum delay of a datagram in seconds.
DATAGRAM_SECONDS = 0.02


class Network:
    """Carries datagrams between hosts by their IPs."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.receivers = {}
        self.lost_share = 0.0
        self.cut = set()
        self.sent = 0
        self.bytes = 0

    def send(self, source, target, data):
        self.sent += 1
        self.bytes += len(data)
        if self.rng.random() < self.lost_share or (source in self.cut) != (target in self.cut):
            return
        delay = self.rng.uniform(0.001, DATAGRAM_SECONDS)
        asyncio.get_running_loop().call_later(delay, self.receivers[target], data, source)


class Socket:
    """One host's end of the network."""

    def __init__(self, network, ip):
        self.network = network
        self.ip = ip

    def set_receiver(self, _, receiver):
        self.network.receivers[self.ip] = receiver

    def send(self, ip, _, data):
        self.network.send(self.ip, ip, data)


def make_members(count):
    """Return hosts in three zones."""
    return tuple(
        Member(f"h{n}", f"10.0.{n // 250}.{n % 250}", f"z{n % 3}", 1000.0) for n in range(count)
    )
