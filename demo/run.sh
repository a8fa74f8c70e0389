#!/usr/bin/env bash
# Starts one deployment from its sample on loopback, drives load through all 7 entry hosts while a
# wave and a move run, one entry host is stopped by plan and one is killed, and prints a report.
# Exits non-zero when a promise was broken. Set OH_SAMPLE=waste for the other deployment.
cd "$(dirname "$0")/.." || exit 1
. demo/cluster.sh
mkdir -p "$OH_RUN"
trap oh_stop_all EXIT
trap 'exit 1' INT TERM

SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-40}"
RATE="${RATE:-300}"
if [ "$OH_SAMPLE" = waste ]; then
    POOL=tahi MOVE_FROM=rua MOVE_TO=desk
else
    POOL=renewal MOVE_FROM=medical MOVE_TO=portal
fi

echo "== start: platform, workers, $OH_ENTRIES entry hosts, sample $OH_SAMPLE"
oh_start_all >"$OH_RUN/start.txt" || exit 1
MOVED=$(grep "\"pool\": \"$MOVE_FROM\"" "samples/$OH_SAMPLE/register.json" | head -1 |
    sed 's/.*"id": "\([^"]*\)".*/\1/')

entries=()
for i in $(seq 1 $OH_ENTRIES); do entries+=(--entry "$(oh_callers "$i")"); done
"$OH_BUILD/oleanderhall-load" run "${entries[@]}" --register "samples/$OH_SAMPLE/register.json" \
    --rules "samples/$OH_SAMPLE/rules.json" --history "$OH_RUN/demo.history" --rate "$RATE" \
    --seconds "$SECONDS_OF_LOAD" >"$OH_RUN/load.txt" &
load=$!

sleep 2
echo "== wave over pool $POOL, move of $MOVED to $MOVE_TO"
oh_cli wave start "$POOL" --reason "demo"
oh_cli move "$MOVED" "$MOVE_TO" --reason "demo"
sleep 5
echo "== planned stop of entry-3"
stop_sent=$(date +%s%N)
oh_signal entry-3 TERM
wait "$(oh_pid entry-3)"
stop_code=$?
rm -f "$OH_RUN/entry-3.pid"
echo "entry-3 ended with $stop_code after $((($(date +%s%N) - stop_sent) / 1000000)) ms"
sleep 3
echo "== kill of entry-5"
oh_signal entry-5 KILL
wait "$(oh_pid entry-5)" 2>/dev/null
rm -f "$OH_RUN/entry-5.pid"
oh_list entry-5 gone
oh_list entry-3 gone
wait "$load"
oh_wait_until 90 oh_wave_done "$POOL" || result=1
oh_wait_until 60 oh_host_serves_in "$MOVED" "$MOVE_TO" || result=1

echo "== state"
oh_cli status
echo "== why $MOVED moved"
oh_cli explain host "$MOVED" | cut -c1-150 | tail -8
echo "== requests"
cat "$OH_RUN/load.txt"
echo "== promises"
"$OH_BUILD/oleanderhall-load" check --history "$OH_RUN/demo.history" --platform "$OH_PLATFORM" \
    --workers "$OH_WORKERS" || result=1
cut_off=$(awk -v stopped="$(oh_callers 3)" '$3 == stopped && $8 == 0' "$OH_RUN/demo.history" | wc -l)
echo "cut off by the planned stop $cut_off"
[ "$cut_off" = 0 ] && [ "$stop_code" = 0 ] || result=1
exit "${result:-0}"
