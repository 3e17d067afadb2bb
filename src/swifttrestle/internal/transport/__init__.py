"""Bytes on the wire: HTTP servers and clients, peer streams, the relay pump."""
