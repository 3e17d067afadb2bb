"""Cuts hosts from all upstreams, while callers, the store and peers still reach them."""

from dataclasses import dataclass

from swifttrestle_standins.hosted.cuts import Cut
from tests.soak.gateway import read_dialed


@dataclass(frozen=True)
class HostCut:
    """A cut of one host, and the ends of its connections from before."""

    form: Cut
    ends: frozenset[tuple[int, int]]


class HostCuts:
    """The cut hosts, and whose connections the proxies have.

    A proxy can't refuse the connections of one host alone, which its dialer does; the proxies hold
    or reset those from before.
    """

    def __init__(self, hosts):
        """Cut the gateways `hosts`, which may be added later, by name."""
        self._hosts = hosts
        self._proxies = []
        self._cuts = {}
        # Cuts of a host from some upstreams only, by host.
        self._parts = {}

    def add_proxy(self, proxy):
        self._proxies.append(proxy)

    @property
    def hosts(self):
        """The names of the cut hosts."""
        return set(self._cuts)

    def find_form(self, ends):
        """Return the form of the cut that a connection with these ends is from before, or None."""
        cuts = (*self._cuts.values(), *self._parts.values())
        return next((cut.form for cut in cuts if ends in cut.ends), None)

    def find_host(self, ends):
        """Return the name of the host that dialed the connection with these ends, or None."""
        dialed = self._list_dialed()
        return dialed[ends][1] if ends in dialed else None

    def start(self, host, form):
        self._hosts[host].cut_file.write_text(form.name)
        # The host's dialer has listed all connections that it made before it saw the file.
        self._cuts[host] = HostCut(form, self._list_ends(host))
        for proxy in self._proxies:
            proxy.apply_cuts()

    def end(self, host):
        self._hosts[host].cut_file.unlink()
        del self._cuts[host]
        for proxy in self._proxies:
            proxy.note_change()

    def start_part(self, host, addresses):
        """Hold the connections of a host to some upstreams; its dialer must refuse new ones."""
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        ends = frozenset(ends for ends in self._list_ends(host) if ends[1] in ports)
        self._parts[host] = HostCut(Cut.HANG, ends)

    def end_part(self, host):
        del self._parts[host]
        for proxy in self._proxies:
            proxy.note_change()

    def _list_ends(self, host):
        """Return the ends of the connections that a host dialed."""
        return frozenset(ends for ends, (_, name) in self._list_dialed().items() if name == host)

    def _list_dialed(self):
        """Return the time and the host of the last connection with each pair of ends."""
        dialed = {}
        for name, host in self._hosts.items():
            for ends, at in read_dialed(host.dialed_file).items():
                dialed[ends] = max(dialed.get(ends, (at, name)), (at, name))
        return dialed
