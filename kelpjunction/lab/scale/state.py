"""The state service of a scale run, in its own process: PROTOCOL's rate limits and refusals, one port per controller.

A controller is cut off by refusing all requests at its port.  Commands are
read from standard input, and figures are written to standard output.
"""

import gevent

from kelpjunction.lab.live import STEP_INTERVAL, LiveClock
from kelpjunction.lab.scale.children import CommandStream, send_to_run
from kelpjunction.lab.serving import ServedStore, serve
from kelpjunction.lab.store import StoreStandIn
from kelpjunction.leadership import LEADER_KEY
from kelpjunction.settings import StoreLimits
from kelpjunction.transport import Reply

FIGURES_INTERVAL_S = 0.5


class StateProcess:
    """The store, the port of each controller, and the controllers that are cut off."""

    def __init__(self, ports: list[int], limits: StoreLimits) -> None:
        self._store = StoreStandIn(LiveClock())
        self._store.limits = limits
        self._served = ServedStore(self._store)
        self._cut_off: set[int] = set()
        self._requests = 0
        self._servers = [serve(self._handler_for(number), port) for number, port in enumerate(ports)]

    def _handler_for(self, number: int):
        def handle(method: str, path: str, body: dict) -> Reply:
            self._requests += 1
            if number in self._cut_off:
                return Reply(503, {})
            return self._served.handle(method, path, body)

        return handle

    def handle_command(self, fields: dict) -> None:
        """Begin or end an outage, or cut off or reconnect a controller."""
        if fields["do"] == "outage":
            self._store.outage(fields["on"])
            self._served.notify_watches()
        elif fields["on"]:
            self._cut_off.add(fields["number"])
        else:
            self._cut_off.discard(fields["number"])

    def expire_leases_forever(self) -> None:
        """Expire store leases that were not renewed, and notify the watches."""
        while True:
            gevent.sleep(STEP_INTERVAL.total_seconds())
            self._store.expire_leases()
            self._served.notify_watches()

    def send_figures_forever(self) -> None:
        """Write the service's counts and the leader's name to the run every `FIGURES_INTERVAL_S`."""
        while True:
            gevent.sleep(FIGURES_INTERVAL_S)
            leader = self._store.data.get(LEADER_KEY)
            figures = {
                "changes": self._store.applied_changes,
                "requests": self._requests,
                "refused": self._store.rejected_requests,
                "keys": len(self._store.data),
                "leader": leader[0]["node"] if leader else None,
            }
            send_to_run(figures)


def main() -> None:
    """Read the ports and limits from the first line, then serve until the commands end."""
    commands = CommandStream()
    process = StateProcess(commands.first["ports"], StoreLimits(**commands.first["limits"]))
    commands.run(process.handle_command, process.expire_leases_forever, process.send_figures_forever)


if __name__ == "__main__":
    main()
