"""The command line: one subcommand, one function, one exit code."""

import argparse

from sparline.cli._call import KEY_VARIABLE, call, locate
from sparline.cli._check import check
from sparline.cli._gateway import gateway
from sparline.cli._quarantine import quarantine
from sparline.cli._serve import serve
from sparline.cli._status import explain, status
from sparline.cli._trace import trace

EXIT_CODES = """exit codes:
  0  done
  1  a file, a setting or a request was refused
  2  the command line was wrong
  3  no instance answered
  4  a request may have run: its outcome is unknown
"""


def main(arguments: list[str]) -> int:
    """Run the subcommand that the arguments name."""
    options = _parser().parse_args(arguments)
    return int(options.run(options))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sparline",
        description="Multi-region inference gateway: run an instance, check files, ask what is in force, or act as a caller.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_serve(commands)
    _add_check(commands)
    _add_status(commands)
    _add_explain(commands)
    _add_locate(commands)
    _add_call(commands)
    _add_gateway(commands)
    _add_trace(commands)
    _add_quarantine(commands)
    return parser


Commands = argparse._SubParsersAction  # noqa: SLF001


def _add(commands: Commands, name: str, text: str) -> argparse.ArgumentParser:
    return commands.add_parser(
        name,
        help=text,
        description=text,
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _add_json(command: argparse.ArgumentParser) -> None:
    command.add_argument("--json", action="store_true", help="print JSON")


def _add_serve(commands: Commands) -> None:
    command = _add(
        commands,
        "serve",
        "run one instance until SIGTERM, which drains it; a second SIGTERM stops it at once",
    )
    command.add_argument(
        "--settings", required=True, metavar="FILE", help="JSON settings of this instance"
    )
    command.set_defaults(run=serve)


def _add_check(commands: Commands) -> None:
    command = _add(commands, "check", "validate files offline with the instances' own code")
    command.add_argument("files", nargs="+", metavar="FILE", help="a file that operators publish")
    _add_json(command)
    command.set_defaults(run=check)


def _add_status(commands: Commands) -> None:
    command = _add(commands, "status", "print what is in force and seen at instances")
    command.add_argument(
        "operators", nargs="+", metavar="IP:PORT", help="operators' address of an instance"
    )
    _add_json(command)
    command.set_defaults(run=status)


def _add_explain(commands: Commands) -> None:
    command = _add(
        commands,
        "explain",
        "print where a request would go and why each other candidate is passed over",
    )
    command.add_argument("operators", metavar="IP:PORT", help="operators' address of an instance")
    command.add_argument("--organisation", required=True, help="id of the organisation")
    command.add_argument(
        "--prompt-tokens", type=int, default=100, help="length of the prompt (default: 100)"
    )
    _add_request_options(command)
    _add_json(command)
    command.set_defaults(run=explain)


def _add_request_options(command: argparse.ArgumentParser) -> None:
    command.add_argument("--target", required=True, help="model or service")
    command.add_argument("--adapter", default="", help="adapter of the model")
    command.add_argument(
        "--output-tokens", type=int, default=100, help="longest answer in tokens (default: 100)"
    )
    command.add_argument(
        "--deadline-ms", type=int, default=30_000, help="time for the whole answer (default: 30000)"
    )
    command.add_argument(
        "--not-repeatable", action="store_true", help="the request must not run twice"
    )


def _add_where(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--instance", metavar="IP:PORT", help="callers' address of an instance to ask"
    )
    command.add_argument(
        "--directory", metavar="IP:PORT", help="address of the directory, asked for instances"
    )


def _add_locate(commands: Commands) -> None:
    command = _add(
        commands,
        "locate",
        f"print the instances to use, best first; the key comes from {KEY_VARIABLE}",
    )
    command.add_argument("--target", help="model or service")
    _add_where(command)
    _add_json(command)
    command.set_defaults(run=locate)


def _add_call(commands: Commands) -> None:
    command = _add(
        commands,
        "call",
        f"locate an instance, send a prompt, stream the answer; the key comes from {KEY_VARIABLE}",
    )
    command.add_argument("--prompt", required=True, help="the prompt, - for standard input")
    _add_request_options(command)
    _add_where(command)
    _add_json(command)
    command.set_defaults(run=call)


def _add_gateway(commands: Commands) -> None:
    command = _add(
        commands,
        "gateway",
        "run one instance on the users' platform until SIGTERM, which drains it",
    )
    command.add_argument("--settings", metavar="FILE", help="JSON settings of this instance")
    command.add_argument("--check", action="store_true", help="check the settings and stop")
    command.set_defaults(run=gateway)


def _add_trace(commands: Commands) -> None:
    command = _add(
        commands, "trace", "print the way of one request and its repeats from logs of instances"
    )
    command.add_argument(
        "id", metavar="REQUEST_ID", help="id that the caller sent, or the content that a line names"
    )
    command.add_argument(
        "logs", nargs="*", metavar="LOG", help="log files; standard input without any"
    )
    command.set_defaults(run=trace)


def _add_quarantine(commands: Commands) -> None:
    command = _add(
        commands,
        "quarantine",
        "print the parts of prompts with which requests are sent nowhere, or release one",
    )
    command.add_argument("metrics", metavar="IP:PORT", help="metrics address of any instance")
    command.add_argument(
        "--release", metavar="PART", help="part to send again, at all instances, as it is printed"
    )
    _add_json(command)
    command.set_defaults(run=quarantine)
