#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt.
exec "$(dirname "$0")/../run-case" 3
