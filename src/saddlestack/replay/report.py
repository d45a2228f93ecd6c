"""A self-contained HTML page about a replay: timelines, delays, fragmentation, failures.

The page needs plotly. Only this module imports it, so daemons never do.
"""

from __future__ import annotations

import html
from pathlib import Path
from typing import Any

import plotly.graph_objects as graphs
from plotly.subplots import make_subplots

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.replay.measures import Result
from saddlestack.replay.runner import Replay

COLORS = ("#4c78a8", "#f58518", "#54a24b", "#e45756", "#72b7b2", "#b279a2", "#9d755d")
SHADES = {"urgent": 1.0, "normal": 0.7, "bulk": 0.45}
HEIGHT = 900
MAX_MARKS = 200


def write(run: Replay, result: Result, path: Path) -> None:
    """Write the page to a file.

    :raises SaddlestackError: the file can't be written.
    """
    figure = make_subplots(
        rows=3,
        cols=1,
        shared_xaxes=True,
        vertical_spacing=0.06,
        row_heights=[0.5, 0.25, 0.25],
        subplot_titles=(
            "Accelerators in use, by account and class",
            "Start delay of each job, seconds",
            "Fragmentation",
        ),
    )
    _add_usage(figure, run)
    _add_delays(figure, run)
    _add_fragmentation(figure, run)
    _add_failures(figure, run)
    figure.update_layout(height=HEIGHT, template="plotly_white", hovermode="x")
    figure.update_xaxes(title_text="seconds", row=3, col=1)
    body = figure.to_html(full_html=False, include_plotlyjs=True)
    try:
        path.write_text(_page(result, body), encoding="utf-8")
    except OSError as error:
        raise SaddlestackError(ErrorKind.INVALID, str(error), where=str(path)) from error


def _add_usage(figure: Any, run: Replay) -> None:
    """Add the accelerators in use over time, stacked by account and class."""
    changes: dict[tuple[str, str], list[tuple[float, int]]] = {}
    for job in run.jobs.values():
        key = (job.spec.account, job.spec.job_class.value)
        for run_span in job.runs:
            changes.setdefault(key, []).append((run_span.start, job.spec.accelerators))
            changes[key].append((run_span.end, -job.spec.accelerators))
    accounts = sorted({account for account, _ in changes})
    for account, kind in sorted(changes):
        times, counts = _steps(changes[account, kind])
        color = COLORS[accounts.index(account) % len(COLORS)]
        figure.add_trace(
            graphs.Scatter(
                x=times,
                y=counts,
                name=f"{account} {kind}",
                mode="lines",
                line={"width": 0, "shape": "hv"},
                fillcolor=_with_alpha(color, SHADES[kind]),
                stackgroup="use",
            ),
            row=1,
            col=1,
        )


def _steps(changes: list[tuple[float, int]]) -> tuple[list[float], list[int]]:
    times = [0.0]
    counts = [0]
    for at, change in sorted(changes):
        if at != times[-1]:
            times.append(at)
            counts.append(counts[-1])
        counts[-1] += change
    return times, counts


def _with_alpha(color: str, alpha: float) -> str:
    red, green, blue = (int(color[i : i + 2], 16) for i in (1, 3, 5))
    return f"rgba({red},{green},{blue},{alpha})"


def _add_delays(figure: Any, run: Replay) -> None:
    for kind in ("urgent", "normal", "bulk"):
        jobs = [
            job
            for job in run.jobs.values()
            if job.spec.job_class.value == kind and job.first_start is not None
        ]
        figure.add_trace(
            graphs.Scatter(
                x=[job.submitted for job in jobs],
                y=[(job.first_start or 0.0) - job.submitted for job in jobs],
                text=[job.spec.job_id for job in jobs],
                name=f"delay {kind}",
                mode="markers",
                marker={"size": 4},
            ),
            row=2,
            col=1,
        )


def _add_fragmentation(figure: Any, run: Replay) -> None:
    points = run.fragmentation.points
    figure.add_trace(
        graphs.Scatter(
            x=[at for at, _ in points],
            y=[value for _, value in points],
            name="fragmentation",
            line={"shape": "hv", "color": "#333333"},
        ),
        row=3,
        col=1,
    )


def _add_failures(figure: Any, run: Replay) -> None:
    for at, text in run.failed[:MAX_MARKS]:
        figure.add_vline(x=at, line={"color": "red", "width": 1, "dash": "dot"})
        figure.add_annotation(
            x=at, y=0, text="✕", hovertext=text, showarrow=False, font={"color": "red"}
        )


def _page(result: Result, body: str) -> str:
    problems = [*result.expectations.failed, *result.violations]
    items = "".join(f"<li>{html.escape(text)}</li>" for text in problems)
    listed = f"<h2>Failed</h2><ul>{items}</ul>" if items else "<p>All expected outcomes held.</p>"
    return (
        "<!doctype html><html><head><meta charset='utf-8'><title>saddlestack replay</title>"
        "<style>body{font-family:sans-serif;margin:2em}</style></head><body>"
        f"<h1>Replay under {html.escape(result.policy)}</h1>"
        f"<p>{result.jobs} jobs, {result.finished} finished, {result.refused} refused, "
        f"{result.unknown} unknown; fragmentation {result.fragmentation:.4f}; "
        f"score {result.score:.4f}; {result.reclaims} reclaims.</p>"
        f"{listed}{body}</body></html>"
    )
