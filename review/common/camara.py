"""The small deployment of the tender scheduler: figures of BRIEF and of the site file `camara-litoral`."""

ZONES = ["rosario", "cordoba", "mendoza"]
PARAMS = {
    "nodes": 3,
    "zones": sorted(ZONES),
    "time_bound_ms": 100.0,
    "teams": [
        {"name": "socios", "cpus": 80.0, "cpus_max": 320.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "analisis", "cpus": 80.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "sistemas", "cpus": 136.0, "cpus_max": 240.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [
        {"kind": "wait", "class": "portal-socios", "within_s": 1.0, "share": 0.95},
        {"kind": "deadline", "class": "barrido", "share": 0.95, "times": 1.0},
        {"kind": "deadline", "class": "barrido", "share": 0.975, "times": 1.5},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.95},
    ],
    "workers": {"report_s": 3.0, "lease_s": 29.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 49.0},
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 10.0},
    "machine_limits": {"cpu": 0.5, "mem_mb": 266.0, "max_sockets": 1800},
}
HULLS = [
    {"label": "caja-grande", "cpus": 16.0, "accelerators": 0, "ram_gb": 32.0, "local_gb": 40, "fetch_gb_per_s": 1.0,
     "price": 0.95, "market_price": 0.37, "startup_s": 50, "bays": ZONES},
]  # fmt: skip
CAPACITY = {
    ("caja-grande", "rosario", False): 8, ("caja-grande", "rosario", True): 3,
    ("caja-grande", "cordoba", False): 7, ("caja-grande", "cordoba", True): 3,
    ("caja-grande", "mendoza", False): 5, ("caja-grande", "mendoza", True): 2,
}  # fmt: skip
MACHINES = [
    ("caja-grande", zone) for zone, count in (("rosario", 7), ("cordoba", 6), ("mendoza", 4)) for _ in range(count)
]
