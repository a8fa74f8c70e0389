#!/usr/bin/env bash
# Offers 0.5, 1, 2 and 10 times the capacity of all upstreams and prints what is answered in time.
# Capacity: 5 services x 8 instances x 8 slots, 500 ms of work a request: 640 requests a second.
cd "$(dirname "$0")/.." || exit 1
export OH_RUN="${OH_RUN:-build/run-load}"
. demo/cluster.sh
trap oh_stop_all EXIT
trap 'exit 1' INT TERM
SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-15}"
WORK_MS=500
oh_start_all >/dev/null || exit 1
entries=()
for i in $(seq 1 $OH_ENTRIES); do entries+=(--entry "$(oh_callers "$i")"); done
retries() {
    for i in $(seq 1 $OH_ENTRIES); do curl -s "$(oh_operators "$i")/metrics"; done |
        awk '/^oleanderhall_retries_total/ && !/connect_failed/ {r += $2}
             /^oleanderhall_first_tries_total/ {f += $2} END {print r + 0, f + 0}'
}
echo "times_capacity,offered_per_second,answered_per_second,answered_p50_ms,answered_p99_ms,refused_p50_ms,retries,first_tries"
for times in 0.5 1 2 10; do
    processes=$([ "$times" = 10 ] && echo 4 || echo 1)
    rate=$(awk -v t="$times" -v p="$processes" 'BEGIN {print 640 * t / p}')
    read -r retries_before tries_before <<<"$(retries)"
    pids=()
    for p in $(seq 1 "$processes"); do
        "$OH_BUILD/oleanderhall-load" run "${entries[@]}" --register "samples/$OH_SAMPLE/register.json" \
            --rules "samples/$OH_SAMPLE/rules.json" --rate "$rate" --seconds "$SECONDS_OF_LOAD" \
            --unrepeatable 0 --tries 1 --work-ms $WORK_MS --timeout-ms 2000 --seed "$p" \
            >"$OH_RUN/load-$p.txt" &
        pids+=($!)
    done
    for pid in "${pids[@]}"; do wait "$pid"; done
    read -r retries_after tries_after <<<"$(retries)"
    cat "$OH_RUN"/load-[1-"$processes"].txt | awk -v t="$times" -v s="$SECONDS_OF_LOAD" \
        -v r=$((retries_after - retries_before)) -v f=$((tries_after - tries_before)) '
        /^operations/ {offered += $2}
        /^attempts/ {sub(",", "", $4); answered += $4}
        /^latency of answers/ {p50 = $6; p99 = $10}
        /^latency of refusals/ {r50 = $6}
        END {printf "%s,%d,%d,%s,%s,%s,%d,%d\n", t, offered / s, answered / s, p50, p99, r50, r, f}'
    sleep 2
done
