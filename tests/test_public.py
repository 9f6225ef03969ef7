"""Tests of the thin public modules."""

import importlib

import pytest

MODULES = (
    "agent",
    "configuration",
    "consensus",
    "control",
    "entry",
    "exceptions",
    "load",
    "rules",
)


class TestPublicModules:
    @pytest.mark.parametrize("name", MODULES)
    def test_names_resolve(self, name: str) -> None:
        """Guards against a public name that a change of a private module has broken."""
        module = importlib.import_module(f"lycheefall.{name}")
        assert module.__all__ == sorted(module.__all__)
        assert all(hasattr(module, each) for each in module.__all__)
