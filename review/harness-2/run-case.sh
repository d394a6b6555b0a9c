#!/usr/bin/env bash
# Runs case N: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 runs it without its disruption.
set -u
number=$1
cd "$(dirname "$0")/../.."
[ -x target/daemon/marjorambend ] && [ -x "target/review-2/case-$number" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 115 "target/review-2/case-$number" "$folder" \
  "review/$number/record.txt"
result=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
