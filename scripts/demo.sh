#!/usr/bin/env bash
# Runs the whole system as separate processes on 127.0.0.0/8: callers open flows
# to two services while a release note changes the system, an upstream drains,
# one entry instance stops as planned and one is killed and replaced. The last
# line sums the results of callers and upstreams; the exit status is 0 only if
# every flow completed without a fault and every process stopped cleanly.
#
# Usage: scripts/demo.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."

seed=${1:-1}
scripts/build.sh >/dev/null
bin=$PWD/build/bin
work=$(mktemp -d)
# Each run has a network of its own, so that concurrent runs do not collide.
net=127.$((10 + $$ % 240))
declare -A pids=()
failures=0

data_centres=(tx-waco tx-temple tx-bryan tx-killeen)
entry_data_centres=(tx-waco tx-waco tx-temple tx-temple tx-bryan tx-killeen)
control=("$net.2.1:7200" "$net.2.2:7200" "$net.2.3:7200")
member_desk=10.0.0.1:443
haul_maps=10.0.0.2:443

log() {
    printf '%s %s\n' "$(date +%T)" "$*"
}

# start NAME PROGRAM ARGUMENTS... runs a program in the background and redirects
# its output to files.
start() {
    local name=$1 program=$2
    shift 2
    "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids[$name]=$!
}

# finish NAME [SECONDS] waits for a program, kills it after the time, and counts
# an exit status other than 0 as a failure.
finish() {
    local name=$1 status=0 end=$((SECONDS + ${2:-10}))
    while kill -0 "${pids[$name]}" 2>/dev/null && [ $SECONDS -lt $end ]; do
        sleep 0.05
    done
    if kill -KILL "${pids[$name]}" 2>/dev/null; then
        log "$name did not stop"
    fi
    wait "${pids[$name]}" || status=$?
    unset "pids[$name]"
    if [ "$status" -ne 0 ]; then
        log "$name exited with status $status"
        tail -n 3 "$work/$name.err"
        failures=$((failures + 1))
    fi
}

# stop NAMES... sends SIGTERM to all programs, then waits for each.
stop() {
    local name
    for name in "$@"; do
        kill -TERM "${pids[$name]}" 2>/dev/null || true
    done
    for name in "$@"; do
        finish "$name"
    done
}

clean_up() {
    local status=$?
    trap - EXIT
    if [ ${#pids[@]} -gt 0 ]; then
        kill -KILL "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    if [ "$status" -eq 0 ]; then
        rm -rf "$work"
    else
        echo "logs are in $work"
    fi
    exit "$status"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# Aborts the run if a started program has exited.
check_running() {
    local name
    for name in "${!pids[@]}"; do
        if ! kill -0 "${pids[$name]}" 2>/dev/null; then
            log "$name exited early"
            tail -n 3 "$work/$name.err"
            exit 1
        fi
    done
}

# wait_for SECONDS COMMAND... repeats the command until it succeeds, or aborts
# the run after the time.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >"$work/wait.out" 2>&1; do
        check_running
        if [ $SECONDS -ge $end ]; then
            log "timed out waiting for: $*"
            cat "$work/wait.out"
            exit 1
        fi
        sleep 0.1
    done
}

member_line() {
    echo "  - {id: $1, name: entry-$1, data_centre: ${entry_data_centres[$1 - 1]}," \
        "fabric: $net.1.$1:6081, peers: $net.1.$1:7001, http: $net.1.$1:7080}"
}

control_lines() {
    local i
    for i in 1 2 3; do
        echo "  - {id: 10$i, name: control-$i, http: ${control[$i - 1]}}"
    done
}

write_entry_settings() {
    local i
    {
        echo "instance: {id: $1, name: entry-$1," \
            "data_centre: ${entry_data_centres[$1 - 1]}}"
        echo "addresses: {fabric: $net.1.$1:6081, peers: $net.1.$1:7001," \
            "http: $net.1.$1:7080}"
        echo "callers_via: $net.9.1:6081"
        echo "members:"
        for i in 1 2 3 4 5 6; do member_line "$i"; done
        echo "control:"
        control_lines
        echo "log: {level: info, file: \"\"}"
        echo "limits: {seed: $seed}"
    } >"$work/entry-$1.yaml"
}

write_control_settings() {
    local i
    {
        echo "instance: {id: 10$1, name: control-$1," \
            "data_centre: ${data_centres[$1 - 1]}}"
        echo "addresses: {http: ${control[$1 - 1]}}"
        echo "data_directory: $work/control-$1"
        echo "members:"
        control_lines
        echo "entries:"
        for i in 1 2 3 4 5 6; do echo "  - {id: $i, name: entry-$i}"; done
        echo "director: {address: $net.9.2:7300, path: /v1/wake}"
        echo "log: {level: info, file: \"\"}"
    } >"$work/control-$1.yaml"
}

write_notes() {
    cat >"$work/note-1.yaml" <<EOF
number: 1
added:
  services:
    - {name: member-desk, address: $member_desk, protocol: tcp,
       idempotent: false, work: short, short_limit_ms: 1000,
       hold_limit_ms: 5000}
    - {name: haul-maps, address: $haul_maps, protocol: tcp,
       idempotent: true, work: long, hold_limit_ms: 20000}
EOF
    cat >"$work/note-2.yaml" <<EOF
number: 2
changed:
  upstreams:
    - {service: member-desk, name: md-03, weight: 50}
EOF
}

submit() {
    "$bin/boragestandctl" submit --timeout 10 --control "${control[0]}" \
        --control "${control[1]}" --control "${control[2]}" "$1"
}

# set_fabric_entries NUMBERS... sets the entry instances that the fabric sends
# to.
set_fabric_entries() {
    local i
    for i in "$@"; do echo "$net.1.$i:6081"; done >"$work/entries.new"
    mv "$work/entries.new" "$work/entries"
    if [ -n "${pids[fabric]:-}" ]; then
        kill -HUP "${pids[fabric]}"
    fi
}

# start_upstreams NAME SERVICE ADDRESS PREFIX FIRST COUNT ENTRIES...
# runs upstreams that announce themselves to the given entry instances.
start_upstreams() {
    local name=$1 service=$2 address=$3 prefix=$4 first=$5 count=$6 i
    local network=3 entries=()
    shift 6
    [ "$service" = member-desk ] || network=4
    for i in "$@"; do entries+=(--entry "$net.1.$i:7080"); done
    start "$name" standin-upstream --service "$service" \
        --service-address "$address" --name-prefix "$prefix" --first "$first" \
        --count "$count" --address "$net.$network.$first:6081" \
        --returns "$net.9.1:6081" --run-log "$work/$name.runs" \
        "${entries[@]}"
}

start_caller() {
    local name=$1 number=$2
    shift 2
    start "$name" standin-caller --local "$net.10.$number:6081" \
        --fabric "$net.9.1:6080" --inner-address "10.9.$number.1" \
        --seed "$((seed * 10 + number))" "$@"
}

# sum KEY FILES... prints the sum of the values of a key in the result lines.
sum() {
    local key=$1
    shift
    cat "$@" | tr ' ' '\n' | awk -F= -v key="$key" \
        '$1 == key { total += $2 } END { print total + 0 }'
}

for i in 1 2 3; do write_control_settings "$i"; mkdir "$work/control-$i"; done
for i in 1 2 3 4 5 6; do write_entry_settings "$i"; done
write_notes
set_fabric_entries 1 2 3 4 5 6

log "start director, 3 control instances, 6 entry instances, fabric"
start director standin-director --listen "$net.9.2:7300"
for i in 1 2 3; do
    start "control-$i" boragestand-control --settings "$work/control-$i.yaml"
done
for i in 1 2 3 4 5 6; do
    start "entry-$i" boragestand-entry --settings "$work/entry-$i.yaml"
done
start fabric standin-fabric --entries "$work/entries" --seed "$seed" \
    --callers "$net.9.1:6080" --returns "$net.9.1:6081"
wait_for 20 submit "$work/note-1.yaml"
log "note 1 is in effect: member-desk and haul-maps exist"

upstreams=(md-waco md-leaving md-temple md-bryan md-killeen
    hm-waco hm-temple hm-bryan hm-killeen)
start_upstreams md-waco member-desk $member_desk md- 1 3 1 2
start_upstreams md-leaving member-desk $member_desk md- 4 1 1 2
start_upstreams md-temple member-desk $member_desk md- 5 4 3 4
start_upstreams md-bryan member-desk $member_desk md- 9 3 5
start_upstreams md-killeen member-desk $member_desk md- 12 3 6
start_upstreams hm-waco haul-maps $haul_maps hm- 1 1 1 2
start_upstreams hm-temple haul-maps $haul_maps hm- 2 1 3 4
start_upstreams hm-bryan haul-maps $haul_maps hm- 3 1 5
start_upstreams hm-killeen haul-maps $haul_maps hm- 4 1 6
for name in "${upstreams[@]}"; do
    wait_for 10 grep -q announced "$work/$name.out"
done
sleep 1 # until the announcements have reached all entry instances
log "18 upstreams are announced"

start_caller desk-caller 1 --service member-desk \
    --service-address $member_desk --flows 1500 --rate 75 --long-share 0.05 \
    --work-ms 10 --long-work-ms 1500 --long-bytes 60000 --flow-limit-ms 60000
start_caller maps-caller 2 --service haul-maps --service-address $haul_maps \
    --flows 16 --rate 0.8 --long-share 1 --long-work-ms 5000 \
    --long-bytes 500000 --flow-limit-ms 60000
sleep 2

submit "$work/note-2.yaml" >"$work/submit.out" || {
    cat "$work/submit.out"
    exit 1
}
log "note 2 is in effect: weight of md-03 changed"
sleep 1

log "upstream md-04 drains"
kill -TERM "${pids[md-leaving]}"
sleep 3

log "entry instance 2 stops as planned"
kill -TERM "${pids[entry-2]}"
sleep 0.3
set_fabric_entries 1 3 4 5 6
sleep 4

log "entry instance 3 is killed"
kill -KILL "${pids[entry-3]}"
wait "${pids[entry-3]}" 2>/dev/null || true
unset "pids[entry-3]"
sleep 0.5
set_fabric_entries 1 4 5 6 # the fabric has detected the failure
sleep 2
start entry-3 boragestand-entry --settings "$work/entry-3.yaml"
sleep 1.5
set_fabric_entries 1 3 4 5 6
log "entry instance 3 is replaced"

finish desk-caller 60
finish maps-caller 60
log "all callers are done; stop all processes"
finish entry-2
stop "${upstreams[@]}"
stop entry-1 entry-3 entry-4 entry-5 entry-6
stop fabric director control-1 control-2 control-3

caller_outputs=("$work/desk-caller.out" "$work/maps-caller.out")
upstream_outputs=()
for name in "${upstreams[@]}"; do upstream_outputs+=("$work/$name.out"); done
flows=$(sum flows "${caller_outputs[@]}")
completed=$(sum completed "${caller_outputs[@]}")
broken=$(sum broken "${caller_outputs[@]}")
refused=$(sum refused "${caller_outputs[@]}")
wrong_service=$(($(sum wrong_service "${caller_outputs[@]}") +
    $(sum foreign_requests "${upstream_outputs[@]}") +
    $(sum foreign_packets "${upstream_outputs[@]}")))
duplicate_runs=$(cut -d' ' -f1 "$work"/*.runs | sort | uniq -d | wc -l)

cat "${caller_outputs[@]}" "$work"/*-caller.err
echo "upstreams late_flows=$(sum late_flows "${upstream_outputs[@]}")" \
    "unknown_flow=$(sum unknown_flow "${upstream_outputs[@]}")" \
    "cut_flows=$(sum cut_flows "${upstream_outputs[@]}")" \
    "failed_processes=$failures"
echo "demo flows=$flows completed=$completed broken=$broken" \
    "wrong_service=$wrong_service duplicate_runs=$duplicate_runs" \
    "refused=$refused"
[ "$completed" -eq "$flows" ] && [ "$flows" -gt 0 ] &&
    [ $((broken + wrong_service + duplicate_runs + refused + failures)) -eq 0 ]
