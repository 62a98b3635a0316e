"""The metrics of a gateway, as text for a scrape."""

CONTENT_TYPE = "text/plain; version=0.0.4"


def render(tools, front, client, handler):
    """Return the metrics."""
    return b""
