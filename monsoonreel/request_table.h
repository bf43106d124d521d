// The active requests of an entry. Drives each one through its claim, slot,
// attempts, retries and answer.
//
//   request_table Requests(Services);
//   Requests.onArrival(Arrived, Admitted, Event, Effects);
//   Requests.onSlotOutcomes(Outcomes, Event, Effects);
//   Requests.onClaimResults(Claims.takeResults(), Event, Effects);
//   Requests.onAttemptEvent(Event, Effects);
//   Requests.onTick(Event, Effects);
//
// Whether a request has run is tracked separately from its answer:
//
//   * If an attempt fails before its first byte is sent, or the upstream says
//     that it has not begun, the request counts as not run and may be retried.
//   * After the first byte the outcome is unknown until the upstream answers.
//     From then on only idempotent requests are retried.
//
// Events of attempts that have ended are dropped, so that a late answer is
// never taken for that of another attempt or request.

#ifndef MONSOONREEL_REQUEST_TABLE_H
#define MONSOONREEL_REQUEST_TABLE_H

#include <map>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "monsoonreel/active_request.h"
#include "monsoonreel/claim_client.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/retry_budget.h"
#include "monsoonreel/slot_client.h"
#include "monsoonreel/usage_meter.h"

namespace monsoonreel {

// Upper bound of the attempts of one request, including the first.
constexpr int max_attempts = 4;
// Upper bound of the active requests of one entry; more are refused.
constexpr size_t max_active_requests = 20000;
// An attempt of an idempotent request times out when its first token takes
// longer than this multiple of the class's target and longer than
// `min_first_token_timeout`.
constexpr int first_token_timeout_factor = 6;
constexpr duration min_first_token_timeout = std::chrono::seconds(3);
// After its first token, such an attempt times out when the time since the
// latest chunk exceeds both this multiple of the class's target between two
// tokens and `min_between_tokens_timeout`.
constexpr int between_tokens_timeout_factor = 20;
constexpr duration min_between_tokens_timeout = std::chrono::seconds(2);
// Assumed number of tokens in an answer whose request sets no limit.
constexpr int assumed_answer_tokens = 2048;
// Longest pause before a request whose answer was partly sent asks for a slot
// again.
constexpr duration ask_again_pause = std::chrono::milliseconds(200);
// Retry time in refusals after an upstream failed, a deadline passed or the
// entry was full.
constexpr duration failure_retry_after = std::chrono::seconds(1);

// The modules that the table uses. All must outlive it.
struct request_services {
  slot_client &Slots;
  claim_client &Claims;
  membership &Members;
  usage_meter &Usage;
  retry_budget &Retries;
  zone_name Zone; // of this entry
};

class request_table {
public:
  explicit request_table(request_services Services) : Services(Services) {}

  void onArrival(const request_arrived &Arrived,
                 const admitted_request &Admitted, const event &Event,
                 effect_list &Effects);
  void onCallerGone(request_id Request, const event &Event,
                    effect_list &Effects);
  void onClaimResults(const std::vector<claim_result> &Results,
                      const event &Event, effect_list &Effects);
  // Handles all Outcomes and leaves the list empty.
  void onSlotOutcomes(slot_outcome_list &Outcomes, const event &Event,
                      effect_list &Effects);
  void onTick(const event &Event, effect_list &Effects);

  void onHeaders(const attempt_headers &Headers, const event &Event,
                 effect_list &Effects);
  void onChunk(const attempt_chunk &Chunk, const event &Event,
               effect_list &Effects);
  void onFinished(const attempt_finished &Finished, const event &Event,
                  effect_list &Effects);
  void onFailed(const attempt_failed &Failed, const event &Event,
                effect_list &Effects);

  // Ends every request that was sent with the key.
  void withdrawKey(const key_hash &Hash, const event &Event,
                   effect_list &Effects);

  // The distinct keys of all active requests.
  std::vector<key_hash> keysInUse() const;

  bool empty() const { return Requests.empty(); }
  size_t size() const { return Requests.size(); }

private:
  void askForSlot(active_request &Request, const event &Event,
                  effect_list &Effects);
  // Releases a slot to which no request was sent.
  void releaseUnused(request_id Id, const event &Event, effect_list &Effects);
  void onGranted(const slot_granted &Granted, const event &Event,
                 effect_list &Effects);
  void onRefused(const slot_refused &Refused, const event &Event,
                 effect_list &Effects);
  void onPreempted(const slot_preempted &Preempted, const event &Event,
                   effect_list &Effects);
  // Handles the slot outcomes that the table's own calls produced. They are
  // deferred until the event that caused them has been handled.
  void applyPending(const event &Event, effect_list &Effects);
  void dispatch(active_request &Request, const slot_granted &Granted,
                const event &Event, effect_list &Effects);
  bool mayDispatch(const active_request &Request, effect_list &Effects) const;

  // Answers a request whose idempotency key was used before: with the recorded
  // answer if there is one, or else with a refusal.
  void answerDuplicate(active_request &Request, const claim_result &Result,
                       const event &Event, effect_list &Effects);

  // Checks one request's deadline, pause and attempt timeout.
  void checkTimes(active_request &Request, const event &Event,
                  effect_list &Effects);
  bool hasTimedOut(const active_request &Request, steady_time Now) const;

  // Ends the running attempt and releases its slot.
  void endAttempt(active_request &Request, wire::slot_result::type Result,
                  const event &Event, effect_list &Effects);
  // Cancels the running attempt. This does not count as the upstream's failure.
  void cancelAttempt(active_request &Request, const event &Event,
                     effect_list &Effects);
  // Ends the failed attempt and excludes its upstream from further attempts of
  // the request.
  void failAttempt(active_request &Request, wire::slot_result::type Result,
                   const std::string &Detail, const event &Event,
                   effect_list &Effects);
  // After a failed attempt: retries the request if that is allowed, or else
  // refuses it.
  void retryOrRefuse(active_request &Request, const std::string &Detail,
                     const event &Event, effect_list &Effects);
  bool mayRetry(const active_request &Request, steady_time Now);
  bool canResume(const active_request &Request) const;

  // Ends a request without a complete answer. Refusal.Outcome is set from what
  // is known about the request.
  void endWithRefusal(active_request &Request, refuse_request Refusal,
                      const event &Event, effect_list &Effects);
  // Settles the claim, records the usage and removes the request.
  void finish(active_request &Request, const event &Event,
              effect_list &Effects);
  void settleClaim(active_request &Request, const event &Event,
                   effect_list &Effects);
  void recordUsage(const active_request &Request);

  active_request *find(request_id Id);
  active_request *findByAttempt(attempt_number Attempt);

  request_services Services;
  std::map<request_id, active_request> Requests;
  absl::flat_hash_map<attempt_number, request_id> RequestByAttempt;
  slot_outcome_list Pending;
  attempt_number LastAttempt;
};

} // namespace monsoonreel

#endif // MONSOONREEL_REQUEST_TABLE_H
