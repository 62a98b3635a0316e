"""A query tier that draws one whole, current answer from many shards."""

__version__ = "0.1.0"
