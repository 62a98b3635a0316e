import itertools

from corianderrill import outcomes, status
from tests.utils import program


def test_version_is_shown():
    assert program.run("--version").stdout == "0.1.0\n"


def test_usage_errors_have_a_status_of_their_own():
    runs = [program.run("no-such-command"), program.run("check"), program.run()]
    assert {run.exit for run in runs} == {status.ExitStatus.USAGE}


def test_help_is_a_success():
    run = program.run("--help")
    assert run.exit == status.ExitStatus.SUCCESS
    assert "settings" in run.stdout


def test_every_outcome_has_a_status_that_no_other_shares():
    kinds = outcomes.Outcome.__args__
    assert set(status.STATUS_BY_OUTCOME) == set(kinds)
    for kind, other in itertools.combinations(kinds, 2):
        assert (
            status.STATUS_BY_OUTCOME[kind].http_status
            != status.STATUS_BY_OUTCOME[other].http_status
        )
        assert (
            status.STATUS_BY_OUTCOME[kind].exit_status
            != status.STATUS_BY_OUTCOME[other].exit_status
        )


def test_refusal_is_never_told_as_a_success():
    for reason in outcomes.RefusalReason:
        chosen = status.status_for(outcomes.NotRun(reason, ""))
        assert chosen.http_status >= 400
        assert status.exit_status_for(chosen.header_value) == status.ExitStatus.NOT_RUN
