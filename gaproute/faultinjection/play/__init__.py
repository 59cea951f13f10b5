"""A gateway of the platform run under faults; its far ends have none and judge it by what they see.

| module | what it does |
| --- | --- |
| `timeline` | one clock for both sides, and an event loop for the far ends |
| `far_connection` | plain sockets on that loop |
| `far_host`, `far_client` | a host; the connection of a client |
| `far_others` | the change log and another gateway |
| `scene` | the gateway and its far ends, connected and driven turn by turn |
| `traffic` | what clients send in a play, drawn from a seed |
| `rules` | the checks that judge a play, by name |
| `runner` | plays one seed, and reduces the faults of a failed play to those that matter |
"""
