"""Asks the operators' endpoints of many hosts at once; silent ones are named."""

import dataclasses
import urllib.parse
from collections.abc import Iterable, Mapping

import eventlet
import urllib3

from corianderrill import credentials, http_pools, names

TIMEOUT_S = 5.0
ASKED_AT_ONCE = 32
BODY_BYTES_AT_MOST = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The body of a host's answer."""

    address: names.Address
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """A host that gave no usable answer, and why."""

    address: names.Address
    detail: str


def ask(
    addresses: Iterable[names.Address],
    path: str,
    token: credentials.Secret,
    fields: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> list[Answered | Unreachable]:
    """Send one GET to each address; answers come in the order of the addresses."""
    query = urllib.parse.urlencode({k: v for k, v in (fields or {}).items() if v})
    target = f"{path}?{query}" if query else path
    pool = eventlet.GreenPool(ASKED_AT_ONCE)
    return list(
        pool.imap(
            lambda address: _ask_one(address, target, token, timeout_s), addresses
        )
    )


def _ask_one(
    address: names.Address, target: str, token: credentials.Secret, timeout_s: float
) -> Answered | Unreachable:
    client = http_pools.HostPool(
        address.ip, address.port, timeout=timeout_s, retries=False
    )
    headers = {"Authorization": f"Bearer {token.reveal()}"}
    timeout = eventlet.Timeout(timeout_s)
    try:
        reply = client.request("GET", target, headers=headers, preload_content=False)
        body = reply.read(BODY_BYTES_AT_MOST + 1)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return Unreachable(address, _describe(error))
    except eventlet.Timeout as expired:
        if expired is not timeout:
            raise
        return Unreachable(address, f"no whole answer within {timeout_s:g} s")
    finally:
        timeout.cancel()
        client.close()
    if reply.status != 200:
        return Unreachable(address, f"HTTP {reply.status}: {body[:200].decode()}")
    if len(body) > BODY_BYTES_AT_MOST:
        return Unreachable(address, f"answer over {BODY_BYTES_AT_MOST:,} bytes")
    return Answered(address, body)


def _describe(error: Exception) -> str:
    cause = error.__cause__ or error.__context__ or error
    return f"{type(error).__name__}: {getattr(cause, 'strerror', None) or error}"
