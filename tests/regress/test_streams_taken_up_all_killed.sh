# Guards against streams of two versions that are refused at entries that have just
# started, as all entries were killed at once.
set -u
BASE=29600 VERSIONS=2 SPARED=0 DOWN_S=0.2 RETRY_MS=700
. tests/regress/taken_up.sh
run_taken_up
