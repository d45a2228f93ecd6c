"""Encoding and decoding of JSON, JSON with comments and msgpack; errors name the location."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import pyjson5

from saddlestack.errors import ErrorKind, SaddlestackError, invalid

T = TypeVar("T")

_NEAR = re.compile(r"near (\d+)")

_json_encoder = msgspec.json.Encoder()
_pack_encoder = msgspec.msgpack.Encoder()


def to_json(value: object) -> bytes:
    """Encode a model as JSON.

    :rtype: bytes
    """
    return _json_encoder.encode(value)


def to_msgpack(value: object) -> bytes:
    """Encode a model as msgpack.

    :rtype: bytes
    """
    return _pack_encoder.encode(value)


def from_json(data: bytes | str, kind: type[T], where: str = "body") -> T:
    """Decode JSON into a model.

    :raises SaddlestackError: malformed JSON or an invalid field; names its key path.
    """
    try:
        if isinstance(data, bytes):
            _check_utf8(data)
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise invalid(_reason(error), _locate(error, where)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SaddlestackError(ErrorKind.MALFORMED, str(error), where=where) from None


def _check_utf8(data: bytes) -> None:
    """Check that all data is UTF-8, including unknown fields, which the decoder skips.

    :raises UnicodeDecodeError: the data is not UTF-8.
    """
    if not data.isascii():
        data.decode()


def has_repeated_keys(data: bytes, where: str) -> bool:
    """Whether an object of a JSON document has a duplicate key, which decoders treat differently.

    :raises SaddlestackError: the document is malformed.
    """
    repeated = False

    def check_pairs(pairs: list[tuple[str, object]]) -> None:
        nonlocal repeated
        repeated = repeated or len({key for key, _ in pairs}) < len(pairs)

    try:
        json.loads(data, object_pairs_hook=check_pairs)
    except (ValueError, RecursionError) as error:
        raise SaddlestackError(ErrorKind.MALFORMED, str(error), where=where) from None
    return repeated


def from_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode msgpack into a model.

    :raises SaddlestackError: the data does not encode such a model.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SaddlestackError(ErrorKind.MALFORMED, str(error), where="frame") from None


def convert(value: object, kind: type[T], where: str) -> T:
    """Convert a decoded value into a model.

    :raises SaddlestackError: a field is invalid; names its key path.
    """
    try:
        return msgspec.convert(value, type=kind)
    except msgspec.ValidationError as error:
        raise invalid(_reason(error), _locate(error, where)) from None


def read_json_with_comments(path: Path, kind: type[T]) -> T:
    """Read a file of JSON with comments into a model.

    :raises SaddlestackError: the file is unreadable, malformed or invalid; names the file and the
        line or key path.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise invalid(f"cannot be read: {error}", str(path)) from None
    return parse_json_with_comments(text, kind, str(path))


def parse_json_with_comments(text: str, kind: type[T], name: str) -> T:
    """Parse JSON with comments into a model; errors name the file ``name``."""
    try:
        value: Any = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        line = _line(text, error)
        raise SaddlestackError(
            ErrorKind.MALFORMED, f"not JSON with comments: {error.args[0]}", where=f"{name}:{line}"
        ) from None
    return convert(value, kind, name)


def _line(text: str, error: Exception) -> int:
    near = _NEAR.search(str(error.args[0]))
    offset = int(near.group(1)) if near else len(text)
    return text.count("\n", 0, offset) + 1


def _reason(error: msgspec.ValidationError) -> str:
    return str(error).partition(" - at `")[0]


def _locate(error: msgspec.ValidationError, where: str) -> str:
    path = str(error).partition(" - at `")[2].rstrip("`").removeprefix("$")
    return f"{where}: {path.lstrip('.')}" if path else where
