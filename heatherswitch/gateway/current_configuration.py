"""The configuration in force, as state with an age."""

from heatherswitch.gateway.model import Configuration, RouteTable


class CurrentConfiguration:
    """Holds the newest configuration that was read and when it was last confirmed.

    Its version never goes back.

    :param key_max_age_s: seconds for which keys are accepted after the configuration
        was confirmed; a key may have been withdrawn since.
    :param refuse_age_s: age in seconds up to which an unknown route or key is refused
        for good; later a newer configuration may be in force.
    """

    __slots__ = (
        "_configuration",
        "_confirmed_at",
        "_key_max_age_s",
        "_refuse_age_s",
        "_routes",
    )

    def __init__(self, key_max_age_s: float, refuse_age_s: float) -> None:
        self._key_max_age_s = key_max_age_s
        self._refuse_age_s = refuse_age_s
        self._configuration: Configuration | None = None
        self._routes = RouteTable()
        self._confirmed_at = float("-inf")

    @property
    def configuration(self) -> Configuration | None:
        """The configuration, or None before the first one."""
        return self._configuration

    @property
    def routes(self) -> RouteTable:
        """Routes of the configuration."""
        return self._routes

    @property
    def version(self) -> int:
        """Version in force; 0 before the first one."""
        return self._configuration.version if self._configuration else 0

    def update(self, configuration: Configuration) -> bool:
        """Takes a newer configuration; returns False for an older one."""
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._routes = RouteTable.from_configuration(configuration)
        return True

    def confirm(self, current_at: float) -> None:
        """Notes that the store held nothing newer at a time."""
        self._confirmed_at = max(self._confirmed_at, current_at)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the configuration was confirmed."""
        return now - self._confirmed_at

    def accepts_keys(self, now: float) -> bool:
        """Tells whether no key can have been withdrawn for too long."""
        return self.age_s(now) < self._key_max_age_s

    def is_authoritative(self, now: float) -> bool:
        """Tells whether an unknown route or key may be refused for good."""
        return self.age_s(now) < self._refuse_age_s
