"""Malformed records of workers, waves and configurations, as another writer may leave them."""

from __future__ import annotations

import random

import msgspec

RECORD: dict[str, object] = {
    "service": "pool",
    "address": "127.0.0.1:9999",
    "zone": "hall-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 32_000, "mem-mb": 65_536, "gpu": 8},
    "labels": ["a", "r1-1"],
    "clock-ms": 482_113,
    "machine": "m-1",
    "seq": 4,
}
"""A valid record of a worker."""

PLAIN_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold-left-ms",
    "seq",
)
"""Scalar fields that every worker's record must have."""
NOT_TEXT: dict[str, object] = {"null": None, "number": 7, "list": [], "object": {}, "flag": True}
NOT_A_NUMBER: dict[str, object] = {
    "null": None,
    "text": "7",
    "list": [],
    "object": {},
    "flag": True,
    "negative": -1,
    "huge": 10**30,
}
ADDRESSES = {
    "empty": "",
    "blank": " ",
    "no port": "127.0.0.1",
    "empty port": "127.0.0.1:",
    "port 0": "127.0.0.1:0",
    "port above all": "127.0.0.1:99999",
    "negative port": "127.0.0.1:-80",
    "port that is no number": "127.0.0.1:http",
    "port with blanks": "127.0.0.1: 80",
    "port with underscores": "127.0.0.1:8_0",
    "port of other digits": "127.0.0.1:\u0668\u0660",
    "no host": ":80",
    "host with blanks": "10.0. 0.1:80",
    "line break": "127.0.0.1:80\r\n",
    "host name": "worker.example:80",
    "too many parts": "10.0.0.1.2:80",
    "IPv6 junk": "[::zz]:80",
    "IPv6 without brackets": "::1:80",
    "IPv6 with a scope": "[fe80::1%eth0]:80",
    "any address": "0.0.0.0:80",
    "group": "224.0.0.1:80",
    "very long": "1" * 5000 + ":80",
}


def encoded(**changes: object) -> bytes:
    """Encode a valid record with some fields changed; underscores in names become hyphens."""
    fields = {name.replace("_", "-"): value for name, value in changes.items()}
    return msgspec.json.encode({**RECORD, **fields})


def mutated(value: bytes, rng: random.Random) -> bytes:
    """Return a copy of some bytes with one to three random changes, deletions or insertions."""
    changed = bytearray(value)
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(changed))
        first = rng.randrange(len(changed))
        copied = bytes(changed[first : first + rng.randrange(20)])
        part = rng.choice([b"", b"-", b'"', b"null", b"[", b"}", b"9" * 20, b"\\u0000", copied])
        changed[at : at + rng.randrange(4)] = part + bytes([rng.randrange(256)])
    return bytes(changed)


def without(field: str) -> bytes:
    """Encode a valid record without one field."""
    return msgspec.json.encode({name: value for name, value in RECORD.items() if name != field})


def unreadable() -> dict[str, bytes]:
    """Return values that are not a readable JSON object, by what is wrong with them."""
    deep = 100_000
    return {
        "empty": b"",
        "not JSON": b"ready",
        "cut short": encoded()[:-9],
        "more after the end": encoded() + b"{}",
        "not UTF-8": encoded().replace(b'"v1"', b'"\xff\xfe"'),
        "not UTF-8 in a field that nobody reads": encoded()[:-1] + b',"x":"\xff"}',
        "null bytes": b"\x00" * 40,
        "another code": encoded().decode().encode("utf-16"),
        "list": b"[]",
        "list of a record": b"[" + encoded() + b"]",
        "string": b'"ready"',
        "number": b"7",
        "null": b"null",
        "true": b"true",
        "nested too deeply": b"[" * deep + b"]" * deep,
        "a field nested too deeply": encoded()[:-1] + b',"x":' + b"[" * deep + b"]" * deep + b"}",
    }


def worker_records() -> dict[str, bytes]:
    """Return malformed records of a worker, by what is wrong with them."""
    rows = unreadable()
    for field in (*PLAIN_FIELDS, "capacity"):
        rows[f"no {field}"] = without(field)
    for field in ("service", "address", "zone", "state", "version", "machine"):
        for name, value in NOT_TEXT.items():
            rows[f"{field}: {name}"] = encoded(**{field: value})
    for field in ("clock_ms", "cold_left_ms", "remaining_ms", "slots"):
        for name, value in NOT_A_NUMBER.items():
            if not (field == "remaining_ms" and value is None):
                rows[f"{field}: {name}"] = encoded(**{field: value})
    for field in ("clock-ms", "cold-left-ms", "remaining-ms"):
        for value in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"1e300"):
            rows[f"{field}: {value.decode()}"] = encoded()[:-1].replace(
                b'"' + field.encode() + b'":', b'"x":'
            ) + (b',"' + field.encode() + b'":' + value + b"}")
    for field in ("clock_ms", "slots", "born"):
        rows[f"{field}: fractional"] = encoded(**{field: 7.5})
    for name, value in {**NOT_A_NUMBER, "zero": 0}.items():
        rows[f"born: {name}"] = encoded(born=value)
    rows |= _capacities() | _labels()
    for name, address in ADDRESSES.items():
        rows[f"address: {name}"] = encoded(address=address)
    for field in ("service", "zone"):
        rows[f"{field}: empty"] = encoded(**{field: ""})
        rows[f"{field}: very long"] = encoded(**{field: "x" * 5000})
    for state in ("", "Ready", "READY", "ready ", "starting", "dead", "drained"):
        rows[f"state: {state!r}"] = encoded(state=state, remaining_ms=10)
    rows["a field twice"] = encoded()[:-1] + b',"address":"127.0.0.1:80"}'
    rows["a field twice, spelled in another way"] = encoded()[:-1] + b',"\\u0073tate":"ready"}'
    rows["a field of the capacity twice"] = encoded().replace(b'"cpu":32000', b'"cpu":1,"cpu":2')
    rows["too many digits"] = encoded(note="\\")[:-1] + b',"x":' + b"9" * 5000 + b"}"
    rows["very long"] = encoded(note="x" * 100_000)
    return rows


def _capacities() -> dict[str, bytes]:
    rows = {f"capacity: {name}": encoded(capacity=value) for name, value in NOT_TEXT.items()}
    rows["capacity: text"] = encoded(capacity="32000")
    valid = {"cpu": 32_000, "mem-mb": 65_536, "gpu": 8}
    for field in valid:
        for name, value in {**NOT_A_NUMBER, "fractional": 1.5}.items():
            rows[f"{field}: {name}"] = encoded(capacity={**valid, field: value})
    for field in ("cpu", "mem-mb"):
        rows[f"{field}: zero"] = encoded(capacity={**valid, field: 0})
        left = {name: value for name, value in valid.items() if name != field}
        rows[f"{field}: missing"] = encoded(capacity=left)
    return rows


def _labels() -> dict[str, bytes]:
    values: dict[str, object] = {
        "null": None,
        "text": "r1-1",
        "number": 7,
        "object": {"rack": "r1-1"},
        "of numbers": [1, 2],
        "of lists": [["a"], ["r1-1"]],
        "of null": ["a", None],
        "very long": ["a", "r" * 5000],
        "too many": ["a"] * 1000,
    }
    return {f"labels: {name}": encoded(labels=value) for name, value in values.items()}


def configuration_document(**changes: object) -> dict[str, object]:
    """Return a valid configuration in which some parts are replaced."""
    document: dict[str, object] = {
        "version": 7,
        "routes": [_route("checks", "/a/"), _route("nested", "/a/b/")],
        "services": [{"name": "pool", "admission-check": True}],
        "limits": {"max-body-bytes": 2000},
        "tenants": [
            {"name": "depots", "api-keys": ["k1", "k2"], "guaranteed": {"gpu": 8}},
            {"name": "others", "api-keys": ["k3"]},
        ],
    }
    return {**document, **changes}


def _route(name: str, prefix: str) -> dict[str, object]:
    return {"name": name, "host": "jobs.example", "path-prefix": prefix, "service": "pool"}


def configurations() -> dict[str, bytes]:
    """Return invalid configurations, by what is wrong with them."""
    encode = msgspec.json.encode
    valid = configuration_document()
    rows = unreadable()
    for part in ("version", "routes", "services"):
        left = {name: value for name, value in valid.items() if name != part}
        rows[f"no {part}"] = encode(left)
    rows["nothing but a version"] = b'{"version":9}'
    for name, value in {**NOT_A_NUMBER, "fractional": 1.5, "negative": -1}.items():
        rows[f"version: {name}"] = encode({**valid, "version": value})
    for field in ("max-attempts", "timeout-ms", "target-latency-ms", "stretch", "priority"):
        route = {**_route("checks", "/a/"), field: -1}
        rows[f"{field}: negative"] = encode({**valid, "routes": [route]})
    rows["timeout-ms: too large"] = encode(valid).replace(
        b'"name":"checks"', b'"name":"checks","timeout-ms":1e999'
    )
    for field in ("name", "host", "path-prefix", "service"):
        rows[f"{field}: empty"] = encode({**valid, "routes": [{**_route("x", "/x/"), field: ""}]})
    rows["path-prefix: relative"] = encode({**valid, "routes": [_route("x", "x/")]})
    for limit in (-1, 0):
        rows[f"max-body-bytes: {limit}"] = encode({**valid, "limits": {"max-body-bytes": limit}})
    tenant = {"name": "depots", "api-keys": ["k1"], "guaranteed": {"gpu": -8}}
    rows["guaranteed: negative"] = encode({**valid, "tenants": [tenant]})
    rows["a field twice"] = encode(valid)[:-1] + b',"version":3}'
    rows["a field twice, spelled in another way"] = encode(valid)[:-1] + b',"\\u0076ersion":3}'
    return rows


def unfitting_configurations() -> dict[str, bytes]:
    """Return configurations whose parts do not fit together, by what is wrong with them."""
    encode = msgspec.json.encode
    valid = configuration_document()
    checks = _route("checks", "/a/")
    tenants = [{"name": "depots", "api-keys": ["k1"]}, {"name": "others", "api-keys": ["k1"]}]
    return {
        "a service that does not exist": encode(
            {**valid, "routes": [{**checks, "service": "none"}]}
        ),
        "two queues of one name": encode({**valid, "routes": [checks, _route("checks", "/b/")]}),
        "two queues at one place": encode({**valid, "routes": [checks, _route("others", "/a/")]}),
        "two queues at one place, in capitals": encode(
            {**valid, "routes": [checks, {**_route("others", "/a/"), "host": "JOBS.example"}]}
        ),
        "one key of two accounts": encode({**valid, "tenants": tenants}),
        "two accounts of one name": encode(
            {**valid, "tenants": [tenants[0], {"name": "depots", "api-keys": ["k2"]}]}
        ),
        "two services of one name": encode(
            {**valid, "services": [{"name": "pool"}, {"name": "pool"}]}
        ),
    }


WORKER_IDS = {
    "empty": "",
    "blank": "i 1",
    "line break": "i-1\r\nX: y",
    "slash": "i-1/state",
    "not ASCII": "i-\u00e9",
    "very long": "i" * 300,
}
"""Invalid worker IDs, as they may appear in keys under the workers' prefix."""
