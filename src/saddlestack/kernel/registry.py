"""The registry through which services find each other by name."""

from __future__ import annotations

from typing import TypeVar

S = TypeVar("S")


class Registry:
    """Services by name. Each daemon has one registry."""

    def __init__(self) -> None:
        self._services: dict[str, object] = {}

    def add(self, name: str, service: object) -> None:
        """Registers a service.

        :raises ValueError: the name is taken.
        """
        if name in self._services:
            raise ValueError(f"service {name} is registered twice")
        self._services[name] = service

    def remove(self, name: str) -> None:
        """Removes a service; unknown names are ignored."""
        self._services.pop(name, None)

    def get(self, name: str, kind: type[S]) -> S:
        """Returns the service with a name.

        :raises LookupError: there is none, or it is of another type.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise LookupError(f"no {kind.__name__} is registered as {name}")
        return service

    def find(self, name: str, kind: type[S]) -> S | None:
        """Returns the service with a name, or ``None``."""
        service = self._services.get(name)
        return service if isinstance(service, kind) else None
