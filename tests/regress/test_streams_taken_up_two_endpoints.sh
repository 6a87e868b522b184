# Guards against streams that are taken up and refused as overload, as the load of their
# former entry still counts at the only two endpoints, which also reset requests.
BASE=32300 ENDPOINTS_LISTED=2
. tests/regress/test_streams_taken_up_resets.sh
