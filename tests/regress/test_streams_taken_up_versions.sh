# Guards against streams that are refused at the entry that is left, as those that
# knew which of two versions began them have ended.
set -u
BASE=29300 VERSIONS=2 SPARED=1 DOWN_S=0.9 RETRY_MS=50
. tests/regress/taken_up.sh
run_taken_up
