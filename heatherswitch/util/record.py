"""Base of plain value classes."""

from collections.abc import Iterator
from typing import Any, Self


class Record:
    """A value class whose fields are its ``__slots__``, in the order of its parameters.

    Records are compared, hashed and represented by their fields. Unlike a dataclass, a
    record generates no code when its module is imported, so that a gateway starts
    sooner after an outage.
    """

    __slots__ = ()

    def __init_subclass__(cls) -> None:
        cls.__match_args__ = cls.__slots__

    def _values(self) -> Iterator[Any]:
        return (getattr(self, name) for name in self.__slots__)

    def __eq__(self, other: object) -> bool:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return all(a == b for a, b in zip(self._values(), other._values(), strict=True))

    def __hash__(self) -> int:
        return hash(tuple(self._values()))

    def __repr__(self) -> str:
        fields = (f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__qualname__}({', '.join(fields)})"

    def replace(self, **changes: Any) -> Self:
        """Returns a copy with other values for some fields.

        :raises TypeError: if a name is no field.
        """
        return type(self)(
            **(dict(zip(self.__slots__, self._values(), strict=True)) | changes)
        )

    def to_dict(self) -> dict[str, Any]:
        """Returns the fields by name; records among them become mappings too."""
        return {
            name: value.to_dict() if isinstance(value, Record) else value
            for name, value in zip(self.__slots__, self._values(), strict=True)
        }
