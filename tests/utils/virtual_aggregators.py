"""An aggregator in virtual time, which behaves as a test says."""

import dataclasses
import enum

from corianderrill import names
from corianderrill.gateway import aggregators, connections, delegation_messages
from corianderrill.platform import requests

ADDRESS = names.Address("10.0.0.9", 7420)
WAY_S = 0.0004
RECORD = b"a" * 16
RETRY_AFTER_S = 0.25


class Behavior(enum.Enum):
    """What the aggregator does with a query."""

    ANSWER = 1
    REFUSE = 2
    STAY_SILENT = 3
    FAIL_ONCE_CONFIRMED = 4
    STAY_SILENT_ONCE_CONFIRMED = 5
    UNREACHABLE = 6
    ANSWER_FOR_ANOTHER = 7
    LEAVE_OUT_A_SHARD = 8
    REFUSE_FOR_LIMITS = 9
    CLOSE_UNCONFIRMED = 10


@dataclasses.dataclass
class VirtualAggregator:
    """Takes the place of the pool of connections to an aggregator."""

    loop: object
    behavior: Behavior = Behavior.ANSWER
    work_s: float = 0.02
    queries: list = dataclasses.field(default_factory=list)
    canceled: list = dataclasses.field(default_factory=list)

    def send(self, query):
        self.loop.call_later(WAY_S, self._receive, query)
        return self

    def abort(self, query):
        self.canceled.append(query)

    def cancel_queued(self, query):
        self.canceled.append(query)

    def _receive(self, query):
        if self.behavior is Behavior.UNREACHABLE:
            query.on_result(
                connections.FailedExchange(connections.Failure.UNREACHABLE, sent=False)
            )
            return
        data = query.render()
        query.on_send_start()
        self.queries.append(parse(data))
        match self.behavior:
            case Behavior.REFUSE:
                headers = [(b"x-not-executed", b"1")]
                self._reply(0.0, query, connections.RawReply(503, headers, b""))
            case Behavior.REFUSE_FOR_LIMITS:
                headers = delegation_messages.list_limited_headers(RETRY_AFTER_S)
                reply = connections.RawReply(503, encode_headers(headers), b"")
                self._reply(0.0, query, reply)
            case Behavior.STAY_SILENT:
                pass
            case Behavior.CLOSE_UNCONFIRMED:
                failed = connections.FailedExchange(
                    connections.Failure.CLOSED, sent=True
                )
                self._reply(0.0, query, failed)
            case _:
                self.loop.call_later(WAY_S, query.on_interim_reply)
                self._continue(query, parse(data))

    def _continue(self, query, terms):
        match self.behavior:
            case Behavior.ANSWER:
                self._reply(self.work_s, query, build_answer(query, terms.shards))
            case Behavior.LEAVE_OUT_A_SHARD:
                self._reply(self.work_s, query, build_answer(query, terms.shards[1:]))
            case Behavior.ANSWER_FOR_ANOTHER:
                reply = build_answer(query, terms.shards, request_id="another")
                self._reply(self.work_s, query, reply)
            case Behavior.FAIL_ONCE_CONFIRMED:
                failed = connections.FailedExchange(
                    connections.Failure.RESET, sent=True
                )
                self._reply(self.work_s, query, failed)

    def _reply(self, delay_s, query, reply):
        self.loop.call_later(WAY_S + delay_s, query.on_result, reply)


def parse(data):
    head = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    headers = [tuple(line.split(": ", 1)) for line in head]
    return delegation_messages.parse_terms(headers)


def build_answer(query, shards, request_id=None):
    headers = delegation_messages.list_answer_headers(
        names.RequestId(request_id or query._owner.request.id),
        [f"signed-{shard}" for shard in shards],
        shards,
    )
    return connections.RawReply(200, encode_headers(headers), RECORD * 2)


def encode_headers(headers):
    return [(name.lower().encode(), value.encode()) for name, value in headers]


def add_to(site, zone="zone-a", slot=0, address=ADDRESS):
    """Make an aggregator known to the host of a site; return it."""
    key = aggregators.SlotKey(names.ZoneName(zone), aggregators.Slot(slot))
    holder = aggregators.Aggregator(key, names.HostName(f"{zone}-{slot}"), address)
    site.tools.aggregators.apply(key, holder, 1)
    aggregator = VirtualAggregator(site.loop)
    site.tools.aggregator_pools[address] = aggregator
    return aggregator


def build_request(request_id="q-1", head=b"GET /a/x HTTP/1.1\r\nHost: h\r\n"):
    return requests.InboundRequest(
        names.RequestId(request_id), "GET", "/a/x", "h", 0.8, 0.0, head, b""
    )
