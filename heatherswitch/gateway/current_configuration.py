"""The configuration in force and how recently the store confirmed it."""

from heatherswitch.gateway.model import Configuration, RouteTable


class CurrentConfiguration:
    """Holds the newest configuration and the time at which it was last confirmed.

    The version never decreases.

    :param key_max_age_s: seconds since the last confirmation for which API keys are
        accepted; later a key may have been revoked.
    :param refuse_age_s: seconds since the last confirmation for which an unknown route
        or key is refused with a final status; later a newer configuration may know it.
    """

    __slots__ = (
        "_configuration",
        "_confirmed_at",
        "_complete",
        "_key_max_age_s",
        "_refuse_age_s",
        "_routes",
    )

    def __init__(self, key_max_age_s: float, refuse_age_s: float) -> None:
        self._key_max_age_s = key_max_age_s
        self._refuse_age_s = refuse_age_s
        self._configuration: Configuration | None = None
        self._routes = RouteTable()
        # False if the store holds routes or keys that this gateway could not decode.
        self._complete = True
        self._confirmed_at = float("-inf")

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or None before the first one was read."""
        return self._configuration

    @property
    def routes(self) -> RouteTable:
        """Lookup table for the routes of the configuration."""
        return self._routes

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first one was read."""
        return self._configuration.version if self._configuration else 0

    def update(self, configuration: Configuration | None) -> bool:
        """Replaces the configuration by a newer one; returns False for an older one.

        :param configuration: None if the newest one could not be decoded. The last one
            stays in force then, but no longer tells which routes and keys exist.
        """
        if configuration is None:
            self._complete = False
            return False
        if configuration.version == self.version:
            # Written again after a version that could not be decoded.
            self._complete = configuration.complete
        if configuration.version <= self.version:
            return False
        self._complete = configuration.complete
        self._configuration = configuration
        self._routes = RouteTable.from_configuration(configuration)
        return True

    def confirm(self, current_at: float) -> None:
        """Notes that the store held nothing newer at ``current_at``."""
        self._confirmed_at = max(self._confirmed_at, current_at)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the last confirmation; infinite before the first."""
        return now - self._confirmed_at

    def accepts_keys(self, now: float) -> bool:
        """Tells whether the configuration is recent enough to accept API keys."""
        return self.age_s(now) < self._key_max_age_s

    def is_authoritative(self, now: float) -> bool:
        """Tells whether an unknown route or key may be refused with a final status."""
        return self._complete and self.age_s(now) < self._refuse_age_s
