"""Test that each layer imports only from the layers below it."""

import ast
from collections.abc import Iterator
from pathlib import Path
from unittest import TestCase

import corianderhold

PACKAGE = Path(corianderhold.__file__).parent
NAME = "corianderhold"
LAYERS = ("state", "protocol", "transport", "coordination", "admin", "cli")
# The lowest layer imports only the reasons of refusals from a higher layer.
ALLOWED = {("state", "corianderhold.protocol.verdict")}


def list_imports(path: Path) -> Iterator[str]:
    """Yield the modules of this package that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        module = node.module if isinstance(node, ast.ImportFrom) else None
        if module is not None and module.startswith(f"{NAME}."):
            yield module


class LayerTests(TestCase):
    """Check the imports of all modules."""

    def test_imports_point_downwards(self) -> None:
        violations = []
        for rank, layer in enumerate(LAYERS):
            above = set(LAYERS[rank + 1 :])
            for path in (PACKAGE / layer).rglob("*.py"):
                for module in list_imports(path):
                    target = module.split(".")[1]
                    if target in above and (layer, module) not in ALLOWED:
                        violations.append(f"{path.relative_to(PACKAGE)} -> {module}")
        self.assertEqual(violations, [])
