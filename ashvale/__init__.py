"""ashvale: delivery decisions for a forwarder of outbound messages."""

from ashvale.control import Controller

__all__ = ["Controller"]
