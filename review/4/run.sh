#!/bin/sh
# Another writer's unreadable entries beside six machines: does any process exceed its memory?
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sycamorekeel-edge ] && [ -x target/review-stand2 ] || { echo "build first" >&2; exit 2; }
exec target/review-stand2 memory review/4
