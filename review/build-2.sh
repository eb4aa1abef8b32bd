#!/bin/sh
# Builds the stand-ins of the second review. Run it in the repository's root, after the build of the
# deploy file.
set -eu
go build -trimpath -o target/review-stand2 ./review/_stand2
