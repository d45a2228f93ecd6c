"""Validates an operator's intent and applies it to the configuration as a whole."""

from __future__ import annotations

import msgspec

from saddlestack.errors import ErrorKind, SaddlestackError, invalid
from saddlestack.models import Account, Assignment, DataHall, Document, Intent, Shape
from saddlestack.policy.planner import Planner, cells_of
from saddlestack.shapes import check_accelerators

MAX_DOCUMENT_NAME = 128


def apply_intent(document: Document, intent: Intent) -> Document:
    """Return the document with the intent applied, at the next revision.

    :raises SaddlestackError: the intent is invalid or its guarantees do not fit.
    """
    check_intent(intent)
    halls = intent.data_halls if intent.data_halls is not None else document.data_halls
    accounts = _accounts(document, intent)
    spare = intent.spare if intent.spare is not None else document.spare
    assignments = Planner(cells_of(halls), spare).assign(accounts, document.assignments)
    return msgspec.structs.replace(
        document,
        revision=document.revision + 1,
        data_halls=halls,
        accounts=accounts,
        weights=intent.weights or document.weights,
        spare=spare,
        assignments=assignments,
        leaving=_leaving(document, intent),
    )


def describe(before: Document, after: Document) -> tuple[str, ...]:
    """Describe each difference between two documents in a sentence.

    :rtype: tuple[str, ...]
    """
    changes: list[str] = []
    if before.data_halls != after.data_halls:
        count = sum(rack.workers for hall in after.data_halls for rack in hall.racks)
        changes.append(f"data halls: {len(after.data_halls)} halls with {count} workers")
    changes += _account_changes(before, after)
    if before.weights != after.weights:
        changes.append(
            f"weights: completion {after.weights.completion:g}, "
            f"fragmentation {after.weights.fragmentation:g}"
        )
    if before.spare != after.spare:
        changes.append(f"spare: {before.spare} to {after.spare} workers a cell")
    changes += [f"vm {vm}: no new work" for vm in after.leaving if vm not in before.leaving]
    changes += [f"vm {vm}: takes work again" for vm in before.leaving if vm not in after.leaving]
    changes += _moved(before.assignments, after.assignments)
    return tuple(changes)


def check_intent(intent: Intent) -> None:
    """Check everything about an intent that does not depend on the document.

    :raises SaddlestackError: the intent is invalid; names the key path.
    """
    _check_halls(intent.data_halls or ())
    _check_unique([account.name for account in intent.accounts], "accounts")
    for i, account in enumerate(intent.accounts):
        _check_account(account, f"accounts[{i}]")
    if intent.spare is not None and intent.spare < 0:
        raise invalid(f"expected 0 or more, got {intent.spare}", "spare")
    weights = intent.weights
    if weights is not None and (
        weights.completion < 0
        or weights.fragmentation < 0
        or weights.completion + weights.fragmentation <= 0
    ):
        raise invalid("expected weights of 0 or more with a sum above 0", "weights")


def _check_halls(halls: tuple[DataHall, ...]) -> None:
    _check_unique([hall.name for hall in halls], "data_halls")
    _check_unique([rack.name for hall in halls for rack in hall.racks], "data_halls racks")
    for i, hall in enumerate(halls):
        _check_name(hall.name, f"data_halls[{i}].name")
        for j, rack in enumerate(hall.racks):
            where = f"data_halls[{i}].racks[{j}]"
            _check_name(rack.name, f"{where}.name")
            for key, value in (
                ("workers", rack.workers),
                ("accelerators", rack.accelerators),
                ("slots", rack.slots),
            ):
                if value < 1:
                    raise invalid(f"expected 1 or more, got {value}", f"{where}.{key}")


def _check_account(account: Account, where: str) -> None:
    _check_name(account.name, f"{where}.name")
    if "/" in account.name:
        raise invalid("expected a name without '/'", f"{where}.name")
    for i, guarantee in enumerate(account.guarantees):
        place = f"{where}.guarantees[{i}]"
        check_accelerators(guarantee.accelerators, f"{place}.accelerators")
        if guarantee.count < 1:
            raise invalid(f"expected 1 or more, got {guarantee.count}", f"{place}.count")
    limits = account.limits
    for key, value in (
        ("queued", limits.queued),
        ("rate", limits.rate),
        ("burst", limits.burst),
    ):
        if value <= 0:
            raise invalid(f"expected a number above 0, got {value}", f"{where}.limits.{key}")


def _check_name(name: str, where: str) -> None:
    if not name.strip() or len(name) > MAX_DOCUMENT_NAME:
        raise invalid(f"expected a name of 1 to {MAX_DOCUMENT_NAME} characters", where)


def _check_unique(names: list[str], where: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise invalid(f"{name!r} is listed twice", where)


def _accounts(document: Document, intent: Intent) -> tuple[Account, ...]:
    accounts = {account.name: account for account in document.accounts}
    for name in intent.remove_accounts:
        if accounts.pop(name, None) is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no account {name}")
    for account in intent.accounts:
        before = accounts.get(account.name)
        if before is not None and not account.tokens:
            account = msgspec.structs.replace(account, tokens=before.tokens)
        accounts[account.name] = account
    return tuple(accounts[name] for name in sorted(accounts))


def _leaving(document: Document, intent: Intent) -> tuple[str, ...]:
    return tuple(sorted((set(document.leaving) | set(intent.drain)) - set(intent.undrain)))


def _account_changes(before: Document, after: Document) -> list[str]:
    old = {account.name: account for account in before.accounts}
    new = {account.name: account for account in after.accounts}
    changes = [f"account {name}: removed" for name in old if name not in new]
    for name, account in new.items():
        if name not in old:
            changes.append(f"account {name}: created with {_guarantees(account)}")
        elif account != old[name]:
            changes.append(
                f"account {name}: from {_guarantees(old[name])} to {_guarantees(account)}"
                if account.guarantees != old[name].guarantees
                else f"account {name}: limits or tokens changed"
            )
    return changes


def _guarantees(account: Account) -> str:
    if not account.guarantees:
        return "no guarantee"
    return ", ".join(f"{g.count}x{g.accelerators}@{g.adjacent}" for g in account.guarantees)


def _moved(before: tuple[Assignment, ...], after: tuple[Assignment, ...]) -> list[str]:
    changes = []
    for cell in sorted({a.cell for a in (*before, *after)}):
        old = sorted((a.account, str(a.shape)) for a in before if a.cell == cell)
        new = sorted((a.account, str(a.shape)) for a in after if a.cell == cell)
        if old != new:
            changes.append(f"cell {cell}: {len(new)} guaranteed shapes assigned, was {len(old)}")
    return changes


def shapes_of(document: Document) -> tuple[Shape, ...]:
    """The distinct guaranteed shapes, used as reference shapes when measuring fragmentation."""
    shapes = {assignment.shape for assignment in document.assignments}
    return tuple(sorted(shapes, key=lambda shape: (shape.accelerators, shape.adjacent.value)))
