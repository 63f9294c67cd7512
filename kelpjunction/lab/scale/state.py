"""The state service of a scale run, in a process of its own: PROTOCOL's rates and refusals, a port for each controller.

A controller is cut from it by refusing what comes in at that controller's
port.  Orders come on standard input, figures go to standard output.
"""

import gevent

from kelpjunction.lab.live import STEP_INTERVAL, LiveClock
from kelpjunction.lab.scale.children import CommandStream, tell
from kelpjunction.lab.serving import ServedStore, serve
from kelpjunction.lab.store import StoreStandIn
from kelpjunction.leadership import LEADER_KEY
from kelpjunction.settings import StoreLimits
from kelpjunction.transport import Reply

TELL_EVERY_S = 0.5


class StateProcess:
    """The store, its ports, and who is cut from it."""

    def __init__(self, ports: list[int], limits: StoreLimits) -> None:
        self._store = StoreStandIn(LiveClock())
        self._store.limits = limits
        self._served = ServedStore(self._store)
        self._cut: set[int] = set()
        self._requests = 0
        self._servers = [serve(self._door(number), port) for number, port in enumerate(ports)]

    def _door(self, number: int):
        def handle(method: str, path: str, body: dict) -> Reply:
            self._requests += 1
            if number in self._cut:
                return Reply(503, {})
            return self._served.handle(method, path, body)

        return handle

    def handle_command(self, fields: dict) -> None:
        """An outage begins or ends, or a controller is cut off or let in again."""
        if fields["do"] == "outage":
            self._store.outage(fields["on"])
            self._served.notify_watches()
        elif fields["on"]:
            self._cut.add(fields["number"])
        else:
            self._cut.discard(fields["number"])

    def tick_forever(self) -> None:
        """End leases that were not renewed, and let watches see it."""
        while True:
            gevent.sleep(STEP_INTERVAL.total_seconds())
            self._store.expire_leases()
            self._served.notify_watches()

    def tell_forever(self) -> None:
        """Write what was asked of the service and who leads."""
        while True:
            gevent.sleep(TELL_EVERY_S)
            lead = self._store.data.get(LEADER_KEY)
            figures = {
                "changes": self._store.applied_changes,
                "requests": self._requests,
                "refused": self._store.rejected_requests,
                "keys": len(self._store.data),
                "leader": lead[0]["node"] if lead else None,
            }
            tell(figures)


def main() -> None:
    """Be told the ports and rates, and then obey until there are no more orders."""
    orders = CommandStream()
    process = StateProcess(orders.first["ports"], StoreLimits(**orders.first["limits"]))
    orders.run(process.handle_command, process.tick_forever, process.tell_forever)


if __name__ == "__main__":
    main()
