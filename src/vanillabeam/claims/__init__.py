"""Claims on idempotency keys: calls that may not be repeated are sent at most once."""

from vanillabeam.claims.commands import (
    Abandon,
    Claim,
    Finish,
    Outcome,
    Reply,
    ReplyStatus,
    Withdraw,
)
from vanillabeam.claims.exceptions import (
    ClaimError,
    ClaimInProgress,
    ClaimsFull,
    ClaimsUnavailable,
    ClaimUnknown,
    KeyFromFuture,
    KeyReused,
    KeyTooLong,
    KeyTooOld,
)
from vanillabeam.claims.keys import key_time_ms, request_digest, shard_of
from vanillabeam.claims.machine import ClaimMachine, ClaimSettings, OpenClaim
from vanillabeam.claims.shell import (
    ClaimGrant,
    ClaimsClient,
    ClaimsClientSettings,
    Propose,
    RecordedOutcome,
)

__all__ = [
    "Abandon",
    "Claim",
    "ClaimError",
    "ClaimGrant",
    "ClaimInProgress",
    "ClaimMachine",
    "ClaimSettings",
    "ClaimUnknown",
    "ClaimsClient",
    "ClaimsClientSettings",
    "ClaimsFull",
    "ClaimsUnavailable",
    "Finish",
    "KeyFromFuture",
    "KeyReused",
    "KeyTooLong",
    "KeyTooOld",
    "OpenClaim",
    "Outcome",
    "Propose",
    "RecordedOutcome",
    "Reply",
    "ReplyStatus",
    "Withdraw",
    "key_time_ms",
    "request_digest",
    "shard_of",
]
