"""Tests of the adapter to the users' platform."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))
