"""Exchange typed messages between routers over authenticated connections."""

from bronzeline_daemon.message_codec import MessageCodec, PeerMessageError
from bronzeline_daemon.peers.network import PeerIdentity, PeerNetwork

__all__ = ["MessageCodec", "PeerIdentity", "PeerMessageError", "PeerNetwork"]
