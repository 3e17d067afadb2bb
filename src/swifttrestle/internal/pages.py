"""Small pages for the platform and for operators: readiness, metrics, a dump of the state."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.caller import IncomingRequest, RequestHandler, ResponseWriter


@dataclass(frozen=True)
class Page:
    """One page's answer."""

    status: int
    content_type: bytes = b"text/plain"
    content: bytes = b""


Act = Callable[[bytes], Page]


class PageHandler(RequestHandler):
    """Serves pages by path, and does what operators post."""

    def __init__(
        self, pages: Mapping[bytes, Callable[[], Page]], acts: Mapping[bytes, Act] | None = None
    ) -> None:
        """Serve each path by its function; call those of `acts` with the query of a POST."""
        self._pages = pages
        self._acts = acts or {}

    def limits(self) -> Limits:
        """Return the usual limits."""
        return Limits()

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer with a page, or 404; 405 for what has to be posted."""
        page = self._find_page(request)
        headers = [(b"Content-Type", page.content_type)]
        await reply.send_whole(page.status, headers, page.content)

    def _find_page(self, request: IncomingRequest) -> Page:
        path, _, query = request.head.target.partition(b"?")
        act = self._acts.get(path)
        if act is not None:
            return act(query) if request.head.method == b"POST" else Page(405)
        make = self._pages.get(path)
        return make() if make else Page(404)
