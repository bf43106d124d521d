// The requests of an entry and what happens to each: claim, slot, attempt,
// retry, answer.
//
//   request_table Requests(Services);
//   Requests.onArrival(Arrived, Admitted, Event, Effects);
//   Requests.onSlotOutcomes(Outcomes, Event, Effects);
//   Requests.onClaimResults(Claims.takeResults(), Event, Effects);
//   Requests.onAttemptEvent(Event, Effects);
//   Requests.onTick(Event, Effects);
//
// What is known about a request's effect is kept apart from its answer:
//
//   * An attempt that failed before its first byte, or that the upstream says
//     it had not begun, leaves the request "not run"; it may be tried again.
//   * After the first byte the outcome is unknown until the upstream answers.
//     Only idempotent requests are tried again from there.
//
// An event that names an attempt which has ended is dropped, so that a late
// answer is never taken for another request's.

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

// Attempts of one request, the first included.
constexpr int max_attempts = 4;
// Requests that one entry holds at once; more are refused.
constexpr size_t max_active_requests = 20000;
// An idempotent attempt is silent when its first token takes this many times
// the class's target, and at least `least_first_token_silence`.
constexpr int first_token_silence_factor = 6;
constexpr duration least_first_token_silence = std::chrono::seconds(3);
// Likewise between two tokens.
constexpr int between_tokens_silence_factor = 20;
constexpr duration least_between_tokens_silence = std::chrono::seconds(2);
// Length of an answer whose request names no bound.
constexpr int assumed_answer_tokens = 2048;
// Pause before a request whose answer is under way asks for a slot again.
constexpr duration ask_again_pause = std::chrono::milliseconds(200);
// When to come back after an upstream failed.
constexpr duration failure_retry_after = std::chrono::seconds(1);

// The modules that requests use. All outlive the table.
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
  // Takes all of Outcomes and leaves it empty.
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

  // Ends every request that came with the key.
  void withdrawKey(const key_hash &Hash, const event &Event,
                   effect_list &Effects);

  // The keys that running and waiting requests came with, each once.
  std::vector<key_hash> keysInUse() const;

  bool empty() const { return Requests.empty(); }
  size_t size() const { return Requests.size(); }

private:
  void askForSlot(active_request &Request, const event &Event,
                  effect_list &Effects);
  // Gives a slot back that nothing was sent to.
  void releaseUnused(request_id Id, const event &Event, effect_list &Effects);
  void onGranted(const slot_granted &Granted, const event &Event,
                 effect_list &Effects);
  void onRefused(const slot_refused &Refused, const event &Event,
                 effect_list &Effects);
  void onPreempted(const slot_preempted &Preempted, const event &Event,
                   effect_list &Effects);
  // Slot outcomes that the table's own calls brought about are handled after
  // the event that caused them.
  void applyPending(const event &Event, effect_list &Effects);
  void dispatch(active_request &Request, const slot_granted &Granted,
                const event &Event, effect_list &Effects);
  bool mayDispatch(const active_request &Request, effect_list &Effects) const;

  // Replays the answer that the first request with the key got.
  void answerRepeat(active_request &Request, const claim_result &Result,
                    const event &Event, effect_list &Effects);

  // Checks one request's deadline and silence.
  void checkTimes(active_request &Request, const event &Event,
                  effect_list &Effects);
  bool isSilent(const active_request &Request, steady_time Now) const;

  // Ends the running attempt and gives its slot back.
  void endAttempt(active_request &Request, wire::slot_result::type Result,
                  const event &Event, effect_list &Effects);
  // Stops the running attempt at its upstream, which is not to blame.
  void cancelAttempt(active_request &Request, const event &Event,
                     effect_list &Effects);
  // The attempt failed at its upstream, which is not used for it again.
  void failAttempt(active_request &Request, wire::slot_result::type Result,
                   const std::string &Detail, const event &Event,
                   effect_list &Effects);
  // After a failed attempt: runs the request again if that is allowed, else
  // gives it up.
  void retryOrGiveUp(active_request &Request, const std::string &Detail,
                     const event &Event, effect_list &Effects);
  bool mayRetry(const active_request &Request, steady_time Now);
  bool canResume(const active_request &Request) const;

  // Ends a request without a whole answer. Outcome is filled in.
  void giveUp(active_request &Request, refuse_request Refusal,
              const event &Event, effect_list &Effects);
  // Ends a request and forgets it.
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
