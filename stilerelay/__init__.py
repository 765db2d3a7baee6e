"""stilerelay: delivery decisions for a forwarder of outbound messages."""

from stilerelay.control import Controller

__all__ = ["Controller"]
