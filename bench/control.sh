#!/usr/bin/env bash
# Measures what control costs one entry host without callers' load: processor time, memory and
# bytes on the wire, for 3, 5 and 7 entry hosts. Prints CSV. Bytes are those of the loopback
# interface, both directions, with TCP and IP headers, shared out over the entry hosts.
cd "$(dirname "$0")/.." || exit 1
export OH_RUN="${OH_RUN:-build/run-control}"
. demo/cluster.sh
trap oh_stop_all EXIT
trap 'exit 1' INT TERM
SECONDS_MEASURED="${SECONDS_MEASURED:-20}"
lo_bytes() { awk '$1 == "lo:" {print $10}' /proc/net/dev; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$(oh_pid "$1")/stat"; }
echo "entry_hosts,hosts,cpu_percent,resident_mb,bytes_per_second"
for n in 3 5 7; do
    OH_ENTRIES=$n
    oh_start_all >/dev/null || exit 1
    sleep 6
    bytes=$(lo_bytes)
    ticks=$(for i in $(seq 1 "$n"); do cpu_ticks "entry-$i"; done | awk "{sum += \$1} END {print sum}")
    sleep "$SECONDS_MEASURED"
    bytes=$(($(lo_bytes) - bytes))
    ticks=$(($(for i in $(seq 1 "$n"); do cpu_ticks "entry-$i"; done | awk "{sum += \$1} END {print sum}") - ticks))
    resident=$(for i in $(seq 1 "$n"); do
        awk '$1 == "VmRSS:" {print $2}' "/proc/$(oh_pid "entry-$i")/status"
    done | sort -n | tail -1)
    awk -v n="$n" -v t="$ticks" -v s="$SECONDS_MEASURED" -v r="$resident" -v b="$bytes" \
        'BEGIN {printf "%d,50,%.2f,%.1f,%d\n", n, t / s / n, r / 1024, b / s / n}'
    oh_stop_all
done
