"""The order in which queued requests are sent to one replica.

Requests that can still meet their latency goal go first, then those of the higher
priority. Among these, workspaces share the replica by weight (start-time fair queueing,
Goyal et al. 1996), and within one workspace the earliest goal goes first. Without
workspaces all requests share one rank, and only the goals decide.

A level is a group of equal lateness and priority. Its virtual time is the start of the
request that was sent last. A workspace whose request is sent at the virtual time `t`
may send the next one of that level at `t + 1 / weight`; one that had nothing to send
starts at the virtual time, so that it neither saves up a share nor owes one.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from corianderrill import names

# A workspace that waits is passed over for at most so many requests for each workspace
# that waits, whatever its level and weight. The others lose an eighth at most.
MAX_ROUNDS_PASSED_OVER = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """What a request has of its workspace; the highest priority is 0.

    Without workspaces, `workspace` is None. It is empty if the request belongs to none.
    """

    priority: int = 0
    workspace: names.WorkspaceName | None = None
    weight: float = 1.0


NO_WORKSPACES = Rank()


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """A group of requests that go before or after all others; the smallest first."""

    is_late: bool
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """What decides when a queued request is sent.

    `goal_at` is its latency goal, in seconds of the host's monotonic clock.
    """

    is_late: bool
    goal_at: float
    rank: Rank = NO_WORKSPACES

    @property
    def sort_key(self) -> tuple[bool, int, float]:
        """The order within one workspace; the smallest goes first."""
        return (self.is_late, self.rank.priority, self.goal_at)

    @property
    def level(self) -> Level:
        """The level of the request."""
        return Level(self.is_late, self.rank.priority)


@dataclasses.dataclass(slots=True)
class _LevelShares:
    """The virtual time of a level, and when workspaces may send next."""

    virtual_time: float = 0.0
    next_starts: dict[names.WorkspaceName | None, float] = dataclasses.field(
        default_factory=dict
    )

    def get_start(self, workspace: names.WorkspaceName | None) -> float:
        return max(self.next_starts.get(workspace, 0.0), self.virtual_time)

    def charge(self, rank: Rank) -> None:
        start = self.get_start(rank.workspace)
        self.virtual_time = start
        self.next_starts[rank.workspace] = start + 1.0 / rank.weight


@dataclasses.dataclass(slots=True)
class SendOrder:
    """Chooses among the requests queued for one replica, and counts what it chose."""

    _shares: dict[Level, _LevelShares] = dataclasses.field(default_factory=dict)
    _chosen_count: int = 0
    # By workspace that waits: the count when it began to, or when it was last chosen.
    _waiting_since: dict[names.WorkspaceName | None, int] = dataclasses.field(
        default_factory=dict
    )

    def choose(self, urgencies: Sequence[Urgency]) -> int:
        """Return the position of the request to send; the first of equal ones."""
        firsts = _find_firsts(urgencies)
        if len(urgencies) == 1:
            # Nothing else waits, so no share was used up.
            self._forget()
            return 0
        self._update_waiting(firsts)
        position = self._find_passed_over(firsts)
        if position is None:
            position = self._choose_by_share(urgencies, firsts.values())
        self._charge(urgencies[position])
        return position

    def _choose_by_share(
        self, urgencies: Sequence[Urgency], positions: Iterable[int]
    ) -> int:
        """Return the position of the best level whose workspace may send first."""

        def get_key(position: int) -> tuple[bool, int, float, float, int]:
            urgency = urgencies[position]
            level = urgency.level
            start = self._get_shares(level).get_start(urgency.rank.workspace)
            goal_at = urgency.goal_at
            return (level.is_late, level.priority, start, goal_at, position)

        return min(positions, key=get_key)

    def _find_passed_over(
        self, firsts: dict[names.WorkspaceName | None, int]
    ) -> int | None:
        """Return the first request of the workspace that waits for too long, if any."""
        longest = min(firsts, key=self._waiting_since.__getitem__)
        passed_over = self._chosen_count - self._waiting_since[longest]
        if passed_over < MAX_ROUNDS_PASSED_OVER * len(firsts):
            return None
        return firsts[longest]

    def _update_waiting(self, firsts: dict[names.WorkspaceName | None, int]) -> None:
        self._waiting_since = {
            workspace: self._waiting_since.get(workspace, self._chosen_count)
            for workspace in firsts
        }

    def _charge(self, urgency: Urgency) -> None:
        self._chosen_count += 1
        self._waiting_since[urgency.rank.workspace] = self._chosen_count
        self._get_shares(urgency.level).charge(urgency.rank)

    def _get_shares(self, level: Level) -> _LevelShares:
        return self._shares.setdefault(level, _LevelShares())

    def _forget(self) -> None:
        self._shares.clear()
        self._waiting_since.clear()


def _find_firsts(
    urgencies: Sequence[Urgency],
) -> dict[names.WorkspaceName | None, int]:
    """Return the position of the first request of each workspace."""
    firsts: dict[names.WorkspaceName | None, int] = {}
    for position, urgency in enumerate(urgencies):
        workspace = urgency.rank.workspace
        first = firsts.get(workspace)
        if first is None or urgency.sort_key < urgencies[first].sort_key:
            firsts[workspace] = position
    return firsts
