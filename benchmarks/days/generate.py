"""Writes the days of `deploy/days` that combine faults, for the users' bench.

Each fault occurs twice in its day. The days fit any deployment: they use shares rather than counts,
and no names except the placeholders for the first request class, service and data hall.

Usage: python -m benchmarks.days.generate; then run each day by its path.
"""

from __future__ import annotations

from pathlib import Path

DAYS_FOLDER = Path(__file__).resolve().parents[2] / "deploy" / "days"
HEADER = """\
name = "{name}"
slot = "trouble"
seed = {seed}
length_s = 41.0
one = 0.9
zero = 0.0
goal = {{ floor = 0.2 }}
labels = []
wall = 3.0
light = false
"""
CLOSING_FAULTS = (
    '{ kind = "power_off_all", down_s = 1.2, how = "taken" }',
    '{ kind = "kill_all", down_s = 1.0 }',
)
DAYS: dict[str, tuple[str, ...]] = {
    "freeze": (
        'kind = "node_freeze", share = 0.3, for_s = 4.0',
        'kind = "node_freeze", count = 1, for_s = 3.0, how = "leader"',
        'kind = "applied_late", x = 0.2, for_s = 6.0',
        'kind = "srv_slow", share = 0.2, x = 5.0, for_s = 6.0',
    ),
    "clocks": (
        'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 5.0, how = "back"',
        'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 5.0, how = "ahead"',
        'kind = "reset_conns", share = 0.6, x = 0.8',
        'kind = "core_cut", count = 1, for_s = 5.0, how = "leader one_way"',
    ),
    "workers-cut": (
        'kind = "srv_cut", share = 0.3, for_s = 6.0',
        'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "fronts"',
        'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "one_way"',
        'kind = "srv_crash", share = 0.2, for_s = 4.0, how = "dark"',
        'kind = "answer_lost", share = 0.5, x = 0.2, for_s = 6.0',
    ),
    "store": (
        'kind = "platform_lost", x = 0.5, for_s = 6.0, how = "late"',
        'kind = "platform_slow", x = 60.0, for_s = 5.0',
        'kind = "platform_down", for_s = 4.0, how = "silent lapse"',
        'kind = "platform_compact", x = 5.0, for_s = 8.0, how = "drain"',
        'kind = "after_ack_kill", for_s = 2.0, how = "taken"',
    ),
    "leaders": (
        'kind = "node_kill", count = 1, for_s = 2.0, how = "leader race drain"',
        'kind = "node_kill", count = 1, for_s = 3.0, how = "leader power"',
        'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0, how = "busy"',
        'kind = "platform_down", count = 1, for_s = 5.0, how = "nodes leader silent"',
        'kind = "replace_core", how = "leader", x = 2.0',
    ),
    "workers-grey": (
        'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 7.0, how = "errors"',
        'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 7.0, how = "hang"',
        'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 5.0, how = "mute"',
        'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 5.0, how = "busy"',
        'kind = "scale_in", share = 0.15, how = "spot", x = 2.0, for_s = 5.0',
        'kind = "release", share = 0.5, x = 2.0, gap_s = 1.0',
    ),
    "evacuation": (
        'kind = "evacuate", for_s = 6.0, zone = "@z0", how = ""',
        'kind = "core_cut", count = 1, for_s = 4.0, how = "leader"',
        'kind = "evacuate", for_s = 5.0, zone = "@z0", how = "warm"',
    ),
    "leaving-workers": (
        'kind = "scale_in", share = 0.1, service = "@s0"',
        'kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers", service = "@s0"',
        'kind = "scale_in", share = 0.15, how = "spot", service = "@s0", x = 2.0, for_s = 4.0',
        'kind = "srv_cut", share = 0.3, for_s = 5.0, x = 0.4, how = "some lossy"',
        'kind = "platform_compact", x = 5.0, for_s = 4.0, how = "drain"',
    ),
    "late-store": (
        'kind = "platform_slow", x = 60.0, for_s = 4.0',
        'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"',
        'kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "leader"',
    ),
    "late-orders": (
        'kind = "applied_late", x = 0.3, for_s = 5.0, how = "orders"',
        'kind = "applied_late", x = 0.3, for_s = 5.0, how = "grants"',
        'kind = "node_freeze", share = 0.2, for_s = 4.0, how = "renewed"',
        'kind = "applied_late", x = 0.3, for_s = 5.0, how = "all"',
    ),
    "last-kill": (
        'kind = "scale_in", share = 0.15, how = "spot", x = 2.0, for_s = 5.0',
        'kind = "platform_lost", x = 0.4, for_s = 4.0, how = "late"',
        'kind = "herd_kill", on = "core", share = 1.0, how = "taken"',
    ),
    "silent-connections": (
        'kind = "reset_conns", share = 1.0, x = 0.6',
        'kind = "platform_down", share = 0.35, for_s = 5.0, how = "nodes leader"',
        'kind = "node_cut", share = 0.3, for_s = 4.0',
        'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 5.0, how = "mute"',
    ),
    "frozen-leader": (
        'kind = "node_freeze", count = 1, for_s = 7.0, how = "renewed"',
        'kind = "node_freeze", share = 0.2, for_s = 3.0, how = "renewed"',
        'kind = "applied_late", x = 0.2, for_s = 5.0, how = "grants"',
        'kind = "node_freeze", count = 1, for_s = 2.0, how = "leader hard"',
    ),
    "reborn-workers": (
        'kind = "node_cut", share = 0.3, for_s = 6.0, how = "servers reborn"',
        'kind = "core_cut", count = 1, for_s = 5.0, how = "leader"',
        'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reborn"',
        'kind = "platform_down", for_s = 4.0, how = "silent lapse"',
    ),
    "turned-away": (
        'kind = "platform_down", share = 0.35, for_s = 6.0, how = "nodes leader busy"',
        'kind = "platform_down", share = 0.35, for_s = 6.0, how = "nodes many meet"',
        'kind = "platform_down", share = 0.35, for_s = 6.0, how = "nodes leader reset"',
        'kind = "platform_down", share = 0.35, for_s = 6.0, how = "nodes leader silent"',
    ),
    "configuration-storm": (
        'kind = "config_storm", for_s = 6.0, gap_s = 0.3',
        'kind = "platform_down", for_s = 3.0, how = "silent"',
        'kind = "config_storm", for_s = 5.0, gap_s = 0.3',
        'kind = "platform_down", for_s = 3.0, how = "reset lapse"',
        'kind = "reset_conns", share = 0.6, x = 0.8',
    ),
    "crashed-racks": (
        'kind = "srv_crash", share = 0.2, for_s = 3.0, how = "rack"',
        'kind = "srv_crash", share = 0.3, for_s = 3.0',
        'kind = "node_freeze", count = 1, for_s = 4.0, how = "leader"',
        'kind = "srv_crash", share = 0.2, for_s = 4.0, how = "joined"',
        'kind = "poison", share = 0.3, for_s = 5.0, class = "@c0"',
    ),
    "deadly-tasks": (
        'kind = "poison", how = "deadly", share = 0.25, for_s = 5.0, class = "@c0"',
        'kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "giver"',
        'kind = "srv_crash", share = 0.2, for_s = 3.0, how = "rack"',
        'kind = "platform_down", for_s = 3.0, how = "silent"',
        'kind = "applied_late", x = 0.2, for_s = 5.0, how = "orders"',
    ),
    "shrinking-workers": (
        'kind = "srv_slow", how = "shrunk", share = 0.4, x = 0.4, for_s = 9.0',
        'kind = "node_freeze", count = 1, for_s = 3.0, how = "leader"',
        'kind = "scale_in", share = 0.15, how = "spot", x = 2.0, for_s = 5.0',
        'kind = "srv_slow", how = "shrunk", share = 0.2, x = 0.7, for_s = 6.0',
        'kind = "applied_late", x = 0.2, for_s = 5.0, how = "orders"',
    ),
}
PLANNED_KINDS = ("roll_term", "scale_in", "release", "evacuate", "config_storm")


def days() -> dict[str, str]:
    """Return the text of each day by name."""
    texts: dict[str, str] = {}
    for number, (name, faults) in enumerate(DAYS.items()):
        lines: dict[str, list[str]] = {"plan": [], "faults": []}
        for index, fault in enumerate(faults * 2):
            at = 2.0 + index * 30.0 / (2 * len(faults))
            kind = fault.split('"')[1]
            lines["plan" if kind in PLANNED_KINDS else "faults"].append(
                f"  {{ at = {at:.1f}, {fault} }},"
            )
        lines["plan"].append('  { at = 3.0, kind = "config_storm", for_s = 4.0, gap_s = 0.4 },')
        lines["faults"].append('  { at = 6.0, kind = "burst", x = 2.0, for_s = 5.0 },')
        text = HEADER.format(name=name, seed=9_000 + number)
        text += f"closing = {CLOSING_FAULTS[number % len(CLOSING_FAULTS)]}\n"
        for key, entries in lines.items():
            text += f"{key} = [\n" + "\n".join(entries) + "\n]\n"
        texts[name] = text
    return texts


def main() -> None:
    """Write one file per day."""
    for name, text in days().items():
        (DAYS_FOLDER / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
