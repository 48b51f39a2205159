#!/usr/bin/env bash
# One engine fails payouts that it has run, with 503. Exit 1: a caller is told "not run" of a payout that has run.
# TROUBLE=0 lets the engine be sound. course.rs is the case; record.txt receives what happened.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/primrosewalkd ] || exit 2
target/review-2/cases 9 review/9
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
