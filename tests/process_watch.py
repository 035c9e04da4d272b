"""Measures a process from outside."""

import os
import pathlib

import trio


class ProcessWatch:
    """Records the most descriptors and the most memory of a process."""

    def __init__(self, process_id: int) -> None:
        self._path = pathlib.Path("/proc") / str(process_id)
        self.max_descriptors = 0

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            self.sample()
            await trio.sleep(0.02)

    def sample(self) -> None:
        """Counts the descriptors that are open now."""
        count = len(os.listdir(self._path / "fd"))
        self.max_descriptors = max(self.max_descriptors, count)

    def peak_memory_mb(self) -> float:
        """Returns the largest resident memory so far."""
        for line in (self._path / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024.0
        raise AssertionError("the process has ended")
