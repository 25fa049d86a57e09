"""Text form of roll-outs: orders in the store, and what a node holds of them."""

from collections.abc import Iterable
from typing import Any

from orioleloft_core.rollouts import RolloutOrder


def format_orders(orders: Iterable[RolloutOrder]) -> list[str]:
    """Returns one line for each order in the store."""
    lines = [
        f"{order.service} to {order.target_version} within {order.duration:g} s:"
        f" {order.state.name.lower()}"
        for order in sorted(orders, key=lambda order: order.service)
    ]
    return lines or ["no orders"]


def format_node(document: dict[str, Any]) -> list[str]:
    """Returns what a node holds: its orders with counts and evidence, and versions held back."""
    role = "decides" if document.get("is_decider") else "does not decide"
    lines = [f"node {document.get('node')} {role}"]
    for order in document.get("orders") or ():
        lines.append(
            f"{order['service']} to {order['version']}: {order['state']} ({order['phase']}),"
            f" {order['elapsed']:g} of {order['duration']:g} s, requests go to: {order['gets']}"
        )
        if order["reason"]:
            lines.append(f"  because: {order['reason']}")
        lines.append(f"  evidence: {order['evidence']}")
        for version, counts in order["counts"].items():
            lines.append(
                f"  {version}: {counts['answers']} answers, {counts['failures']} failures,"
                f" {counts['slow']} slow"
            )
    for service, versions in sorted((document.get("held_back") or {}).items()):
        lines.append(f"{service}: no requests to {', '.join(versions)}")
    return lines
