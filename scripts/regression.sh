#!/usr/bin/env bash
# Scores and hunts the regression sites with the users' bench, one after the other. BENCH is
# its program, SITES the folder that holds their site files.
#
#   BENCH=path/of/the/bench SITES=path/of/the/sites scripts/regression.sh "why"
set -euo pipefail
cd "$(dirname "$0")/.."

why=${1:?a reason for the journal is needed}
: "${BENCH:?}" "${SITES:?}"

# Site files, and how many days of each are hunted: 8 from 60 VMs on, else 40; the shifted
# deployment, whose rules are new, 40.
sites=(
	shifted/frh-leasefind-now-grown:40
	large/frh-leasefind-large:8
	large/wikiforos-large:8
	grown/frh-leasefind-grown:8
	grown/wikiforos-grown:8
	further-grown/scc-search-grown:8
	further/scc-search:40
)
for entry in "${sites[@]}"; do
	site=$SITES/${entry%:*}.toml
	"$BENCH" score "$site" --jobs 4 --why "$why"
	"$BENCH" hunt "$site" --days "${entry#*:}" --jobs 4 --why "$why"
done
