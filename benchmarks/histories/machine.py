"""Histories of a site as a state machine of hypothesis: it draws and shrinks them."""

from collections.abc import Callable

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from benchmarks.histories import links, site, virtual_hub

START_S = 8.0
# Longer than any pause of what is drawn.
CALM_S = 12.0
MAX_FAULT_S = 4.0
# After each fault, so that hosts are judged between faults that excuse them.
PAUSE_S = 0.8

KINDS = (
    "age_stale_reads",
    "cut_between",
    "drop_history",
    "end_service",
    "freeze",
    "lose_replies",
    "move_slot",
    "restart",
    "restore_store",
    "slow_down",
    "turn_away",
)
_SHORT = st.sampled_from((0.05, 0.3, 0.9, 1.6, 2.5))
_SPANS = st.sampled_from((0.2, 0.5, 1.0, 2.0, MAX_FAULT_S))
_NUMBERS = st.integers(0, 5)
# Whether a configuration is great; None for one like the last.
_SIZES = st.sampled_from((None, None, True, False))
_SOME_NUMBERS = st.sets(_NUMBERS, min_size=1, max_size=3)
# When a version is published after a fault has begun, if one is; a change that meets a
# fault in its first moments is the one that may get lost.
_THEN = st.sampled_from((None, 0.0, 0.05, 0.3))
_CUTS = st.sampled_from((links.Trouble.SILENT, links.Trouble.BUSY, links.Trouble.RESET))


def fault(
    **strategies: st.SearchStrategy,
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Return a decorator for a rule that is a fault, of the kind of its name."""

    def decorate(function: Callable[..., None]) -> Callable[..., None]:
        is_allowed = stateful.precondition(
            lambda history: function.__name__ in history.kinds
        )
        return is_allowed(stateful.rule(**strategies, then=_THEN)(function))

    return decorate


class SiteHistory(stateful.RuleBasedStateMachine):
    """A site among faults; the judge's findings are what must not be."""

    shapes = site.SHAPES

    def __init__(self) -> None:
        super().__init__()
        # Of the faults that this history has: where there are many, hosts are excused
        # nearly all the time.
        self.kinds: set[str] = set()
        self._context = virtual_hub.use_hub()
        self._hub = self._context.__enter__()
        self._site: site.Site | None = None

    @stateful.initialize(
        number=st.integers(0, 99),
        seed=st.integers(0, 9_999),
        kinds=st.sets(st.sampled_from(KINDS), min_size=3, max_size=5),
        stale_s=st.sampled_from((0.0, 0.0, 3.0, 5.5)),
    )
    def start(self, number: int, seed: int, kinds: set[str], stale_s: float) -> None:
        """Start a site of one of the shapes, with stale reads of this age."""
        self.kinds = kinds
        shape = self.shapes[number % len(self.shapes)]
        self._site = site.Site(shape, seed, self._hub)
        self._site.store.stale_s = stale_s
        self._pass(START_S)

    def _pass(self, seconds: float) -> None:
        self._hub.let_pass(seconds)
        findings = list(map(str, self._site.findings[:3]))
        assert not findings, findings

    def _publish_then(self, then: float | None) -> None:
        if then is not None:
            self._pass(then)
            self._site.publish()
        self._pass(PAUSE_S)

    def _get_host(self, number: int) -> object:
        return self._site.hosts[number % len(self._site.hosts)]

    @stateful.rule(seconds=_SHORT)
    def let_pass(self, seconds: float) -> None:
        """Let time pass."""
        self._pass(seconds)

    @stateful.rule(count=st.integers(1, 5), gap_s=_SHORT, is_great=_SIZES)
    def publish_series(self, count: int, gap_s: float, is_great: bool | None) -> None:
        """Publish versions one after the other."""
        for _ in range(count):
            self._site.publish(is_great)
            self._pass(gap_s)

    @stateful.rule(kind=st.integers(0, 2))
    def publish_invalid(self, kind: int) -> None:
        """Let another writer spoil the key."""
        self._site.publish_invalid(kind)

    @stateful.rule(number=_NUMBERS)
    def change_replica(self, number: int) -> None:
        """Let a replica come or go."""
        self._site.change_replica(number)

    @fault(number=_NUMBERS, for_s=st.sampled_from((0.1, 0.2, 0.5)))
    def lose_replies(self, number: int, for_s: float, then: float | None) -> None:
        """Lose a reply of the store to one host."""
        self._site.lose_replies(self._get_host(number), for_s)
        self._publish_then(then)

    @fault(numbers=_SOME_NUMBERS, how=_CUTS)
    def turn_away(
        self, numbers: set[int], how: links.Trouble, then: float | None
    ) -> None:
        """Let the store answer the other hosts only."""
        for number in sorted(numbers):
            self._site.cut(self._get_host(number), how, MAX_FAULT_S)
        self._publish_then(then)

    @fault(number=_NUMBERS, other=_NUMBERS, how=_CUTS, for_s=_SPANS)
    def cut_between(
        self,
        number: int,
        other: int,
        how: links.Trouble,
        for_s: float,
        then: float | None,
    ) -> None:
        """Part two hosts."""
        ends = self._get_host(number), self._get_host(other)
        if ends[0] is not ends[1]:
            self._site.cut_between(*ends, how, for_s)
        self._publish_then(then)

    @fault(how=_CUTS, for_s=_SPANS)
    def end_service(self, how: links.Trouble, for_s: float, then: float | None) -> None:
        """Let the store answer nobody."""
        self._site.end_service(how, for_s)
        self._publish_then(then)

    @fault(for_s=_SPANS)
    def slow_down(self, for_s: float, then: float | None) -> None:
        """Let the store be slow."""
        self._site.slow_down(for_s)
        self._publish_then(then)

    @fault(age_s=st.sampled_from((1.0, 3.0, 5.5)))
    def age_stale_reads(self, age_s: float, then: float | None) -> None:
        """Let stale reads be old."""
        self._site.age_stale_reads(age_s, 4 * MAX_FAULT_S)
        self._publish_then(then)

    @fault(deaf_s=st.sampled_from((0.0, 1.0)))
    def drop_history(self, deaf_s: float, then: float | None) -> None:
        """Let the store forget its history."""
        self._site.drop_history(deaf_s)
        self._publish_then(then)

    @fault(age_s=st.sampled_from((0.5, 2.0, 6.0)))
    def restore_store(self, age_s: float, then: float | None) -> None:
        """Bring the store back from a copy."""
        self._site.restore_store(age_s)
        self._publish_then(then)

    @fault(number=_NUMBERS, for_s=_SPANS)
    def freeze(self, number: int, for_s: float, then: float | None) -> None:
        """Let a process stand still."""
        self._site.freeze(self._get_host(number), for_s)
        self._publish_then(then)

    @fault(number=_NUMBERS, after_s=_SPANS)
    def restart(self, number: int, after_s: float, then: float | None) -> None:
        """End a process and start another."""
        self._site.restart(self._get_host(number), after_s)
        self._publish_then(then)

    @stateful.rule(number=_NUMBERS)
    def reload(self, number: int) -> None:
        """Send SIGHUP."""
        self._site.reload(self._get_host(number))

    @fault(slot=st.integers(0, 1), number=st.integers(0, 6))
    def move_slot(self, slot: int, number: int, then: float | None) -> None:
        """Give a slot of an aggregator to a host, or to nobody."""
        if slot < self._site.shape.aggregator_count:
            holder = None if number == 6 else self._get_host(number)
            self._site.move_slot(slot, holder)
        self._publish_then(then)

    def teardown(self) -> None:
        """Let all faults end, and judge once more."""
        try:
            if self._site is not None:
                try:
                    self._pass(CALM_S)
                finally:
                    self._site.stop()
        finally:
            self._context.__exit__(None, None, None)


def play(
    seed: int,
    examples: int,
    steps: int,
    machine: type[SiteHistory] = SiteHistory,
) -> None:
    """Play histories drawn from a seed; raise with the shortest one that fails."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.seed(seed)(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)
