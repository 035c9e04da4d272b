"""Commands that order, withdraw and show evacuations of failure domains."""

from typing import Annotated, Any

import attrs
import typer

from quetzalmill import codec
from quetzalmill import commands_objects
from quetzalmill import commands_publish
from quetzalmill import commands_report
from quetzalmill import errors
from quetzalmill import evacuation_report
from quetzalmill import objects
from quetzalmill import operator_client
from quetzalmill import options

app = typer.Typer(
    no_args_is_help=True,
    help="Failure domains to whose endpoints no requests are sent.",
)

_Domain = Annotated[
    str, typer.Argument(metavar="DOMAIN", help="Name of the failure domain.")
]


@attrs.frozen(kw_only=True)
class _AddressReport:
    """What ``in-force --json`` prints of one gateway.

    Attributes:
        address: The address that was asked.
        orders: The orders in force there, by domain.
    """

    address: str
    orders: dict[str, evacuation_report.InForceView]


@app.command("order")
def order(
    domain: _Domain,
    operators: options.Operator,
    author: options.Author,
    reason: Annotated[
        str | None,
        typer.Option("--reason", help="Why, for other operators."),
    ] = None,
    record_id: options.RecordId = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Send no more requests to the endpoints in DOMAIN.

    Requests that run there end as usual. An order that is repeated stays in
    force.
    """
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    outcome = commands_publish.update(
        publication, objects.EVACUATION, domain, {"reason": reason}
    )
    commands_publish.report(publication, outcome)


@app.command("withdraw")
def withdraw(
    domain: _Domain,
    operators: options.Operator,
    author: options.Author,
    record_id: options.RecordId = None,
    base: options.Base = None,
    timeout_s: options.TimeoutS = options.DEFAULT_TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Withdraw the order for DOMAIN; its endpoints get requests again."""
    publication = commands_publish.prepare(
        operators,
        author=author,
        record_id=record_id,
        timeout_s=timeout_s,
        base=base,
        as_json=as_json,
    )
    outcome = commands_publish.delete(publication, objects.EVACUATION, domain)
    commands_publish.report(publication, outcome)


@app.command("list")
def list_orders(
    operators: options.Operator, as_json: options.Json = False
) -> None:
    """List the evacuated failure domains."""
    listed = commands_publish.connect(operators).list_objects(
        objects.EVACUATION
    )
    commands_objects.print_objects(listed.objects, as_json)


@app.command("in-force")
def show_in_force(
    addresses: Annotated[
        list[str],
        typer.Argument(
            metavar="ADDRESS...", help="Metrics addresses of gateways, IP:port."
        ),
    ],
    as_json: options.Json = False,
) -> None:
    """Show the orders in force at gateways, and since when."""
    reports = [_ask(address) for address in addresses]
    if as_json:
        commands_report.print_json(reports)
        return
    commands_report.print_table(
        ["GATEWAY", "DOMAIN", "SINCE", "SOURCE", "OFFSET"],
        [
            [
                report.address,
                domain,
                f"{found.since_ms / 1000.0:.1f} s ago",
                found.source,
                str(found.offset),
            ]
            for report in reports
            for domain, found in report.orders.items()
        ],
    )


def _ask(text: str) -> _AddressReport:
    """Reads the orders in force at one gateway.

    Raises:
        errors.OperatorRefusedError: The process at the address is no gateway.
        errors.OperatorUnavailableError: No process responded.
    """
    address = commands_publish.parse_address(text, "ADDRESS")
    dump = operator_client.OperatorClient([address]).state()
    found: Any = dump.get("evacuated_domains")
    try:
        orders = codec.from_plain(
            found, dict[str, evacuation_report.InForceView]
        )
    except errors.CodecError as error:
        raise errors.OperatorRefusedError(
            f"the process at {text} shows no evacuations; name the metrics "
            "address of a gateway"
        ) from error
    return _AddressReport(address=text, orders=orders)
