"""Tests of control replicas as separate processes, with injected faults."""

from pathlib import Path

import pytest

from lycheefall._core.codes import ResultCode
from processes.scaffold import apply_file, client_of, cluster

pytestmark = pytest.mark.processes


class TestFailures:
    async def test_apply(self, tmp_path: Path) -> None:
        """Guards against a cluster that does not form from empty disks."""
        async with cluster(tmp_path) as made, client_of(made.clients()) as client:
            result = await apply_file(client, 0, 7)
            assert (result.code, result.revision) == (ResultCode.OK, 1)
