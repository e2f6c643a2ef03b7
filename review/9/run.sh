#!/usr/bin/env bash
# A program that was stopped returns within retention-s. TROUBLE=0: it wasn't stopped in its turns.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-2 9
