#!/usr/bin/env bash
# Starts the whole system on stand-ins, uses it, and checks what it promised.
# Every process that it starts is ended by its id.
set -u
cd "$(dirname "$0")/.."
bin=.venv/bin
run=$(mktemp -d)
pids=()
verdict=1

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

finish() {
  kill -KILL "${pids[@]}" 2>/dev/null
  if [ "$verdict" -eq 0 ]; then
    rm -rf "$run"
  else
    echo "logs of the processes: $run"
  fi
}
trap finish EXIT
trap 'exit 130' INT TERM

start platform $bin/mulberry-fake-platform --address 127.0.0.100
start engines $bin/mulberry-fake-engine \
  --addresses 127.0.1.1:8000,127.0.1.2:8000 --time-scale 0.2
start plain $bin/mulberry-fake-engine --kind plain --addresses 127.0.1.9:8000
for n in 1 2 3; do
  at=(--instance "i-$n" --zone "${zones[$((n - 1))]}" --address "127.0.0.$n")
  start "entry-$n" $bin/mulberry-entry "${at[@]}" --drain-linger-s 2
  start "batch-$n" $bin/mulberry-batch "${at[@]}"
  start "control-$n" $bin/mulberry-control "${at[@]}" \
    --bootstrap-key-digest "$(printf %s dba-key | $bin/mulberryctl digest)"
done

$bin/python scripts/demo_session.py "$run/pids"
verdict=$?
exit "$verdict"
