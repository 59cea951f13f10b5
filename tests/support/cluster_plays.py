"""Plays of cluster scripts by the command, as processes."""

import json
import subprocess
import sys

MAX_PLAYS = 3  # a busy machine voids a play; then it is played again


def trial_command(script, out, *options):
    """The command that plays a script and leaves all that it has in `out`."""
    return [sys.executable, "-m", "gaproute", "trial", str(script), "--json", "--out", str(out), *options]


def play(folder, script, *options):
    """(exit code, verdict) of the first play that is not void, or of the last."""
    for turn in range(MAX_PLAYS):
        out = folder / str(turn)
        done = subprocess.run(trial_command(script, out, *options), capture_output=True, timeout=120)
        assert done.stdout, done.stderr.decode()
        verdict = json.loads((out / "verdict.json").read_text())
        assert verdict == json.loads(done.stdout)
        if verdict["verdict"] != "void":
            break
    return done.returncode, verdict
