#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Its cases are days for
# the bench, so there are none.
set -eu
cd "$(dirname "$0")/.."
echo "no stand-ins to build"
