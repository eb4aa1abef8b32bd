#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption. Build first: the deploy file, then review/build.sh.
cd "$(dirname "$0")" || exit 2
root=../..
[ -x $root/target/sycamorekeel-edge ] && [ -x $root/target/review-stand ] || { echo "not built" >&2; exit 2; }
timeout -k 5 115 "$root/target/review-stand" late-stop "$root/target/sycamorekeel-edge" record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
