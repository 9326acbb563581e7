#!/usr/bin/env python3
"""Generates the settings and declarations of an example deployment.

Usage: tools/make_deployment.py (coop|auction) FOLDER [--base-port N]

Writes one settings file per VM to vms/, the platform's list of VMs to vms.json,
the declarations to declared/, and the targets to start to targets.txt (name,
address, slots, service time in microseconds).
"""
import argparse
import json
import pathlib

TRADES = {
    "coop": {
        "zones": ["visayas-a", "visayas-b", "visayas-c"],
        "vms": 9,
        "slots": 4,
        "connections": 130,
        "services": {
            "slots": (10, [("lookup", "GET", "repeatable", "urgent")]),
            "booking": (7, [("book", "POST", "once", "urgent")]),
            "deposits": (6, [("charge", "POST", "once", "urgent")]),
            "reminders": (10, [("lookup", "GET", "repeatable", "deferrable")]),
        },
    },
    "auction": {
        "zones": ["hall-a", "hall-b", "hall-c", "hall-d"],
        "vms": 8,
        "slots": 6,
        "connections": 110,
        "services": {
            "catalogue": (9, [("lot", "GET", "repeatable", "urgent")]),
            "landings": (8, [("register", "POST", "once", "urgent")]),
            "settlement": (8, [("settle", "POST", "once", "urgent")]),
            "archive": (8, [("prices", "GET", "repeatable", "deferrable")]),
        },
    },
}


def service_object(name, trade, operations):
    return {
        "kind": "service",
        "name": name,
        "spec": {
            "zones": trade["zones"],
            "shards": 1024,
            "key": {"from": "path", "segment": 2},
            "operations": [
                {"name": op, "method": method, "repeat": repeat, "urgency": urgency,
                 "deadline_ms": 2000}
                for op, method, repeat, urgency in operations
            ],
        },
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trade", choices=sorted(TRADES))
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--base-port", type=int, default=21000)
    arguments = parser.parse_args()
    trade, folder, base = TRADES[arguments.trade], arguments.folder, arguments.base_port
    for sub in ["vms", "declared"]:
        (folder / sub).mkdir(parents=True, exist_ok=True)

    listed = []
    for number in range(trade["vms"]):
        zone = trade["zones"][number % len(trade["zones"])]
        listed.append({"vm": f"vm-{number}", "zone": zone, "state": "live",
                       "address": f"127.0.0.1:{base + 200 + number}"})
    peers = [{key: vm[key] for key in ["vm", "zone", "address"]} for vm in listed]
    for number, vm in enumerate(listed):
        settings = {
            "vm": vm["vm"], "zone": vm["zone"],
            "callers_address": f"127.0.0.1:{base + 1 + number}",
            "operators_address": f"127.0.0.1:{base + 100 + number}",
            "peers_address": vm["address"],
            "platform_address": f"127.0.0.1:{base}",
            "peers": peers,
            "limits": {"vms": trade["vms"]},
        }
        write(folder / "vms" / f"{vm['vm']}.json", settings)
    write(folder / "vms.json", listed)

    targets, port = [], base + 300
    for name, (count, operations) in trade["services"].items():
        declared = [service_object(name, trade, operations)]
        for number in range(count):
            address = f"127.0.0.1:{port}"
            port += 1
            target = f"{name}-{number}"
            declared.append({"kind": "target", "name": target, "spec": {
                "service": name, "zone": trade["zones"][number % len(trade["zones"])],
                "address": address, "slots": trade["slots"],
                "connections": trade["connections"]}})
            targets.append(f"{target} {address} {trade['slots']} 1000")
        write(folder / "declared" / f"{name}.json", declared)
    (folder / "targets.txt").write_text("\n".join(targets) + "\n")


def write(path, value):
    path.write_text(json.dumps(value, indent=1) + "\n")


if __name__ == "__main__":
    main()
