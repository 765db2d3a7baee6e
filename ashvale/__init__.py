"""ashvale: a courier daemon; the module with its delivery decisions can be used alone."""

from ashvale.control import Controller

__all__ = ["Controller"]
