#!/bin/sh
# Usage: run.sh; TROUBLE=0 lets every answer end whole.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:.:review/lib PYTHONDONTWRITEBYTECODE=1 \
    exec python3 review/1/case.py
