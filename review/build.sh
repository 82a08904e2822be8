#!/bin/sh
# Builds the stand-ins and the scripts of the cases: Python without dependencies.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review
