"""Parser for the lines of a scenario."""

from __future__ import annotations

import shlex
from collections.abc import Collection
from dataclasses import dataclass

from saddlestack.errors import invalid


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a scenario.

    :param number: line number, from 1.
    :param words: words after the verb, without options.
    :param options: values of the words of the form ``name=value``.
    """

    number: int
    verb: str
    words: tuple[str, ...]
    options: dict[str, str]

    def word(self, index: int, what: str) -> str:
        """Return a required word.

        :param what: description of the word for the error.
        :raises SaddlestackError: it is missing.
        """
        if index >= len(self.words):
            raise invalid(f"{self.verb} needs {what}")
        return self.words[index]

    def number_of(self, name: str, default: float) -> float:
        """Return a numeric option.

        :raises SaddlestackError: its value is not a number.
        """
        return number(self.options.get(name, str(default)), name)

    def flag(self, name: str) -> bool:
        """Whether the line has a word."""
        return name in self.words


def split(text: str, name: str, verbs: Collection[str]) -> list[Line]:
    """Split a scenario into lines.

    :param name: name of the file for errors.
    :param verbs: known verbs.
    :raises SaddlestackError: a line can't be parsed; the error has the file and line.
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
            raise invalid(
                f"unknown verb {verb!r}; known verbs: {', '.join(verbs)}", f"{name}:{number}"
            )
        words = tuple(word for word in rest if "=" not in word)
        options = dict(word.split("=", 1) for word in rest if "=" in word)
        lines.append(Line(number, verb, words, options))
    return lines


def number(text: str, name: str) -> float:
    """Parse a number.

    :param name: what the number is, for the error.
    :raises SaddlestackError: ``text`` is not a number.
    """
    try:
        return float(text)
    except ValueError:
        raise invalid(f"{name}: expected a number, got {text!r}") from None
