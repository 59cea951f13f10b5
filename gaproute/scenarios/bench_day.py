"""A bench day's troubles as a script: the same kinds, times and shares, on as many hosts as sockets can show.

A day file is the JSON that the bench's `draw` prints. Only its troubles and sizes are read; what has no
counterpart on sockets is named, not dropped in silence.
"""

SECOND = 1_000_000  # the bench counts in microseconds
HEAD = """# Made from a bench day: its troubles at {scale:g} of their times.
day length {length:.1f}s rate {rate:g} hosts {hosts} gateways {gateways} models 24 halls 3 list-delay 1s
kind fast-4 share 0.55 cores 4 speed 1.5 copies 14
kind base-4 share 0.45 cores 4 speed 1.0 copies 14
track fault-check pure contract 1200ms limit 5s earnings 3
track dimming-plan receipted group rack remembers 5s contract 1500ms limit 6s earnings 1
track repair-order effectful contract 600ms limit 4s earnings 3
traffic fault-check share 0.46 work 160ms lanes 4 start 400ms
traffic dimming-plan share 0.39 work 160ms lanes 4 start 400ms
traffic repair-order share 0.15 work 110ms lanes 4 start 300ms
store pace 25 limit 40 thrash 0.2
host-life keep 10s cold-share 0.17 cold-time 12s fall 2.5 tip 1500ms
copies keep 10s orders yes free 6 share 0.3 window 10s
relays limit 6 twins yes cancel yes
reports probe
cold share 0.17 time 12s
"""
# Kind of the bench: (trouble here, what its size becomes). Sizes are a share, a factor, or not used.
KINDS = {
    "slow": ("slow", "factor"),
    "hang": ("hang", None),
    "fast_errors": ("fail", "share"),
    "answer_lost": ("lost", "share"),
    "vanish": ("vanish", None),
    "crash": ("crash", None),
    "mass_restart": ("crash", None),
    "preempt": ("preempt", None),
    "deploy": ("deploy", None),
    "burst": ("burst", "factor"),
    "hot_key": ("hot", "share"),
    "heavy_tail": ("heavy", "factor"),
    "class_fail": ("lost", "share"),
    "balancer_roll": ("gateway-kill", None),
    "balancer_stall": ("gateway-stall", None),
    "discovery_stale": ("list-late", None),
}
TRACK = ("fault-check", "dimming-plan", "repair-order")


def convert_bench_day(day, hosts=9, gateways=3, scale=1.0, rate=110.0):
    """(text of the script, kinds of trouble left out). `scale` shortens all times."""
    lines, left_out = [], []
    servers = max(1, len(day.get("servers", ())))
    balancers = max(1, len(day.get("balancers", ())))
    for trouble in sorted(day.get("troubles", ()), key=lambda trouble: trouble["at"]):
        kind = trouble["kind"]
        if kind not in KINDS:
            left_out.append(kind)
            continue
        name, size = KINDS[kind]
        at, lasts = (trouble[part] / SECOND * scale for part in ("at", "len"))
        struck = len(trouble.get("on", ()))
        words = f"trouble {name} at {at:.2f}s"
        if name in ("gateway-kill", "gateway-stall"):
            lines += _gateways(words, trouble, name, at, lasts, struck / balancers, gateways, scale)
            continue
        if name in ("preempt", "deploy", "vanish", "crash"):
            # How long the struck are away: of `size` and `extra`, what the bench's table says of the kind.
            notice, back = {
                "preempt": (trouble["size"], trouble["extra"]),
                "deploy": (trouble["extra"], 1.0),
                "vanish": (lasts, 0.5),
                "crash": (0, lasts),
            }[name]
            words += f" for {max(0.1, notice):.2f}s back {max(0.3, back * scale):.2f}s"
        elif name == "list-late":
            words += f" for {lasts:.2f}s back {trouble['size'] * scale:.2f}s"
        else:
            words += f" for {lasts:.2f}s"
        if name not in ("burst", "hot", "list-late"):
            everywhere = name == "heavy"
            words += f" hosts {hosts if everywhere else max(1, round(struck / servers * hosts))}"
        if kind == "heavy_tail":
            words += f" share {min(1, trouble['extra']):.3f}"
        if kind in ("class_fail", "heavy_tail"):
            words += f" track {TRACK[trouble.get('which', 0) % 3]}"
        if size is not None:
            words += f" {size} {min(1, trouble['size']) if size == 'share' else trouble['size']:.3f}"
        lines.append(words)
    text = HEAD.format(
        scale=scale, hosts=hosts, gateways=gateways, rate=rate, length=day["length"] / SECOND * scale
    )
    return text + "\n".join(lines) + "\n", left_out


def _gateways(words, trouble, name, at, lasts, share, gateways, scale):
    """Gateways struck one after another over the trouble's length; stalls come again and again."""
    struck = range(max(1, round(share * gateways)))
    if name == "gateway-kill":
        return [
            f"trouble {name} at {at + lasts * place / len(struck):.2f}s back "
            f"{max(0.2, trouble['extra'] * scale):.2f}s gateway {place}"
            for place in struck
        ]
    every = max(1.0, trouble["extra"])
    return [
        f"trouble {name} at {at + every * turn + 0.3 * place:.2f}s for {trouble['size'] / 1000:.2f}s "
        f"gateway {place}"
        for place in struck
        for turn in range(int(lasts // every))
    ]
