"""Tests of the modules that export the public API."""

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
        """Guards against a public name that a change of a private module removes."""
        module = importlib.import_module(f"lycheefall.{name}")
        assert module.__all__ == sorted(module.__all__)
        assert all(hasattr(module, attribute) for attribute in module.__all__)
