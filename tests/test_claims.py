import itertools

import hypothesis
import pytest
from hypothesis import stateful, strategies

from corianderrill import claimant, claims, keyvalue, outcomes
from tests.utils import claim_builders, keyvalue_builders

FAULTS = tuple(keyvalue_builders.WriteFault)
OLDER = keyvalue_builders.WriteFault.OLDER
HOSTS = 3


@pytest.fixture
def rig():
    return claim_builders.ClaimRig()


def test_a_request_sent_to_two_hosts_runs_on_one(rig):
    request = rig.build_request()
    granted = rig.claim(0, request)
    assert rig.start_run(request, granted.permit)
    again = rig.claim(1, rig.build_request())
    assert again.status is claims.RequestStatus.RUNNING
    rig.claimants[0].finish(granted.permit, ran=True)
    assert rig.claim(1, request).status is claims.RequestStatus.RAN
    assert rig.claimants[1].look_up(request).status is claims.RequestStatus.RAN


def test_a_claim_of_a_replaced_host_is_unknown_and_never_replaced(rig):
    request = rig.build_request()
    granted = rig.claim(0, request)
    rig.start_host(0)
    assert rig.claim(1, request).status is claims.RequestStatus.UNKNOWN
    assert rig.claim(0, request).status is claims.RequestStatus.UNKNOWN
    # The old process was only paused, and its permit is still valid.
    assert rig.start_run(request, granted.permit)


def test_the_deadline_is_checked_again_after_a_pause(rig):
    request = rig.build_request()
    granted = rig.claim(0, request)
    rig.key_value_rig.clock.advance(claim_builders.TIMEOUT_S)
    assert not rig.start_run(request, granted.permit)
    rig.claimants[0].finish(granted.permit, ran=None)
    found = rig.claimants[1].look_up(request)
    assert found.status is claims.RequestStatus.NOT_RUN


def test_a_permit_is_used_only_once(rig):
    request = rig.build_request()
    permit = rig.claim(0, request).permit
    assert rig.start_run(request, permit)
    assert not rig.start_run(request, permit)
    rig.claimants[0].finish(permit, ran=False)
    assert not rig.start_run(request, permit)


def test_a_request_that_did_not_run_can_be_claimed_by_another_host(rig):
    request = rig.build_request()
    first = rig.claim(0, request)
    rig.claimants[0].finish(first.permit, ran=False)
    second = rig.claim(1, rig.build_request())
    assert isinstance(second, claims.Granted)
    assert not rig.start_run(request, first.permit)
    assert rig.start_run(request, second.permit)


def test_only_one_of_two_hosts_replaces_a_claim_that_did_not_run():
    rig = claim_builders.ClaimRig(3)
    request = rig.build_request()
    rig.claimants[0].finish(rig.claim(0, request).permit, ran=False)
    rival_results = []
    rig.rival = lambda: rival_results.append(rig.claim(2, request))
    rig.transports[1].meet_next(keyvalue_builders.WriteFault.NONE)
    rig.transports[1].meet_next(keyvalue_builders.WriteFault.RIVAL)
    assert rig.claim(1, request).status is claims.RequestStatus.RUNNING
    assert isinstance(rival_results[0], claims.Granted)


def test_a_run_without_a_known_result_is_unknown(rig):
    request = rig.build_request()
    permit = rig.claim(0, request).permit
    rig.start_run(request, permit)
    rig.claimants[0].finish(permit, ran=None)
    assert rig.claim(1, request).status is claims.RequestStatus.UNKNOWN


def test_while_the_platform_is_down_only_a_first_sending_is_known_not_run(rig):
    rig.key_value_rig.faults.down = True
    first = rig.claim(0, rig.build_request())
    assert first.is_known_not_run
    again = rig.claim(0, rig.build_request())
    assert isinstance(again, claims.NotClaimed)
    assert not again.is_known_not_run


def test_a_claim_over_the_rate_limit_still_returns_the_stored_status():
    rig = claim_builders.ClaimRig(writes_per_s=claims.WRITES_PER_CLAIM)
    request = rig.build_request(1)
    rig.start_run(request, rig.claim(0, request).permit)
    refused = rig.claim(0, rig.build_request(2))
    assert refused.is_known_not_run
    assert rig.claim(0, request).status is claims.RequestStatus.RUNNING
    rig.key_value_rig.clock.advance(1.0)
    assert isinstance(rig.claim(0, rig.build_request(2)), claims.Granted)


def test_the_budget_bounds_claims_to_its_rate():
    budget = claims.WriteBudget(30.0)
    spent = sum(budget.try_spend(3, tick / 100) for tick in range(1_000))
    assert spent <= 10 + 10 * 10


@pytest.mark.parametrize(
    ("request_id", "detail"),
    [
        ("abc", "expected a request id"),
        ("1764800000000-abc", "expected a request id"),
        ("1764790000000-abcdefgh", "older"),
        ("1764899999000-abcdefgh", "future"),
    ],
)
def test_invalid_ids_are_rejected_with_the_reason(rig, request_id, detail):
    outcome = rig.claim(0, rig.build_request(id=request_id))
    assert isinstance(outcome, claims.BadId)
    assert detail in outcome.detail


def test_equal_ids_of_two_workspaces_are_two_requests(rig):
    other = claim_builders.configuration_builders.build_workspace("rongitoitlus")
    first = rig.claim(0, rig.build_request())
    second = rig.claim(1, rig.build_request(workspace=other))
    assert isinstance(first, claims.Granted)
    assert isinstance(second, claims.Granted)


def test_a_final_state_whose_write_failed_is_written_later(rig):
    request = rig.build_request()
    permit = rig.claim(0, request).permit
    rig.start_run(request, permit)
    rig.key_value_rig.faults.down = True
    rig.claimants[0].finish(permit, ran=True)
    assert rig.claimants[0].pending_count == 1
    rig.key_value_rig.faults.down = False
    rig.claimants[0].flush()
    assert rig.claimants[0].pending_count == 0
    assert rig.claim(1, request).status is claims.RequestStatus.RAN


def test_no_claim_is_granted_after_a_restore_to_older_data(rig):
    for number in range(1, 4):
        request = rig.build_request(number)
        rig.start_run(request, rig.claim(0, request).permit)
    rig.key_value_rig.platform.store.restore(0)
    outcome = rig.claim(0, rig.build_request(1))
    assert isinstance(outcome, claims.NotClaimed)
    assert not outcome.is_known_not_run
    outcome = rig.claim(0, rig.build_request(2))
    assert isinstance(outcome, claims.NotClaimed)


def list_fault_sequences():
    faults = [fault for fault in FAULTS if fault is not OLDER]
    return list(itertools.product(faults, repeat=3))


@pytest.mark.parametrize("faults", list_fault_sequences())
def test_every_order_of_faults_of_a_claim_runs_it_at_most_once(rig, faults):
    permits = []

    def claim(host):
        outcome = rig.claim(host, rig.build_request())
        if isinstance(outcome, claims.Granted):
            permits.append((host, outcome.permit))
        return outcome

    rig.rival = lambda: claim(1)
    for fault in faults:
        rig.transports[0].meet_next(fault)
    claim(0)
    claim(1)
    for host, permit in permits:
        if rig.start_run(rig.build_request(), permit):
            rig.claimants[host].finish(permit, ran=True)
    rig.transports[0].deliver()
    for _, host in itertools.product(faults, rig.claimants.values()):
        host.flush()
    request = rig.build_request()
    runs = rig.runs.get(request.id, 0)
    found = rig.claimants[1].look_up(request).status
    assert runs <= 1
    assert found is (claims.RequestStatus.RAN if runs else claims.RequestStatus.NOT_RUN)


def test_claims_are_deleted_only_after_every_host_rejects_their_ids(rig):
    request = rig.build_request()
    rig.claim(0, request)
    client = rig.key_value_rig.client()
    budget = claims.WriteBudget(100.0)
    sweeper = claimant.Sweeper(client, budget, rig.read_wall_clock())
    key = claims.format_key(request.id, request.workspace)
    deleted_at = None
    while deleted_at is None:
        rig.key_value_rig.clock.advance(claims.TIME_SLOT_S)
        sweeper.sweep(rig.key_value_rig.clock.now, rig.read_wall_clock())
        if isinstance(client.get(key), keyvalue.Absent):
            deleted_at = rig.read_wall_clock()
    slowest_clock = deleted_at - claims.MAX_CLOCK_SKEW_S
    assert isinstance(claims.check_id(request.id, slowest_clock), claims.BadId)


NOT_RUN = outcomes.NotRun(outcomes.RefusalReason.BACKEND_REFUSED, "")


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (NOT_RUN, claims.RequestStatus.NOT_RUN),
        (outcomes.Unknown(""), claims.RequestStatus.UNKNOWN),
        (outcomes.Partial((), None), claims.RequestStatus.RAN),
    ],
)
def test_other_hosts_look_up_the_outcome_of_a_run(rig, outcome, status):
    request = rig.build_request()
    assert rig.claimants[0].run(request, lambda: outcome) == outcome
    assert rig.claimants[1].look_up(request).status is status


def test_a_run_that_raises_is_unknown(rig):
    request = rig.build_request()
    with pytest.raises(ZeroDivisionError):
        rig.claimants[0].run(request, lambda: 1 / 0)
    found = rig.claimants[1].look_up(request)
    assert found.status is claims.RequestStatus.UNKNOWN


def test_a_host_that_pauses_while_it_claims_does_not_run(rig):
    request = rig.build_request()
    rig.rival = lambda: rig.key_value_rig.clock.advance(claim_builders.TIMEOUT_S)
    rig.transports[0].meet_next(keyvalue_builders.WriteFault.RIVAL)
    runs = []
    outcome = rig.claimants[0].run(request, lambda: runs.append(1))
    assert outcome.reason is outcomes.RefusalReason.DEADLINE
    assert not runs
    found = rig.claimants[1].look_up(request)
    assert found.status is claims.RequestStatus.NOT_RUN


def test_a_request_that_ran_is_not_run_again(rig):
    request = rig.build_request()
    runs = []

    def act():
        runs.append(1)
        return outcomes.Unknown("")

    for host in (0, 1, 0):
        outcome = rig.claimants[host].run(request, act)
        assert isinstance(outcome, outcomes.Unknown)
    assert len(runs) == 1


@pytest.mark.parametrize(
    ("outcome", "kind"),
    [
        (claims.BadId(""), outcomes.NotRun),
        (claims.NotClaimed(True, ""), outcomes.NotRun),
        (claims.NotClaimed(False, ""), outcomes.Unknown),
        (claims.AlreadyClaimed(claims.RequestStatus.NOT_RUN, ""), outcomes.NotRun),
        (claims.AlreadyClaimed(claims.RequestStatus.RUNNING, ""), outcomes.Unknown),
        (claims.AlreadyClaimed(claims.RequestStatus.RAN, ""), outcomes.Unknown),
        (claims.AlreadyClaimed(claims.RequestStatus.UNKNOWN, ""), outcomes.Unknown),
    ],
)
def test_only_requests_that_did_not_run_are_reported_as_not_run(outcome, kind):
    assert isinstance(claims.convert_to_outcome(outcome), kind)


def test_maintenance_sets_the_rate_limit_and_retries_final_states(rig):
    request = rig.build_request()
    permit = rig.claim(0, request).permit
    rig.start_run(request, permit)
    rig.key_value_rig.faults.down = True
    rig.claimants[0].finish(permit, ran=True)
    rig.key_value_rig.faults.down = False
    budget = claims.WriteBudget(1.0)
    sweeper = claimant.Sweeper(
        rig.key_value_rig.client(), budget, rig.read_wall_clock()
    )
    members = list(rig.live_members.values())
    maintenance = claimant.ClaimMaintenance(
        members[0],
        rig.claimants[0],
        sweeper,
        budget,
        lambda: members,
        rig.key_value_rig.clock,
        rig.read_wall_clock,
    )
    maintenance.run_once()
    assert budget.writes_per_s == claimant.MAX_CLAIM_WRITES_PER_S / len(members)
    assert rig.claim(1, request).status is claims.RequestStatus.RAN


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Claims, pauses, crashes and faults in any order; callers flag resent requests."""

    def __init__(self):
        super().__init__()
        self.rig = claim_builders.ClaimRig(HOSTS)
        self.permits = []
        self.started = []
        self.rival_host = 0
        self.rival_number = 1
        self.rig.rival = lambda: self.claim(self.rival_host, self.rival_number)

    @stateful.rule(
        host=strategies.integers(0, HOSTS - 1), number=strategies.integers(1, 2)
    )
    def claim(self, host, number):
        request = self.rig.build_request(number)
        outcome = self.rig.claim(host, request)
        runs = self.rig.runs.get(request.id, 0)
        match outcome:
            case claims.Granted(permit):
                self.permits.append((host, request, permit))
            case claims.AlreadyClaimed(
                claims.RequestStatus.NOT_RUN
            ) | claims.NotClaimed(True):
                assert runs == 0
            case claims.AlreadyClaimed(claims.RequestStatus.RAN):
                assert runs == 1

    @stateful.precondition(lambda self: self.permits)
    @stateful.rule(index=strategies.integers(0, 100))
    def begin(self, index):
        chosen = self.permits[index % len(self.permits)]
        if self.rig.start_run(chosen[1], chosen[2]):
            self.started.append(chosen)

    @stateful.precondition(lambda self: self.permits)
    @stateful.rule(index=strategies.integers(0, 100), is_known=strategies.booleans())
    def finish(self, index, is_known):
        chosen = self.permits.pop(index % len(self.permits))
        host, request, permit = chosen
        ran = True if chosen in self.started and is_known else None
        self.rig.claimants[host].finish(permit, ran)

    @stateful.rule(number=strategies.integers(1, 2))
    def look_up(self, number):
        request = self.rig.build_request(number)
        match self.rig.claimants[0].look_up(request):
            case claims.AlreadyClaimed(claims.RequestStatus.NOT_RUN):
                assert self.rig.runs.get(request.id, 0) == 0
            case claims.AlreadyClaimed(claims.RequestStatus.RAN):
                assert self.rig.runs[request.id] == 1

    @stateful.rule(seconds=strategies.sampled_from([1.0, 5.0, 20.0]))
    def pause(self, seconds):
        self.rig.key_value_rig.clock.advance(seconds)

    @stateful.rule(
        host=strategies.integers(0, HOSTS - 1),
        fault=strategies.sampled_from(
            [fault for fault in FAULTS if fault is not OLDER]
        ),
        rival=strategies.integers(0, HOSTS - 1),
        number=strategies.integers(1, 2),
    )
    def meet_fault(self, host, fault, rival, number):
        if fault is keyvalue_builders.WriteFault.RIVAL and rival == host:
            return
        self.rival_host, self.rival_number = rival, number
        self.rig.transports[host].meet_next(fault)

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def deliver(self, host):
        self.rig.transports[host].deliver()

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def flush(self, host):
        self.rig.claimants[host].flush()

    @stateful.rule(down=strategies.booleans())
    def set_platform(self, down):
        self.rig.key_value_rig.faults.down = down

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def replace_host(self, host):
        """Replace a host; the old process may only be paused, and keeps its permits."""
        self.rig.start_host(host)

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(runs <= 1 for runs in self.rig.runs.values())


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)
