"""Reads the settings file that the platform writes for a gateway process.

The launcher reads it before the gateway's modules are imported, so this module imports
little.
"""

import json
import os
from typing import Any

from heatherswitch.platform import names
from heatherswitch.util.untrusted import describe_error

# Errors that the YAML library raises for tagged scalars, dates and numbers that it cannot
# convert, beside its own.
_INVALID_SCALAR_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


class SettingsError(Exception):
    """The settings file is missing, unreadable or malformed."""


def settings_path() -> str:
    """Returns the path of the settings file.

    :raises SettingsError: if the environment variable is not set.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{names.SETTINGS_VARIABLE} is not set")
    return path


def read_settings(path: str) -> dict[str, Any]:
    """Loads the settings file, which is JSON or YAML.

    :raises SettingsError: if it cannot be read or is not a mapping.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as error:
        # A path with a NUL raises ValueError.
        raise SettingsError(f"{path}: {error}") from error
    try:
        settings = json.loads(text)
    except (ValueError, RecursionError):
        settings = _parse_yaml(path, text)
    if not isinstance(settings, dict):
        raise SettingsError(f"{path}: the settings are not a mapping")
    return settings


def _parse_yaml(path: str, text: str) -> Any:
    """Parses YAML, whose library takes much longer to import than the one for JSON."""
    import yaml

    try:
        return yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (*_INVALID_SCALAR_ERRORS, RecursionError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {describe_error(error)}") from error
