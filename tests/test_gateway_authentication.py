"""Which workspace a request belongs to, and what of that is sent on."""

import random
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill import metrics
from corianderrill.gateway import (
    authentication,
    event_log,
    in_flight,
    refusals,
    routes,
    send_order,
)
from corianderrill.platform import requests
from tests.utils import fake_stores, virtual_servers
from tests.utils import gateway_builders as builders

KEY = "k-3f9a"
KNOWN = [("Authorization", f"Bearer {KEY}")]
ROUTE_PRIORITY = 4
WORKSPACE = builders.build_workspace("kami")


def select(is_public=False, workspaces_by_key=None):
    route = builders.build_route(is_public=is_public, priority=ROUTE_PRIORITY)
    configuration = builders.build_configuration(
        route, workspaces_by_key=workspaces_by_key
    )
    return routes.SelectedRoute(configuration, route)


def authenticate(headers, is_public=False):
    selected = select(is_public, {KEY: WORKSPACE})
    return authentication.authenticate(selected, headers)


def accept(workspace):
    priority = ROUTE_PRIORITY if workspace == "" else 0
    return authentication.Accepted(send_order.Rank(priority, workspace))


def build_request(headers, workspace, body=b""):
    rank = send_order.Rank(workspace=workspace)
    return requests.build_inbound_request("POST", "/a/x", headers, body, 0.6, 1.0, rank)


def list_head_lines(inbound):
    head, _, _ = inbound.render_sub_request("i-1", 0.5).partition(b"\r\n\r\n")
    return head.split(b"\r\n")[1:]


def list_identity_lines(inbound):
    """Return the lines that a server may take for who the caller is."""
    wanted = (b"authorization", b"x-tenant")
    return [
        line
        for line in list_head_lines(inbound)
        if line.partition(b":")[0].strip().lower().replace(b"_", b"-") in wanted
    ]


def test_known_key_tells_the_workspace():
    assert authenticate(KNOWN) == accept("kami")


@pytest.mark.parametrize(
    "value",
    [f"bearer {KEY}", f"BEARER  {KEY}", f" Bearer \t{KEY} "],
    ids=["lower case", "upper case", "more blanks"],
)
def test_scheme_is_read_in_any_case(value):
    headers = [("authorization", value)]
    assert authenticate(headers) == accept("kami")


@pytest.mark.parametrize(
    "value",
    ["", "Bearer", "Bearer ", f"Basic {KEY}", KEY, f"Bearer{KEY}"],
)
def test_request_without_a_key_of_the_scheme_is_denied(value):
    denied = authentication.Denied(authentication.KeyFault.MISSING)
    assert authenticate([("Authorization", value)]) == denied
    assert authenticate([]) == denied


@pytest.mark.parametrize("key", ["k-3f9", "K-3F9A", f"{KEY} {KEY}", f"{KEY},"])
def test_unknown_key_is_denied(key):
    denied = authentication.Denied(authentication.KeyFault.UNKNOWN)
    assert authenticate([("Authorization", f"Bearer {key}")]) == denied


def test_request_with_two_keys_is_denied():
    # Another server on the way may have heeded the other one.
    headers = [*KNOWN, ("Authorization", "Bearer other")]
    assert isinstance(authenticate(headers), authentication.Denied)


def test_empty_key_of_the_configuration_lets_nobody_in():
    selected = select(workspaces_by_key={"": WORKSPACE})
    headers = [("Authorization", "Bearer ")]
    assert isinstance(
        authentication.authenticate(selected, headers), authentication.Denied
    )


def test_key_of_other_than_ascii_characters_is_found():
    selected = select(workspaces_by_key={"tõde": WORKSPACE})
    # As the server decodes the bytes of a header.
    value = "Bearer tõde".encode().decode("latin-1")
    accepted = authentication.authenticate(selected, [("Authorization", value)])
    assert accepted == accept("kami")


def test_public_route_needs_no_key_and_belongs_to_no_workspace():
    for headers in ([], KNOWN, [("Authorization", "Bearer wrong")]):
        accepted = authenticate(headers, is_public=True)
        assert accepted == accept("")


def test_configuration_without_workspaces_asks_for_no_key():
    accepted = authentication.authenticate(select(), KNOWN)
    assert accepted == accept(None)


def test_configuration_whose_last_workspace_is_gone_lets_nobody_in():
    selected = select(workspaces_by_key={})
    assert isinstance(
        authentication.authenticate(selected, KNOWN), authentication.Denied
    )


def test_aggregator_takes_the_workspace_from_the_entry_host():
    headers = [("X-Tenant", "kami")]
    selected = select(workspaces_by_key={KEY: WORKSPACE})
    accept_delegated = authentication.accept_delegated
    assert accept_delegated(selected, headers) == accept("kami")
    assert accept_delegated(selected, []) == accept("")
    assert accept_delegated(select(), headers) == accept(None)


def test_key_is_refused_for_good_only_by_a_host_that_follows_the_store():
    view = builders.build_view()
    view.max_unconfirmed_s = 3.0
    view.confirmed_at = 10.0
    loop = virtual_servers.VirtualLoop()
    log = fake_stores.RecordingLog()
    shared = types.SimpleNamespace(
        view=view, loop=loop, log=log, meter=metrics.Recorder(), rng=random.Random(1)
    )
    refuser = refusals.Refusals(shared, in_flight.InFlightRequests())
    fault = authentication.KeyFault.UNKNOWN
    loop.time = 13.0
    assert refuser.refuse_key("q-1", "r-1", fault).status == 401
    loop.time = 13.1
    outdated = refuser.refuse_key("q-2", "r-1", fault)
    assert outdated.status == 503
    assert float(dict(outdated.headers)["Retry-After"]) > 0
    reasons = [record.reason for record in log.list_of(event_log.RequestRefused)]
    assert reasons == ["unknown-key", "unknown-key-yet"]


# What is sent on.


def test_workspace_replaces_what_the_caller_says_it_is():
    headers = [*KNOWN, ("X-Tenant", "other"), ("x-tenant", "more"), ("Accept", "*/*")]
    inbound = build_request(headers, "kami")
    assert list_identity_lines(inbound) == [b"X-Tenant: kami"]
    assert b"Accept: */*" in list_head_lines(inbound)


def test_request_on_a_public_route_names_no_workspace():
    inbound = build_request([*KNOWN, ("X-Tenant", "other")], "")
    assert list_identity_lines(inbound) == []


def test_connection_header_of_the_caller_does_not_remove_the_workspace():
    inbound = build_request([("Connection", "X-Tenant, close")], "kami")
    assert list_identity_lines(inbound) == [b"X-Tenant: kami"]


def test_without_workspaces_the_headers_of_the_caller_are_forwarded():
    headers = [*KNOWN, ("X-Tenant", "other"), ("X_Tenant", "more")]
    inbound = build_request(headers, None)
    assert len(list_identity_lines(inbound)) == 3
    assert inbound.workspace == ""


def test_workspace_of_other_than_ascii_characters_passes_the_hop():
    inbound = build_request([], "tõde")
    (line,) = list_identity_lines(inbound)
    name, _, value = line.decode("latin-1").partition(": ")
    assert requests.parse_workspace([(name, value)]) == "tõde"


HEADERS = st.lists(
    st.tuples(
        st.one_of(
            st.sampled_from(
                ["Authorization", "X-Tenant", "x_tenant", "X-Tenant ", "Connection"]
            ),
            st.text(st.characters(max_codepoint=255), min_size=1, max_size=8),
        ),
        st.text(st.characters(max_codepoint=255), max_size=30),
    ),
    max_size=6,
)


# Guards against a spelling of a header by which a caller acts for another workspace.
@given(headers=HEADERS, workspace=st.sampled_from(["", "kami", "tõde"]))
def test_no_header_of_the_caller_says_who_it_is(headers, workspace):
    inbound = build_request(
        [(k.strip("\r\n") or "X", v) for k, v in headers], workspace
    )
    expected = [f"X-Tenant: {workspace}".encode()] if workspace else []
    assert list_identity_lines(inbound) == expected
    assert inbound.credentials == ""


@given(headers=HEADERS)
def test_any_header_is_judged_without_an_error(headers):
    accepted = authenticate(headers)
    is_known = [v.strip(" \t") for k, v in headers if k.lower() == "authorization"]
    assert isinstance(accepted, authentication.Denied) or len(is_known) == 1


@given(key=st.text(min_size=1, max_size=40))
def test_keys_are_found_as_they_are_configured_or_not_at_all(key):
    selected = select(workspaces_by_key={key: WORKSPACE})
    value = f"Bearer {key}".encode("utf-8", "replace").decode("latin-1")
    accepted = authentication.authenticate(selected, [("Authorization", value)])
    assert accepted == accept("kami") or key != key.strip(" \t")


# Fingerprints of the quarantine.


def fingerprint(headers, workspace, body=b"b"):
    return build_request([("Host", "h"), *headers], workspace, body).fingerprint


def test_fingerprint_is_the_same_for_all_keys_of_a_workspace():
    other_key = [("Authorization", "Bearer k-2")]
    assert fingerprint(KNOWN, "kami") == fingerprint(other_key, "kami")
    assert fingerprint(KNOWN, "kami") != fingerprint(KNOWN, "anu")


def test_entry_host_and_aggregator_compute_the_same_fingerprint():
    # The aggregator gets the headers that the entry host sends on.
    entry = build_request([("Host", "h"), *KNOWN], "kami", b"b")
    lines = [line.decode("latin-1") for line in list_head_lines(entry)]
    headers = [tuple(line.split(": ", 1)) for line in lines]
    workspace = requests.parse_workspace(headers)
    aggregator = build_request(headers, workspace, b"b")
    assert aggregator.fingerprint == entry.fingerprint


def test_fingerprint_without_workspaces_tells_callers_apart_by_their_credentials():
    assert fingerprint(KNOWN, None) != fingerprint([], None)
    # As computed before there were workspaces: notes in the store stay valid.
    assert fingerprint(KNOWN, None) == "ef0233104550b828291faa83"
