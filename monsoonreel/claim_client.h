// Claims idempotency keys for the requests of an entry, before they are
// dispatched.
//
//   claim_client Claims(Self);
//   Claims.ask({Request, Org, Key, BodyHash, Deadline}, Now, Wall, Members,
//              Effects);
//   ...
//   for (const claim_result &Result : Claims.takeResults())
//     if (Result.Decision == claim_decision::Dispatch)
//       dispatch(Result.Request); // this request alone may run for the key
//   ...
//   Claims.settle(Request, wire::run_outcome::Run, Answer, Now, Members,
//                 Effects);
//
// All messages for a request carry the same attempt id. If a steward does not
// answer, the next one is asked with the same id, so the claim counts only
// once. An abandoned request is never dispatched: its attempt is settled as
// NotRun, which voids the claim even if it has been won or is won later. An
// outcome is resent until a steward confirms that it has read it back from the
// log.

#ifndef MONSOONREEL_CLAIM_CLIENT_H
#define MONSOONREEL_CLAIM_CLIENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/idempotency_key.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// If a steward does not answer within this time, the next one is asked.
constexpr duration claim_retry_period = std::chrono::milliseconds(400);
// Initial and maximum interval between two attempts to settle an outcome.
constexpr duration settle_retry_period = std::chrono::milliseconds(500);
constexpr duration max_settle_retry_period = std::chrono::seconds(10);
// After all stewards have failed to decide a claim, new requests are refused
// at once for this time.
constexpr duration unavailable_period = std::chrono::seconds(1);
// Longest time for which a request waits for a steward to decide its claim.
constexpr duration claim_timeout = std::chrono::seconds(3);
// Suggested retry delay when no steward is available or the log can't be
// reached.
constexpr duration claim_retry_after = std::chrono::seconds(5);
// Bounds on the requests that wait for a claim and on the outcomes that are
// not settled yet.
constexpr size_t max_pending_asks = 4096;
constexpr size_t max_pending_settles = 4096;
// Bodies of larger answers are not recorded for repeated requests.
constexpr size_t max_recorded_body_bytes = size_t{16} << 10;

enum class claim_decision {
  Dispatch,       // the claim is won: this request may run, once
  InProgress,     // another request with the key may be running
  Finished,       // the request ran; Answer is what the first caller received
  OutcomeUnknown, // the request may have run; the outcome can't be determined
  Mismatch,       // the key was used before with a different request body
  KeyExpired,     // the key is older than the claims that are retained
  Unavailable,    // no steward or log is available: not run, retry later
  DeadlinePassed, // abandoned at the request's deadline or cancelled: not run
  InvalidKey,     // not a valid idempotency key: not run
};

// Whether the work for the key took place, as it is reported to the caller.
execution_outcome outcomeOf(claim_decision Decision);

struct claim_request {
  request_id Request;
  organisation_name Organisation;
  std::string Key; // as sent by the caller
  uint64_t BodyHash = 0;
  steady_time Deadline;
};

struct claim_result {
  request_id Request;
  claim_decision Decision = claim_decision::Unavailable;
  std::optional<wire::recorded_answer> Answer; // set for Finished, if recorded
  duration RetryAfter{};
};

class claim_client {
public:
  explicit claim_client(node_identity Self);

  // Asks a steward to claim the key. `takeResults` returns the result, at the
  // latest on the first tick after the deadline.
  void ask(const claim_request &Request, steady_time Now, wall_time Wall,
           const membership &Members, effect_list &Effects);

  // Abandons a request, for instance because its caller has disconnected.
  // Returns false if the request was already decided; a dispatched request has
  // to be settled instead.
  bool cancel(request_id Request, steady_time Now, const membership &Members,
              effect_list &Effects);

  // Records the outcome of a request whose decision was Dispatch. NotRun
  // frees the key for another request. Answer bodies larger than
  // max_recorded_body_bytes are dropped.
  void settle(request_id Request, wire::run_outcome::type Outcome,
              std::optional<wire::recorded_answer> Answer, steady_time Now,
              const membership &Members, effect_list &Effects);

  // Returns true if the message is a claim_answer or a claim_settled.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 const membership &Members, effect_list &Effects);

  void onTick(steady_time Now, const membership &Members, effect_list &Effects);

  // Returns the decisions made since the last call, one for each request.
  std::vector<claim_result> takeResults();

  // Whether no ask or outcome is pending. A draining entry stays up until this
  // is true.
  bool isIdle() const { return Asks.empty() && Settles.empty(); }

private:
  // How many times a message was sent to stewards, and when it was last sent.
  struct steward_try {
    steady_time SentAt;
    size_t Tries = 0;
  };
  struct open_ask {
    request_id Request;
    wire::claim_ask Message;
    steady_time Deadline;
    steady_time TimeoutAt;
    steward_try Try;
  };
  struct won_claim {
    wire::claim_key Key;
    wire::attempt_id Attempt;
  };
  struct open_settle {
    wire::claim_settle Message;
    steward_try Try;
  };

  // Sends to the next steward in order, if there is any.
  static void sendNext(const wire::peer_message &Message, steward_try &Try,
                       steady_time Now, const membership &Members,
                       effect_list &Effects);
  void onAnswer(const wire::claim_answer &Answer, steady_time Now,
                const membership &Members, effect_list &Effects);
  void onUnavailable(int64_t Sequence, steady_time Now,
                     const membership &Members, effect_list &Effects);
  void checkAsks(steady_time Now, const membership &Members,
                 effect_list &Effects);
  void checkSettles(steady_time Now, const membership &Members,
                    effect_list &Effects);
  // Ends an ask without a dispatch, and settles its attempt as NotRun.
  void giveUp(int64_t Sequence, claim_decision Decision, steady_time Now,
              const membership &Members, effect_list &Effects);
  // Ends an ask with a decision.
  void close(int64_t Sequence, claim_result Result, effect_list &Effects);
  void beginSettle(const wire::claim_key &Key, const wire::attempt_id &Attempt,
                   wire::run_outcome::type Outcome,
                   std::optional<wire::recorded_answer> Answer, steady_time Now,
                   const membership &Members, effect_list &Effects);

  node_identity Self;
  int64_t NextSequence = 1;
  std::map<int64_t, open_ask> Asks;       // by the attempt's sequence
  std::map<int64_t, open_settle> Settles; // by the attempt's sequence
  absl::flat_hash_map<request_id, int64_t> SequenceByRequest;
  // Until this time new asks are refused at once, because all stewards have
  // recently failed.
  steady_time UnavailableUntil;
  absl::flat_hash_map<request_id, won_claim> Won;
  std::vector<claim_result> Results;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_CLIENT_H
