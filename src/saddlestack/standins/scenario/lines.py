"""The lines of a scenario: verb, words and options."""

from __future__ import annotations

import shlex
from collections.abc import Collection
from dataclasses import dataclass

from saddlestack.errors import invalid


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a scenario: verb, words and options."""

    number: int
    verb: str
    words: tuple[str, ...]
    options: dict[str, str]

    def word(self, index: int, what: str) -> str:
        """A word that has to be there.

        :raises SaddlestackError: it is not.
        """
        if index >= len(self.words):
            raise invalid(f"{self.verb} needs {what}")
        return self.words[index]

    def number_of(self, name: str, default: float) -> float:
        """An option that is a number."""
        return number(self.options.get(name, str(default)), name)

    def flag(self, name: str) -> bool:
        """Whether a word stands anywhere after the verb."""
        return name in self.words


def split(text: str, name: str, verbs: Collection[str]) -> list[Line]:
    """The lines of a scenario that uses these verbs.

    :raises SaddlestackError: with file and line.
    """
    lines = []
    for number, raw in enumerate(text.splitlines(), 1):
        try:
            parts = shlex.split(raw, comments=True)
        except ValueError as error:
            raise invalid(str(error), f"{name}:{number}") from None
        if not parts:
            continue
        verb, *rest = parts
        if verb not in verbs:
            raise invalid(f"no verb {verb!r}; there are {', '.join(verbs)}", f"{name}:{number}")
        words = tuple(word for word in rest if "=" not in word)
        options = dict(word.split("=", 1) for word in rest if "=" in word)
        lines.append(Line(number, verb, words, options))
    return lines


def number(text: str, name: str) -> float:
    """The number that a word spells.

    :raises SaddlestackError: it spells none.
    """
    try:
        return float(text)
    except ValueError:
        raise invalid(f"{name}: expected a number, got {text!r}") from None
