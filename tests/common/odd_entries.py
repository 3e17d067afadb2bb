"""Entries of the discovery list that another writer has spoilt, as raw bytes."""

import orjson

# Address of no upstream; the entries of a test belong to a service that it doesn't use.
ADDRESS = "127.0.0.9:9"
SPEC = {
    "service": "others",
    "address": ADDRESS,
    "zone": "hall-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "phase": "decode",
    "models": [],
    "seq": 7,
    "born": 1764720000000,
}
METADATA = {"revision": 1, "created": "2025-12-03T00:00:00Z", "finalizers": []}


def nest_lists(levels):
    return b"[" * levels + b"]" * levels


def nest_objects(levels):
    return b'{"a":' * levels + b"1" + b"}" * levels


def write_fields(fields):
    """Return a JSON object of fields; a value in bytes is JSON already."""
    parts = [
        orjson.dumps(name) + b":" + (value if isinstance(value, bytes) else orjson.dumps(value))
        for name, value in fields.items()
    ]
    return b"{" + b",".join(parts) + b"}"


def write_entry(name, spec=None, metadata=None, **others):
    """Return an entry with some fields replaced; values in bytes are JSON already."""
    written = write_fields({**METADATA, "name": name, **(metadata or {})})
    if not isinstance(spec, bytes):
        spec = write_fields({**SPEC, **(spec or {})})
    return write_fields({"metadata": written, "spec": spec, "status": None, **others})


# Levels around the limits of decoders and of the interpreter's stack.
LEVELS = (90, 110, 250, 260, 500, 800, 900, 930, 960, 990, 1010, 1018, 1021, 1030, 5000, 100_000)
LARGE_NUMBERS = {
    "2**63": b"9223372036854775808",
    "2**64": b"18446744073709551616",
    "below -2**63": b"-9223372036854775809",
    "1e30": b"1e30",
    "30 digits": b"9" * 30,
    "390 digits": b"9" * 390,
    "5000 digits": b"9" * 5000,
    "1e999": b"1e999",
    "1e308": b"1e308",
    "NaN": b"NaN",
}
ADDRESSES = {
    "port 65536": "10.0.0.1:65536",
    "port 70000": "10.0.0.1:70000",
    "port -1": "10.0.0.1:-1",
    "port 0": "10.0.0.1:0",
    "port 1": "127.0.0.1:1",
    "unspecified": "0.0.0.0:80",
    "broadcast": "255.255.255.255:80",
    "ipv6": "[::1]:80",
    "ipv6 with a scope": "fe80::1%lo:80",
    "ipv6 with a long scope": "fe80::1%" + "x" * 200 + ":80",
    "a port of 5000 digits": "10.0.0.1:" + "9" * 5000,
}


def list_odd_entries(name="odd"):
    """Return entries with one odd value each, by what is odd."""
    entries = {}
    for levels in LEVELS:
        for where in ("version", "models", "unknown"):
            entries[f"{levels} lists in {where}"] = write_entry(name, {where: nest_lists(levels)})
        entries[f"{levels} objects"] = write_entry(name, {"unknown": nest_objects(levels)})
        entries[f"{levels} lists in place of the spec"] = write_entry(name, nest_lists(levels))
        entries[f"{levels} lists in the status"] = write_entry(name, status=nest_lists(levels))
        entries[f"{levels} lists in the metadata"] = write_entry(
            name, metadata={"finalizers": nest_lists(levels)}
        )
        entries[f"{levels} lists as the name"] = write_entry(
            name, metadata={"name": nest_lists(levels)}
        )
        entries[f"{levels} lists as the revision"] = write_entry(
            name, metadata={"revision": nest_lists(levels)}
        )
        entries[f"{levels} lists in place of the entry"] = nest_lists(levels)
    for label, number in LARGE_NUMBERS.items():
        for field in ("slots", "seq", "born", "version", "leaves_ms", "unknown"):
            entries[f"{label} in {field}"] = write_entry(name, {field: number})
        entries[f"{label} as the revision"] = write_entry(name, metadata={"revision": number})
    for label, address in ADDRESSES.items():
        entries[f"address with {label}"] = write_entry(name, {"address": address})
    for field in ("service", "zone", "version", "unknown"):
        entries[f"{field} of 300000 characters"] = write_entry(name, {field: "x" * 300_000})
        entries[f"half of a pair in {field}"] = write_entry(name, {field: b'"\\ud800"'})
        entries[f"NUL in {field}"] = write_entry(name, {field: "a\0b"})
    for label, (text, written) in list_odd_names().items():
        named = {"name": written or orjson.dumps(text)}
        entries[f"name with {label}"] = write_entry(name, metadata=named)
    entries["doubled fields"] = write_entry(name)[:-1] + b',"spec":{"a":1},"spec":[],"spec":7}'
    entries["no metadata"] = b'{"spec":{}}'
    return entries


def list_odd_names():
    """Return odd names by what is odd: the text, and its JSON if that can't be written from it."""
    return {
        "slashes": ("odd/../b//", b""),
        "percent signs": ("odd%2F%00%", b""),
        "half of a pair": ("odd\ud800", b'"odd\\ud800"'),
        "no UTF-8": ("odd\udcff", b'"odd\xff"'),
        "NUL": ("odd\0", b""),
        "a line's end": ("odd\r\n", b""),
        "300 characters": ("odd" + "x" * 300, b""),
        "10000 characters": ("odd" + "x" * 10_000, b""),
        "four bytes a character": ("odd" + "\U0001f600" * 200, b""),
    }
