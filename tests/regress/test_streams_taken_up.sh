# Guards against streams that are refused at the entry that is left, as those that
# knew which software version began them have ended, though one version has served
# all the time.
set -u
BASE=27400 VERSIONS=1 SPARED=1 DOWN_S=0.9 RETRY_MS=50
. tests/regress/taken_up.sh
run_taken_up
