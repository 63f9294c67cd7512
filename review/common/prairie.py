"""The small deployment of the race results: figures of BRIEF and of the site file `prairie-results`."""

ZONES = ["regina", "saskatoon", "brandon", "moosejaw"]
CREWS = 10
PARAMS = {
    "nodes": 3,
    "zones": sorted(ZONES),
    "time_bound_ms": 1000.0,
    "teams": [
        {"name": f"results-crew-{n}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 12.0} for n in range(CREWS)
    ],
    "objectives": [
        {"kind": "up", "class": "results-page", "after_s": 45.0, "share": 0.998},
        {"kind": "wait", "class": "results-page", "within_s": 1.0, "share": 0.88},
        {"kind": "deadline", "class": "chip-import", "share": 0.88, "times": 1.0},
        {"kind": "wait", "class": "photo-match", "within_s": 35.0, "share": 0.8},
        {"kind": "finished", "class": "photo-match", "within_s": 100.0, "share": 0.8},
        {"kind": "finished", "class": "archive-rebuild", "within_s": 250.0, "share": 0.9},
    ],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": 35.0},
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 5.0},
    "machine_limits": {"cpu": 0.75, "mem_mb": 146.0, "max_sockets": 500},
}
HULLS = [
    {"label": "small-worker", "cpus": 8.0, "accelerators": 0, "ram_gb": 64.0, "local_gb": 70, "fetch_gb_per_s": 1.0,
     "price": 0.37, "market_price": 0.15, "startup_s": 35, "bays": ZONES},
    {"label": "photo-box", "cpus": 16.0, "accelerators": 2, "ram_gb": 64.0, "local_gb": 80, "fetch_gb_per_s": 0.4,
     "price": 6.9, "market_price": 2.76, "startup_s": 45, "bays": ["regina", "saskatoon", "brandon"]},
    {"label": "big-box", "cpus": 48.0, "accelerators": 4, "ram_gb": 384.0, "local_gb": 150, "fetch_gb_per_s": 0.25,
     "price": 11.75, "market_price": 4.94, "startup_s": 30, "bays": ZONES},
]  # fmt: skip
# Machines that the cloud has in all, by type, zone and kind (True: spot).
CAPACITY = {
    ("small-worker", "regina", False): 3, ("small-worker", "regina", True): 1,
    ("small-worker", "saskatoon", False): 3, ("small-worker", "saskatoon", True): 1,
    ("small-worker", "brandon", False): 4, ("small-worker", "brandon", True): 1,
    ("small-worker", "moosejaw", False): 4, ("small-worker", "moosejaw", True): 1,
    ("photo-box", "regina", False): 2, ("photo-box", "regina", True): 1,
    ("photo-box", "saskatoon", False): 1, ("photo-box", "saskatoon", True): 1,
    ("photo-box", "brandon", False): 2, ("photo-box", "brandon", True): 1,
    ("big-box", "regina", False): 1, ("big-box", "saskatoon", False): 1,
    ("big-box", "brandon", False): 1, ("big-box", "brandon", True): 1,
    ("big-box", "moosejaw", False): 1, ("big-box", "moosejaw", True): 1,
}  # fmt: skip
MACHINES = [
    ("small-worker", "regina"), ("small-worker", "saskatoon"), ("small-worker", "brandon"),
    ("small-worker", "moosejaw"), ("photo-box", "regina"), ("photo-box", "saskatoon"), ("photo-box", "brandon"),
    ("big-box", "regina"), ("big-box", "saskatoon"), ("big-box", "brandon"), ("big-box", "moosejaw"),
]  # fmt: skip
