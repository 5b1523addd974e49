#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (review/6 to review/10): one program, bin/rig2. It needs the Go
# toolchain alone; the project's programs are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/rig2 ./review/rig2
