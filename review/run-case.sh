#!/usr/bin/env bash
# run-case.sh N CASE: runs a case of the stand-ins for review/N. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/.." || exit 2
standins=target/review/release/review-standins
[ -x "$standins" ] && [ -x target/release/greengageforkd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The processes that the stand-ins start end with them.
timeout 115 "$standins" "$2" "review/$1/record.txt" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
