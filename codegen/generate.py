"""Generate the structs of settings, declarations, fleet entries and messages from their schemas."""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "sparline" / "schema"

# Parts of messages that are not messages: they carry no tag on the wire.
PARTS = (
    "BackendLoad",
    "EngineReport",
    "MemberBrief",
    "RoomSummary",
    "TargetSummary",
    "WaitingCount",
    "WireRecord",
    "Demand",
    "Share",
    "MemberNote",
    "MemberBeat",
    "RunTimeNote",
    "BackendLoadNote",
    "LoadShareNote",
    "LoadReadingNote",
    "StoreItemNote",
    "PromptReadNote",
    "CrashNote",
    "PartNote",
    "ServerLimitNote",
    "QuotaUseNote",
    "QuotaLevelNote",
    "QuotaTotalNote",
    "AdmissionBucketNote",
    "OrganisationDemandNote",
    "AdmissionDemandNote",
    "OrganisationShareNote",
    "AdmissionLevelNote",
    "StreamVersionNote",
)


@dataclass(frozen=True, slots=True)
class Target:
    """Name one schema and the module made from it."""

    schema: str  # file name below the schema folder
    module: str  # file name of the generated module
    base: str  # base class of the structs


TARGETS = (
    Target("settings.schema.json", "_settings.py", "StrictNode"),
    Target("declaration.schema.json", "_declarations.py", "StrictNode"),
    Target("fleet.schema.json", "_fleet.py", "StrictNode"),
    Target("message.schema.json", "_messages.py", "WireMessage"),
    Target("gossip.schema.json", "_gossip.py", "WireMessage"),
    Target("gateway.schema.json", "_gateway.py", "StrictNode"),
)


def render(target: Target) -> str:
    """Return the text of one generated module."""
    command = [
        "datamodel-codegen",
        "--input", str(SCHEMA_DIR / target.schema),
        "--input-file-type", "jsonschema",
        "--output-model-type", "msgspec.Struct",
        "--base-class", f"sparline.schema._nodes.{target.base}",
        "--target-python-version", "3.11",
        "--use-schema-description",
        "--use-annotated",
        "--field-constraints",
        "--use-standard-collections",
        "--use-union-operator",
        "--set-default-enum-member",
        "--disable-timestamp",
        "--formatters", "ruff-check", "ruff-format",
    ]  # fmt: skip
    ran = subprocess.run(
        [str(Path(sys.executable).parent / command[0]), *command[1:]],
        capture_output=True,
        text=True,
        check=True,
    )
    return format_text(adapt(ran.stdout, target))


def adapt(text: str, target: Target) -> str:
    """Drop the unset marker (each default is a value) and give message parts their own base.

    A field that an older peer leaves out would else hold the marker, which is neither a value nor null.
    """
    text = text.replace(") = UNSET\n", ") = None\n").replace("import UNSET, ", "import ")
    text = text.replace("\n        | UnsetType\n", "\n").replace(" | UnsetType", "")
    text = text.replace(", UnsetType", "").replace("UnsetType, ", "")
    if target.base == "WireMessage":
        text = text.replace("import WireMessage", "import WireMessage, WireNode")
        for part in PARTS:
            text = text.replace(f"class {part}(WireMessage):", f"class {part}(WireNode):")
    return text


def format_text(text: str) -> str:
    """Return the text in the project's format."""
    ruff = str(Path(sys.executable).parent / "ruff")
    for arguments in (["check", "--fix-only", "--quiet"], ["format"]):
        ran = subprocess.run(
            [ruff, *arguments, "--stdin-filename", str(SCHEMA_DIR / "_generated.py"), "-"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
        )
        text = ran.stdout
    return text


def main() -> int:
    """Write every generated module."""
    for target in TARGETS:
        (SCHEMA_DIR / target.module).write_text(render(target), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
