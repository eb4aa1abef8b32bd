#!/usr/bin/env bash
# Proves properties over separate processes on loopback: stand-ins and three
# daemons. One daemon after the other is killed, frozen and stopped as planned
# while requests go to the others. Ends only processes that it started itself.
#
# It checks that searches keep being answered by the VMs that are up, that a
# planned stop cuts nothing off, and that no payment runs twice although each one
# is sent again, to another VM, under the same key. Exit status 1 when not.
set -euo pipefail
cd "$(dirname "$0")/.."

examples=docs/examples/local
work=$(mktemp -d)
pids=()
failures=0

cleanup() {
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT

start_daemon() { # number
	bin/sycamorekeeld "$examples/local-$1.toml" >>"$work/daemon-$1.log" 2>&1 &
	daemon[$1]=$!
	disown "$!"
	pids+=("$!")
}

wait_ready() { # number
	for _ in $(seq 100); do
		if bin/sycamorekeel status --address "127.0.0.1:8$(($1 - 1))02" 2>/dev/null | grep -q ': ready'; then
			return
		fi
		sleep 0.1
	done
	echo "daemon $1 is not ready"
	tail -5 "$work/daemon-$1.log"
	exit 1
}

# search N ADDRESS... sends N searches over the addresses, and counts outcomes.
search() {
	local n=$1 ok=0 bad=0
	shift
	local addresses=("$@")
	for i in $(seq "$n"); do
		local to=${addresses[$((i % ${#addresses[@]}))]}
		if bin/sycamorekeel query --address "$to" --token local-token search lease >/dev/null 2>>"$work/errors"; then
			ok=$((ok + 1))
		else
			bad=$((bad + 1))
		fi
	done
	echo "  searches: $ok answered, $bad refused or failed"
	if [ "$bad" -gt "$allowed" ]; then
		echo "  BROKEN: at most $allowed may fail here"
		tail -3 "$work/errors"
		failures=$((failures + 1))
	fi
}

# pay N TEXT sends N payments to the VM that leased the key, and each one again
# to another VM under the same key.
pay() {
	local n=$1 text=$2 lease prefix
	lease=$(bin/sycamorekeel --output json endpoints --address "$first" --token local-token)
	prefix=$(sed -n 's/.*"prefix": "\(.*\)".*/\1/p' <<<"$lease")
	for i in $(seq "$n"); do
		bin/sycamorekeel query --address "$first" --token local-token --operation "$prefix.$i" --key "pay-$text-$i" payment >>"$work/payments" 2>&1 || true
		bin/sycamorekeel query --address "$second" --token local-token --operation "$prefix.$i" --key "pay-$text-$i" payment >>"$work/payments" 2>&1 || true
	done
}

declare -a daemon
allowed=0
one=127.0.0.1:8001 two=127.0.0.1:8101 three=127.0.0.1:8201
bin/sycamorekeel standin "$examples/services.toml" "$examples/customers.toml" "$examples/vms.toml" >"$work/standin.log" &
standin=$!
pids+=("$standin")
for i in 1 2 3; do start_daemon "$i"; done
for i in 1 2 3; do wait_ready "$i"; done
sleep 2

echo "all up"
search 60 $one $two $three
first=$one second=$two
pay 10 up

echo "daemon 2 killed"
kill -KILL "${daemon[2]}"
search 60 $one $three
first=$one second=$three
pay 10 kill

echo "daemon 2 back, as another incarnation"
start_daemon 2
wait_ready 2
sleep 2
search 60 $one $two $three

echo "daemon 3 frozen for some seconds"
kill -STOP "${daemon[3]}"
search 120 $one $two
first=$two second=$one
pay 10 freeze
sleep 5
kill -CONT "${daemon[3]}"
sleep 3
search 60 $one $two $three

echo "daemon 1 stopped as planned while requests flow"
(sleep 0.3 && kill -TERM "${daemon[1]}") &
: >"$work/errors"
allowed=60 # callers that still ask the stopped VM are refused as not run
search 60 $one $two $three
if grep -v -e '"ran":"not_run"' -e 'connection refused' "$work/errors"; then
	echo "  BROKEN: the planned stop cut requests off"
	failures=$((failures + 1))
fi
allowed=0
search 60 $two $three
if grep -q 'were cut off' "$work/daemon-1.log"; then
	echo "  BROKEN: the planned stop cut requests off"
	failures=$((failures + 1))
fi

kill -TERM "$standin"
wait "$standin" || true
tail -1 "$work/standin.log"
if ! grep -q 'one ran at most 1 times' "$work/standin.log"; then
	echo "BROKEN: a payment ran twice, or none ran"
	failures=$((failures + 1))
fi
echo "$failures broken"
[ "$failures" -eq 0 ]
