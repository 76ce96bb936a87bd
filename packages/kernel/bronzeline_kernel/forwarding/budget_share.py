"""Give each router its share of the retries that the fleet may make."""

from __future__ import annotations

from bronzeline_kernel.admission import RetryBudget

__all__ = ["BudgetShare"]

# Share of the allowed ratio that requests earn; the rest covers reserves that do
# not divide evenly and requests that peers count in another window.
EARNED_SHARE = 0.65
# In sites of 7 to 9 routers each gets a tenth of the reserve.
MAX_RESERVE_SHARE = 0.1
# The sum of the reserves may exceed the allowed reserve by what is not earned.
RESERVE_FACTOR = 1.3
# The loss of a zone breaks two or three streams of one router at once.
MIN_RESERVE = 2.5


class BudgetShare:
    """Hold a router's retry budget for each service, sized by the number of routers."""

    def __init__(self, ratio: float, n_reserve: float) -> None:
        self._ratio = EARNED_SHARE * ratio
        self._n_reserve = n_reserve
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str, n_routers: int) -> RetryBudget:
        """Return the budget of a service, resized to the number of routers."""
        reserve = self._reserve(n_routers)
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._ratio, reserve)
        budget.resize(reserve)
        return budget

    def _reserve(self, n_routers: int) -> float:
        share = min(MAX_RESERVE_SHARE, RESERVE_FACTOR / max(1, n_routers))
        return max(MIN_RESERVE, share * self._n_reserve)
