#!/usr/bin/env bash
# Checks the models exhaustively; with "mutants" checks that each variant in
# mutants.txt is found wrong, with "variant MODEL NAME" one of them. Fails on an error, an incomplete search, a variant
# that passes, and a variant that fails for another reason than a violation.
set -euo pipefail
cd "$(dirname "$0")"

readonly depth=2000000 # steps of the longest path searched
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search MODEL [DEFINE] leaves the checker's report in $work/report.
search() {
	local model=$1 define=${2:-} dir="$work/$1-${2:-whole}"
	local safety=-DSAFETY liveness=()
	if grep -q '^ltl' "$model.pml"; then
		safety=-DNFAIR=3
		liveness=(-a -f)
	fi
	mkdir -p "$dir"
	cp "$model.pml" "$dir"
	cd "$dir"
	spin ${define:+-D$define} -a "$model.pml" >spin.out || { cat spin.out; return 1; }
	gcc -w -O1 -DNOREDUCE -DMEMLIM=3000 "$safety" -o pan pan.c
	./pan -m$depth "${liveness[@]}" >"$work/report" 2>&1 || true
	cd - >/dev/null
}

incomplete() {
	grep -qE 'not completed|too small|out of memory|memory limit|truncated' "$work/report"
}

whole() {
	search "$1"
	if incomplete || ! grep -q 'errors: 0' "$work/report"; then
		cat "$work/report"
		echo "spec: $1 failed"
		return 1
	fi
	local states seconds
	states=$(awk '/states, stored/ {print $1; exit}' "$work/report")
	seconds=$(awk '/elapsed time/ {print $4}' "$work/report")
	echo "spec: $1: ${states} states, complete, no violation, ${seconds:-0} s"
}

variant() {
	search "$1" "$2"
	if ! grep -qE 'assertion violated|acceptance cycle' "$work/report"; then
		cat "$work/report"
		echo "spec: $1 without $2: no violation found"
		return 1
	fi
	echo "spec: $1 $2: found ($(grep -oE 'assertion violated.*\)|acceptance cycle' "$work/report" | head -1))"
}

if [ "${1:-}" = variant ]; then
	variant "$2" "$3"
	exit
fi
if [ "${1:-}" = mutants ]; then
	# Two at a time; xargs fails when one of them does.
	grep -v '^#' mutants.txt | xargs -P 2 -L 1 ./check.sh variant
	exit
fi
for model in *.pml; do
	whole "${model%.pml}"
done
