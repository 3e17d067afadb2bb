"""Small pages for the platform and for operators: readiness, metrics, a dump of the state."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.caller import IncomingRequest, Reply, RequestHandler


@dataclass(frozen=True)
class Page:
    """One page's answer."""

    status: int
    content_type: bytes = b"text/plain"
    content: bytes = b""


class PageHandler(RequestHandler):
    """Serves pages by path."""

    def __init__(self, pages: Mapping[bytes, Callable[[], Page]]) -> None:
        """Serve each path by its function."""
        self._pages = pages

    def limits(self) -> Limits:
        """Return the usual limits."""
        return Limits()

    async def handle(self, request: IncomingRequest, reply: Reply) -> None:
        """Answer with a page, or 404."""
        make = self._pages.get(request.head.target.partition(b"?")[0])
        page = make() if make else Page(404)
        headers = [(b"Content-Type", page.content_type)]
        await reply.send_whole(page.status, headers, page.content)
