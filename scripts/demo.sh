#!/usr/bin/env bash
# Runs the whole system against simulated services and checks its behaviour.
# All processes that it starts are killed by their ids.
set -u
cd "$(dirname "$0")/.."
bin=.venv/bin
run=run/demo
pids=()
status=1

export MULBERRY_PEER_KEY=demo-peer-key
export MULBERRY_PLATFORM_ADDRESS=127.0.0.100
export MULBERRY_OPERATOR_KEY=dba-key
zones=(duluth-bay sarnia-hall erie-vault)

start() { # name command...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  echo "$name $!" >>"$run/pids"
  disown $!
}

# Kills the processes that an interrupted demo has left running.
kill_leftovers() {
  [ -f "$run/pids" ] || return 0
  while read -r _ pid; do
    if tr '\0' ' ' <"/proc/$pid/cmdline" 2>/dev/null | grep -q 'mulberry\|demo_session'; then
      kill -KILL "$pid"
    fi
  done <"$run/pids"
  sleep 0.5
}

cleanup() {
  kill -KILL "${pids[@]}" 2>/dev/null
  if [ "$status" -eq 0 ]; then
    rm -rf "$run"
  else
    echo "logs of the processes: $run"
  fi
}
kill_leftovers
rm -rf "$run"
mkdir -p "$run"
trap cleanup EXIT
trap 'exit 130' INT TERM

start platform $bin/mulberry-fake-platform --address 127.0.0.100
start engines $bin/mulberry-fake-engine \
  --addresses 127.0.1.1:8000,127.0.1.2:8000 --time-scale 0.2
start plain $bin/mulberry-fake-engine --kind plain --addresses 127.0.1.9:8000
for n in 1 2 3; do
  args=(--instance "i-$n" --zone "${zones[$((n - 1))]}" --address "127.0.0.$n")
  start "entry-$n" $bin/mulberry-entry "${args[@]}" --drain-linger-s 2
  start "batch-$n" $bin/mulberry-batch "${args[@]}"
  start "control-$n" $bin/mulberry-control "${args[@]}" \
    --bootstrap-key-digest "$(printf %s dba-key | $bin/mulberryctl digest)"
done

# Runs in the background, since bash runs traps only after a foreground command
# has ended.
$bin/python scripts/demo_session.py "$run/pids" &
session=$!
pids+=("$session")
echo "session $session" >>"$run/pids"
wait "$session"
status=$?
if [ "$status" -eq 0 ]; then
  echo "mulberry-site, with a simulated store and engines:"
  $bin/python scripts/demo_site.py
  status=$?
fi
exit "$status"
