"""The checkout whose programs are started."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
