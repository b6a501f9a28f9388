#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs, the
# project's own and those in lib/, and run on the libraries in target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review/lib PYTHONDONTWRITEBYTECODE=1 python3 - <<'PROGRAM'
import quetzalcourse.standins.rollout.cloud
import quetzalcourse.standins.rollout.store
import quetzalcourse.standins.rollout.upstream

import deployment
import engines

print('stand-ins load')
PROGRAM
