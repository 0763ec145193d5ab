#!/usr/bin/env bash
# Measures how many packets per second one boragestand-entry forwards, compared
# with a bare forwarder on the same machine in the same run. Prints key=value
# lines.
# Usage: scripts/measure_packets.sh [FLOWS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

flows=${1:-10000}
seconds=${2:-5}
bin=build/bin
work=$(mktemp -d)
pids=()

cleanup() {
    # SIGKILL, because a graceful stop waits until the flows of the generator
    # have ended.
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait
    rm -rf "$work"
}
trap cleanup EXIT

warmup=$((flows / 30000 + 4))
generate() { # generate TARGET
    sleep 2
    "$bin/packet-generator" 127.31.0.9:16081 "$1" "$flows" \
        $((seconds + warmup)) >"$work/generator.log"
}

measure() { # measure NAME TARGET
    "$bin/packet-rate-peer" 127.31.0.2:17200 127.31.0.3:16081 \
        127.31.0.1:17080 "$warmup" "$seconds" >"$work/$1.log" &
    local peer=$!
    pids+=("$peer")
    generate "$2" &
    local generator=$!
    wait "$peer"
    wait "$generator"
    echo "measurement=packet_rate design=$1 flows=$flows" \
        "$(cat "$work/$1.log") $(cat "$work/generator.log")"
}

"$bin/bare-forwarder" 127.31.0.4:16081 127.31.0.3:16081 &
bare=$!
pids+=("$bare")
measure bare 127.31.0.4:16081
kill -TERM "$bare"

cat >"$work/entry.yaml" <<YAML
instance: {id: 1, name: measured, data_centre: measured}
addresses: {fabric: 127.31.0.1:16081, peers: 127.31.0.1:17001,
            http: 127.31.0.1:17080}
callers_via: 127.31.0.9:16081
members:
  - {id: 1, name: measured, data_centre: measured, fabric: 127.31.0.1:16081,
     peers: 127.31.0.1:17001, http: 127.31.0.1:17080}
control:
  - {id: 101, name: control, http: 127.31.0.2:17200}
log: {level: warn, file: "$work/entry.log"}
YAML
"$bin/boragestand-entry" --settings "$work/entry.yaml" &
pids+=("$!")
measure entry 127.31.0.1:16081

rate() { sed -n 's/.*packets_per_second=\([0-9]*\).*/\1/p' "$work/$1.log"; }
awk -v entry="$(rate entry)" -v bare="$(rate bare)" 'BEGIN {
    printf "measurement=packet_rate ratio=%.2f target=0.60\n", entry / bare }'
