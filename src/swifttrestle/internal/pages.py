"""Request handler for small pages, such as readiness, metrics and the state dump."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.caller import IncomingRequest, RequestHandler, ResponseWriter


@dataclass(frozen=True)
class Page:
    """The response of one page."""

    status: int
    content_type: bytes = b"text/plain"
    content: bytes = b""


Action = Callable[[bytes], Page]


class PageHandler(RequestHandler):
    """Serves pages by path and runs actions on POST."""

    def __init__(
        self,
        pages: Mapping[bytes, Callable[[], Page]],
        actions: Mapping[bytes, Action] | None = None,
    ) -> None:
        """Map paths to page functions; `actions` are called with the query string of a POST."""
        self._pages = pages
        self._actions = actions or {}

    def limits(self) -> Limits:
        """Return the default limits."""
        return Limits()

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Respond with the page, 404 for an unknown path, or 405 for an action without POST."""
        page = self._find_page(request)
        headers = [(b"Content-Type", page.content_type)]
        await reply.send_whole(page.status, headers, page.content)

    def _find_page(self, request: IncomingRequest) -> Page:
        path, _, query = request.head.target.partition(b"?")
        action = self._actions.get(path)
        if action is not None:
            return action(query) if request.head.method == b"POST" else Page(405)
        make_page = self._pages.get(path)
        return make_page() if make_page else Page(404)
