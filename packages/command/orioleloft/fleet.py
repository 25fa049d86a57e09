"""Sub-command `status`: asks entry nodes for `GET /_orioleloft/status`."""

import asyncio
import dataclasses
import json
from collections.abc import Iterable

from tornado import httpclient

from orioleloft.report import ExitCode, Report
from orioleloft_core.errors import DocumentError
from orioleloft_core.status import NodeStatus

TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """A node's status, or why there is none."""

    address: str
    status: NodeStatus | None
    error: str = ""


async def status(nodes: Iterable[str]) -> Report:
    """Reports the status of each node; nodes that give none set the exit code.

    Args:
        nodes: `host:port` of the nodes' ports for callers.
    """
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        answers = await asyncio.gather(*(_ask(client, address) for address in nodes))
    finally:
        client.close()
    code = ExitCode.OK if all(answer.status for answer in answers) else ExitCode.NODE_DOWN
    lines = [_summary(answers), *(line for answer in answers for line in _lines(answer))]
    return Report(tuple(lines), [dataclasses.asdict(answer) for answer in answers], code)


async def _ask(client: httpclient.AsyncHTTPClient, address: str) -> Answer:
    url = f"http://{address}/_orioleloft/status"
    timeouts = {"connect_timeout": TIMEOUT_SECONDS, "request_timeout": TIMEOUT_SECONDS}
    try:
        response = await client.fetch(url, **timeouts)
        return Answer(address, NodeStatus.from_document(json.loads(response.body)))
    except (httpclient.HTTPError, OSError, ValueError, DocumentError) as error:
        return Answer(address, None, str(error))


def _summary(answers: Iterable[Answer]) -> str:
    known = [answer.status for answer in answers if answer.status]
    newest = max((status.catalog_version for status in known), default=0)
    count = sum(status.catalog_version == newest for status in known)
    return f"version {newest} is in force on {count} of {len(tuple(answers))} nodes"


def _lines(answer: Answer) -> list[str]:
    status = answer.status
    if status is None:
        return [f"{answer.address}: no status: {answer.error}"]
    head = (
        f"{answer.address}: {status.seat} in {status.zone} {status.state}, version"
        f" {status.catalog_version} for {status.in_force_ms / 1000:.1f} s"
    )
    return [head, *(f"  {it.id} {it.phase} {it.share:.3f}" for it in status.targets)]
