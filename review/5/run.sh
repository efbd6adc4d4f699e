#!/usr/bin/env bash
# Plays the case of this folder: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 in the environment it plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec "target/review/case$(basename "$folder")" "$folder"
