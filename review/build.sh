#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
(cd stand && GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -trimpath -o ../../target/review-stand .)
