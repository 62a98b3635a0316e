"""Periodic work for quotas: renews leases, returns tokens, sets gauges."""

import dataclasses
import math

import eventlet

from corianderrill import metrics
from corianderrill.gateway import quotas

TICK_INTERVAL_S = 0.25
CLEANUP_INTERVAL_S = 20.0


@dataclasses.dataclass(slots=True)
class QuotaUpkeep:
    """Renews leases, returns tokens and forgets what is no longer needed."""

    quotas: quotas.Quotas
    _cleaned_at: float = -math.inf

    def run(self) -> None:
        """Do what is due at an interval; never returns."""
        while True:
            eventlet.sleep(TICK_INTERVAL_S)
            self.tick(self.quotas.loop.now())

    def tick(self, now: float) -> None:
        """Do what is due."""
        if not self.quotas.is_needed():
            return
        for workspace in self.quotas.allowances.list_due(now):
            self.quotas.renew_lease(workspace, now)
        self.quotas.client.send_returned()
        self.quotas.lessor.update_ledgers(now)
        if now - self._cleaned_at >= CLEANUP_INTERVAL_S:
            self._cleaned_at = now
            self._drop_idle(now)

    def _drop_idle(self, now: float) -> None:
        window_s = self.quotas.bounds.window_s
        for workspace, allowance in self.quotas.allowances.items():
            if allowance.is_idle(window_s, now):
                self.quotas.allowances.discard(workspace)
        self.quotas.lessor.drop_idle(now)
        self.quotas.client.retain(self.quotas.directory.list_keys())


def update_gauges(host_quotas: quotas.Quotas | quotas.Unlimited, now: float) -> None:
    """Set the gauges of the leases of a host, and of its ledgers."""
    if not host_quotas.is_needed():
        return
    _update_units(host_quotas, now)
    tokens = {}
    leased = 0
    for workspace, account in host_quotas.lessor.list_accounts(now):
        terms = host_quotas.find_terms_if_known(workspace)
        if terms is not None:
            account.refill(terms, now)
            tokens[(workspace,)] = round(account.tokens, 2)
            leased += account.count_leased(terms, now)
    host_quotas.meter.replace(metrics.GATEWAY_QUOTA_TOKENS_LEFT, tokens)
    host_quotas.meter.set(metrics.GATEWAY_QUOTA_LEASED, leased)


def _update_units(host_quotas: quotas.Quotas, now: float) -> None:
    units = {}
    for workspace, allowance in host_quotas.allowances.items():
        terms = host_quotas.find_terms_if_known(workspace)
        if terms is not None:
            units[(workspace,)] = allowance.count_units(terms, now)
    host_quotas.meter.replace(metrics.GATEWAY_QUOTA_UNITS, units)
