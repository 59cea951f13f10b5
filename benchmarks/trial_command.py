"""Plays a scripted day by `gaproute trial` in a process of its own."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any


def trial_command(
    script: str | Path, *, seed: int, decisions: str | None = None, out: str | Path | None = None
) -> list[str]:
    """The command that plays a script and prints its result as JSON.

    `decisions`: MODULE:CLASS of the gateways' decisions; `out`: the folder for taps and logs.
    """
    command = [sys.executable, "-m", "gaproute", "trial", str(script), "--seed", str(seed), "--json"]
    if decisions is not None:
        command += ["--decisions", decisions]
    if out is not None:
        command += ["--out", str(out)]
    return command


def play_trial(
    script: str | Path, *, seed: int, decisions: str | None = None, out: str | Path | None = None
) -> dict[str, Any]:
    """The result of a played script. Raises `RuntimeError` where the command printed none."""
    run = subprocess.run(
        trial_command(script, seed=seed, decisions=decisions, out=out), capture_output=True, text=True
    )
    if not run.stdout:
        raise RuntimeError(f"`gaproute trial {script}` printed no result: {run.stderr}")
    result: dict[str, Any] = json.loads(run.stdout)
    return result
