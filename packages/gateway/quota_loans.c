/* Loans of quota between entries.
 *
 * A grant is renewed once in a round of heartbeats.  With many entries it is no
 * larger than a few requests, so chance alone uses up some grants while others
 * are left over.  An entry whose grant does not cover a request therefore asks
 * peers for what is missing; the request waits for their answers.  What a
 * lender gives up is what the borrower gets, so that the sum of all grants
 * stays the same. */
#include "gateway/private.h"

#include <math.h>

/* Peers that are asked at once, first those of this zone, and the part of the
 * missing amount that each is asked for: what a single one can spare may be
 * small. */
#define LOAN_LENDERS_NEAR 6
#define LOAN_LENDERS 24
#define LOAN_PART 0.5

/* Peers that have not answered after this are busy or cannot be reached. */
#define LOAN_TIMEOUT_US (40 * CA_US_PER_MS)

/* Requests for loans that bring less than is missing, after which no others are
 * sent in this round: there is little left anywhere. */
#define LOAN_FUTILE_MAX 2

/* Part of its expected demand until the next round that a lender keeps. */
#define LOAN_KEPT_SHARE 0.5

static ca_quota_t *
loan_quota (const ca_gateway_t *gateway, const char *workspace)
{
  ca_quota_t *quota = NULL;

  HASH_FIND (hh, gateway->quotas, workspace, strlen (workspace), quota);
  return quota;
}

static bool
loan_is_candidate (const ca_gateway_t *gateway, const ca_peer_t *peer)
{
  return ca_peers_in_close_contact (gateway, peer) && peer->heartbeat != NULL
         && peer->heartbeat->lends_quota;
}

/* Picks random peers, no more than are asked at once; if `near`, of this zone,
 * whose answers arrive soonest, unless it has none.  Returns their number. */
static size_t
loan_choose (ca_gateway_t *gateway, bool near, const ca_peer_t **lenders)
{
  const ca_peer_t *peer;
  size_t max = near ? LOAN_LENDERS_NEAR : LOAN_LENDERS;
  bool is_near = false;
  size_t seen = 0;

  for (peer = gateway->peers; peer != NULL; peer = peer->hh.next)
    {
      bool same_zone = ca_peers_in_same_zone (gateway, peer);
      size_t at;

      if ((is_near && !same_zone) || !loan_is_candidate (gateway, peer))
        continue;
      if (near && same_zone && !is_near)
        {
          seen = 0;
          is_near = true;
        }
      at = seen++;
      if (at >= max)
        at = (size_t)(ca_gateway_random (gateway) * (double)seen);
      if (at < max)
        lenders[at] = peer;
    }
  return seen < max ? seen : max;
}

/* Ends the wait for answers; they were of little use if much is missing. */
static void
loan_end (ca_quota_loan_t *loan)
{
  loan->awaited = 0;
  if (loan->missing > 0)
    loan->futile++;
}

bool
ca_quota_loan_request (ca_gateway_t *gateway,
                       const ca_catalog_workspace_t *workspace, double cost)
{
  ca_quota_t *quota = loan_quota (gateway, workspace->name);
  const ca_peer_t *lenders[LOAN_LENDERS];
  Camphor__Envelope envelope = CAMPHOR__ENVELOPE__INIT;
  Camphor__QuotaWant request = CAMPHOR__QUOTA_WANT__INIT;
  ca_quota_loan_t *loan;

  if (quota == NULL)
    return false;
  loan = &quota->loan;
  if (loan->awaited > 0
      && gateway->now_us - loan->requested_us >= LOAN_TIMEOUT_US)
    loan_end (loan);
  if (loan->awaited > 0)
    return true;
  if (loan->futile >= LOAN_FUTILE_MAX)
    return false;
  loan->awaited = (uint32_t)loan_choose (gateway, loan->futile == 0, lenders);
  loan->requested_us = gateway->now_us;
  loan->missing = cost - quota->granted;
  loan->amount = loan->missing * LOAN_PART;
  request.workspace = quota->workspace;
  request.amount = loan->amount;
  request.stamp_us = loan->requested_us;
  envelope.body_case = CAMPHOR__ENVELOPE__BODY_QUOTA_WANT;
  envelope.quota_want = &request;
  for (uint32_t i = 0; i < loan->awaited; i++)
    ca_peers_send (gateway, &lenders[i]->address, &envelope);
  return loan->awaited > 0;
}

/* What this entry can give up of its grant. */
static double
loan_surplus (ca_gateway_t *gateway, ca_quota_t *quota)
{
  double left_s = (double)ca_quota_round_left_us (gateway) / CA_US_PER_S;
  double kept
      = ca_quota_demand_per_s (gateway, quota) * left_s * LOAN_KEPT_SHARE;

  return quota->granted > kept ? quota->granted - kept : 0;
}

void
ca_quota_loan_answer (ca_gateway_t *gateway, const Camphor__Envelope *envelope)
{
  const Camphor__QuotaWant *request = envelope->quota_want;
  const ca_peer_t *peer = ca_peers_find (gateway, envelope->from);
  ca_quota_t *quota = loan_quota (gateway, request->workspace);
  Camphor__Envelope answer = CAMPHOR__ENVELOPE__INIT;
  Camphor__QuotaLoan loan = CAMPHOR__QUOTA_LOAN__INIT;

  if (peer == NULL)
    return;
  loan.workspace = request->workspace;
  loan.echo_us = request->stamp_us;
  if (quota != NULL && request->amount > 0)
    loan.amount = fmin (request->amount, loan_surplus (gateway, quota));
  if (quota != NULL)
    quota->granted -= loan.amount;
  answer.body_case = CAMPHOR__ENVELOPE__BODY_QUOTA_LOAN;
  answer.quota_loan = &loan;
  ca_peers_send (gateway, &peer->address, &answer);
}

void
ca_quota_loan_receive (ca_gateway_t *gateway, const Camphor__Envelope *envelope)
{
  const Camphor__QuotaLoan *answer = envelope->quota_loan;
  ca_quota_t *quota = loan_quota (gateway, answer->workspace);
  ca_quota_loan_t *loan;

  /* A late answer is dropped: its amount is lost to all, which is safe. */
  if (quota == NULL || quota->loan.awaited == 0
      || quota->loan.requested_us != answer->echo_us)
    return;
  loan = &quota->loan;
  if (answer->amount > 0)
    {
      double amount = fmin (answer->amount, loan->amount);

      quota->granted += amount;
      loan->missing -= amount;
      ca_counters_add (&gateway->counters, CA_COUNT_QUOTA_LOANS, 1);
    }
  if (--loan->awaited == 0)
    loan_end (loan);
  ca_exchanges_dispatch_waiting (gateway);
}
