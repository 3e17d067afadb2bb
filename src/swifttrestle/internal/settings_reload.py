"""Applies a changed settings file to a running gateway."""

from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.coordination.membership.gossip import Gossip
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.gateway_state import RetryBudgets
from swifttrestle.internal.quota_enforcement import QuotaEnforcement
from swifttrestle.platform.settings import HostSettings, load_host_settings


class SettingsReloader:
    """Reads the settings file again and applies what may change at run time."""

    def __init__(
        self,
        settings: HostSettings,
        budgets: RetryBudgets,
        gossip: Gossip,
        quotas: QuotaEnforcement,
    ) -> None:
        """Change these components, which were created with `settings`."""
        self._settings = settings
        self._budgets = budgets
        self._gossip = gossip
        self._quotas = quotas

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            settings = load_host_settings()
            log_event("settings read again", source="SIGHUP or changed file")
            self._apply(settings)
        except InvalidSettingError as error:
            # The current settings stay in use.
            log_event("settings not taken", reason=str(error))

    def _apply(self, settings: HostSettings) -> None:
        """Apply the retry budget, the tolerance of quotas and the seeds.

        Changed addresses take effect at the next start.
        """
        if settings.callers != self._settings.callers or settings.store != self._settings.store:
            log_event("settings kept", names=["listen", "platform"], reason="restart required")
        bounds = settings.bounds
        self._budgets.change(bounds.retry_share, bounds.retry_extra, bounds.retry_window_seconds)
        self._quotas.change_tolerance(bounds.quota)
        self._gossip.add_seeds([seed[0] for seed in settings.seeds])
