"""Further addresses of the fake store, each for one host."""

from typing import Any

from eventlet import event

from corianderrill.standins import loopback, platform


class StoreAddress(loopback.LoopbackServer):
    """An address of a store at which replies can be lost, and at others not.

    A call whose reply is lost is carried out. Its connection stays open and returns
    nothing further. `lost_paths` and `answered_paths` are those of calls.
    """

    def __init__(self, store: platform.FakeStore) -> None:
        self._store = store
        self._is_losing = False
        self.lost_paths: list[str] = []
        self.answered_paths: list[str] = []
        super().__init__()

    def begin_loss(self) -> None:
        """Lose each reply that is due from now on."""
        self._is_losing = True

    def end_loss(self) -> None:
        """Send the replies that are due from now on."""
        self._is_losing = False

    def handle_request(self, environ: dict[str, Any]) -> loopback.HttpResponse:
        """Answer a call as the store does, unless its reply is lost."""
        response = self._store.handle_request(environ)
        path = environ["PATH_INFO"]
        if self._is_losing:
            self.lost_paths.append(path)
            event.Event().wait()
        self.answered_paths.append(path)
        return response
