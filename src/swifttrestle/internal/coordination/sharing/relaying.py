"""Both sides of relayed connections on one host: its own through peers, and those of peers."""

import random
from collections.abc import Callable, Sequence

from swifttrestle.internal.coordination.membership.peer_listener import PeerListener
from swifttrestle.internal.coordination.sharing.relay_server import RelayServer
from swifttrestle.internal.coordination.sharing.relayed_paths import RelayedPaths
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.protocol.relays import RELAY_WORD
from swifttrestle.internal.state.members import Member


class Relaying:
    """The relayed connections of one gateway."""

    def __init__(
        self,
        local_member: Member,
        port: int,
        listener: PeerListener,
        state: GatewayState,
        list_members: Callable[[], Sequence[Member]],
        rng: random.Random,
    ) -> None:
        """Make the connections of the state's pool, and relay those that come to `listener`."""
        self.own = RelayedPaths(
            local_member, port, state.pool, state.fleet, list_members, state.metrics, rng
        )
        self.server = RelayServer(
            state.fleet,
            lambda: state.pool.dialer,
            self.own.paths.is_cut,
            list_members,
            state.metrics,
        )
        listener.set_handler(RELAY_WORD, self.server.serve)
