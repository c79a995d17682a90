#!/bin/sh
# Builds the stand-ins of the review's scripts. The system's programs are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
