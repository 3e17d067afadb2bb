"""Cuts one of two regions off from the other: hosts from each other and from upstreams.

All hosts still reach the store, and callers reach all hosts.
"""

import asyncio
import json
from dataclasses import dataclass

# The regions of availability zones.
REGIONS = {"hall-a": "north", "hall-b": "south", "hall-c": "south"}


@dataclass(frozen=True)
class RegionCut:
    """The times of a cut, in seconds of the event loop's clock."""

    began: float
    ended: float


class Regions:
    """The hosts and upstreams of a site by region."""

    def __init__(self, site):
        self._site = site

    def list_names(self):
        """Return the names of the hosts by region."""
        return {
            region: [host.name for host in self.list_hosts(region)]
            for region in sorted(set(REGIONS.values()))
        }

    def list_hosts(self, region):
        hosts = self._site.hosts.values()
        return [host for host in hosts if REGIONS[host.settings["zone"]] == region]

    async def cut(self, seconds):
        """Cut the regions off from each other for some seconds; return the times."""
        loop = asyncio.get_running_loop()
        self._start_cut()
        began = loop.time()
        await asyncio.sleep(seconds)
        ended = loop.time()
        self._end_cut()
        return RegionCut(began, ended)

    def _start_cut(self):
        for region in set(REGIONS.values()):
            others = set(REGIONS.values()) - {region}
            ips = [host.settings["ip"] for other in others for host in self.list_hosts(other)]
            addresses = [address for other in others for address in self._list_addresses(other)]
            for host in self.list_hosts(region):
                host.unreachable_file.write_text(json.dumps([*ips, *addresses]))
                self._site.cuts.start_part(host.name, addresses)

    def _end_cut(self):
        for host in self._site.hosts.values():
            host.unreachable_file.unlink(missing_ok=True)
            self._site.cuts.end_part(host.name)

    def _list_addresses(self, region):
        """Return the addresses of the upstreams of a region."""
        return [
            self._site.addresses[name]
            for name, upstream in self._site.upstreams.items()
            if REGIONS[upstream.zone] == region
        ]
