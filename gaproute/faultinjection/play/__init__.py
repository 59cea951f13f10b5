"""A gateway of the platform played under faults, with far ends that no fault touches, and judged by them.

| module | what it does |
| --- | --- |
| `timeline` | one clock for both sides, and an event loop for the far ends |
| `far_connection` | plain sockets on that loop |
| `far_host`, `far_client` | a host; a client's connection |
| `far_others` | the change log and another gateway |
| `scene` | the gateway and its far ends, wired and driven turn by turn |
| `traffic` | what clients send in a play, by a seed |
| `rules` | what was seen, judged by name |
| `runner` | plays one seed, and reduces the faults of a failed play to those that matter |
"""
