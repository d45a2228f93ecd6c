"""Estimates a worker's time factor from its pieces of evidence, one per step.

Factors are logarithms here, so that twice as slow and twice as fast differ equally from usual.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

MAX_PIECES = 8
"""Pieces kept per worker, the latest ones: as many as a worker with 8 accelerators works on."""
FULL_MEDIAN_PIECES = 3
"""Number of pieces from which on the estimate is their median."""
USUAL_WEIGHT = 0.1
"""Weight of the assumption that a worker is usual, against 1 for a piece from a wide step. One such
piece of a worker with factor 2.4 then gives 2.2, on the right side of 1.5 with a margin for the
spread of task lengths."""
AGREEMENT = 0.45
"""Difference of logarithms up to which two pieces agree: two levels, which covers the spread of
tasks of 30 percent."""
CONTRADICTION = 0.56
"""Difference of logarithms from which on new pieces contradict older ones: 2.5 levels, so a turn
by a factor of 2 is noticed and the spread of tasks is not."""
CONFIDENCE_SCALE = 0.5
"""Weight of the evidence that gives a confidence of one half."""


@dataclass(slots=True, eq=False)
class Evidence:
    """One piece of evidence of a worker's speed.

    :param excess: logarithm of how long work took there relative to a usual worker.
    :param weight: how well the step shows what is usual, up to 1.
    :param runs: runs it was taken from.
    :param updated_s: when it last changed.
    :param dropped: later evidence contradicts it, so that it no longer counts.
    :param margin: how far the excess may be off by chance.
    :param is_even: it was taken from runs that were assumed to have equal work.
    """

    excess: float
    weight: float
    runs: int
    updated_s: float
    dropped: bool = False
    margin: float = 0.0
    is_even: bool = False


@dataclass(slots=True, eq=False)
class Belief:
    """What some pieces of evidence say about a worker.

    :param log_factor: logarithm of the time factor.
    :param weight: total weight of the evidence, decayed to the time of the estimate.
    :param runs: runs whose evidence agrees with the factor.
    :param updated_s: when the latest piece changed.
    :param margin: that of the only piece of evidence, 0 where there are several.
    """

    log_factor: float
    weight: float
    runs: int
    updated_s: float
    margin: float = 0.0


def confidence_of(weight: float) -> float:
    """The confidence that evidence of some total weight gives, from 0 to 1."""
    return weight / (weight + CONFIDENCE_SCALE)


def weight_for(confidence: float) -> float:
    """The total weight of evidence that gives a confidence below 1."""
    return CONFIDENCE_SCALE * confidence / (1.0 - confidence)


def decay(age_s: float, half_life_s: float) -> float:
    """The share of its weight that evidence of some age still has."""
    return 1.0 if age_s <= 0.0 else math.exp2(-age_s / half_life_s)


def drop_contradicted(pieces: Sequence[Evidence], prior: Evidence | None) -> bool:
    """Drop older evidence if the two newest pieces agree and contradict it.

    :param pieces: the pieces, oldest first.
    :param prior: what was known before the first piece, if anything.
    :return: whether anything was dropped.
    """
    if len(pieces) < 2:
        return False
    newest, second = pieces[-1].excess, pieces[-2].excess
    if abs(newest - second) > AGREEMENT:
        return False
    older = [*([prior] if prior is not None else []), *pieces[:-2]]
    if not older:
        return False
    before = _middle([piece.excess for piece in older])
    if abs((newest + second) / 2 - before) < CONTRADICTION:
        return False
    for piece in older:
        piece.dropped = True
    return True


def estimate(
    pieces: Sequence[Evidence], prior: Evidence | None, now: float, half_life_s: float
) -> Belief | None:
    """Estimate a time factor; ``None`` without evidence.

    :param prior: the factor assumed before any piece; without one the worker is assumed usual.
    """
    per_s = -1.0 / half_life_s
    weights = [p.weight * math.exp2((now - p.updated_s) * per_s) for p in pieces]
    total = sum(weights)
    if not total:
        # After 1,075 half-lives weights are too small for a float: no evidence is left.
        if prior is None:
            return None
        weight = prior.weight * decay(now - prior.updated_s, half_life_s)
        return Belief(prior.excess, weight, prior.runs, prior.updated_s)
    if len(pieces) >= FULL_MEDIAN_PIECES:
        factor = _weighted_median(pieces, weights, total / 2)
    else:
        factor, total = _shrunken_mean(pieces, weights, prior, now, half_life_s)
    runs, updated_s = 0, -math.inf
    for piece in pieces:
        if abs(piece.excess - factor) <= AGREEMENT:
            runs += piece.runs
        if piece.updated_s > updated_s:
            updated_s = piece.updated_s
    margin = pieces[0].margin if len(pieces) == 1 and prior is None else 0.0
    return Belief(factor, total, runs, updated_s, margin)


def _shrunken_mean(
    pieces: Sequence[Evidence],
    weights: Sequence[float],
    prior: Evidence | None,
    now: float,
    half_life_s: float,
) -> tuple[float, float]:
    """The mean, drawn towards what was assumed before, and the total weight.

    How far it is drawn depends on the weights before decay: otherwise a slow worker that gets no
    work would come to look usual with time.
    """
    total = sum(weights)
    mean = sum(w * piece.excess for w, piece in zip(weights, pieces, strict=True)) / total
    own = sum(piece.weight for piece in pieces)
    prior_factor, prior_weight = 0.0, USUAL_WEIGHT
    if prior is not None:
        kept = prior.weight * decay(now - prior.updated_s, half_life_s)
        prior_factor, prior_weight = prior.excess, max(kept, USUAL_WEIGHT)
        total += kept
    return (own * mean + prior_weight * prior_factor) / (own + prior_weight), total


def _weighted_median(pieces: Sequence[Evidence], weights: Sequence[float], half: float) -> float:
    order = [(piece.excess, weight) for piece, weight in zip(pieces, weights, strict=True)]
    order.sort()
    passed = 0.0
    for excess, weight in order:
        passed += weight
        if passed >= half:
            return excess
    return order[-1][0]


def _middle(values: list[float]) -> float:
    values.sort()
    return values[len(values) // 2]
