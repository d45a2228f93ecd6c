"""Authentication of callers and operators by bearer tokens, which are stored as hashes."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import Document
from saddlestack.settings import Operator
from saddlestack.wire.http import Request


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller that acts for one client account."""

    account: str


def hash_token(token: str) -> str:
    """The SHA-256 hash that is stored in place of a token.

    :rtype: str
    """
    return hashlib.sha256(token.encode()).hexdigest()


class Access:
    """Identifies callers and operators by their tokens.

    :param operators: operators from the settings.
    """

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self._operators = operators

    def identify(self, request: Request, document: Document) -> Caller | Operator:
        """The caller or operator that sent a request.

        :raises SaddlestackError: the token is missing or unknown.
        """
        token = request.bearer
        if token is None:
            raise SaddlestackError(ErrorKind.UNAUTHENTICATED, "a bearer token is required")
        digest = hash_token(token)
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256.lower(), digest):
                return operator
        for account in document.accounts:
            for known in account.tokens:
                if hmac.compare_digest(known.lower(), digest):
                    return Caller(account.name)
        raise SaddlestackError(ErrorKind.UNAUTHENTICATED, "unknown token")

    def operator(self, request: Request, document: Document) -> Operator:
        """The operator that sent a request.

        :raises SaddlestackError: the sender is not an operator.
        """
        sender = self.identify(request, document)
        if not isinstance(sender, Operator):
            raise SaddlestackError(ErrorKind.FORBIDDEN, "only operators may do this")
        return sender

    def account(self, request: Request, document: Document, wanted: str | None) -> str:
        """The client account that a request acts for.

        :param wanted: the account that the request names; operators have to name one.
        :raises SaddlestackError: the sender may not act for the account, or it does not exist.
        """
        sender = self.identify(request, document)
        if isinstance(sender, Caller):
            if wanted not in {None, sender.account}:
                raise SaddlestackError(
                    ErrorKind.FORBIDDEN, f"the token does not act for account {wanted}"
                )
            return sender.account
        if wanted is None:
            raise SaddlestackError(
                ErrorKind.INVALID, "an operator must name the account", where="account"
            )
        if document.account(wanted) is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no account {wanted}")
        return wanted
