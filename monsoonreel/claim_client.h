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
// Each request asks under one attempt id. A steward that stays silent is
// replaced by another one, asked under the same id, so that the claim counts
// once. A request that was given up is never dispatched: its attempt is
// settled as not run, which voids the claim even where it was won, or is won
// later. An outcome is sent until a steward has read it back from the log.

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

// Without an answer for so long, another steward is asked.
constexpr duration claim_retry_period = std::chrono::milliseconds(400);
// First and longest time between two tries to settle an outcome.
constexpr duration settle_retry_period = std::chrono::milliseconds(500);
constexpr duration max_settle_retry_period = std::chrono::seconds(10);
// After stewards failed a request, others are refused at once for so long.
constexpr duration unavailable_period = std::chrono::seconds(1);
// A request that finds no steward waits no longer than this for one.
constexpr duration claim_patience = std::chrono::seconds(3);
// When to come back after a refusal for want of a steward or the log.
constexpr duration claim_retry_after = std::chrono::seconds(5);
// Requests that wait for a claim, and outcomes that wait for being settled.
constexpr size_t max_open_asks = 4096;
constexpr size_t max_open_settles = 4096;
// Larger answers are not kept for repeats.
constexpr size_t max_recorded_body_bytes = size_t{16} << 10;

enum class claim_decision {
  Dispatch,       // the claim is won: this request may run, once
  InProgress,     // another request with the key may be running
  Finished,       // it ran; Answer is what the first caller got
  OutcomeUnknown, // it may have run and nobody will know
  Mismatch,       // the key came with another request before
  KeyExpired,     // the key is older than what is remembered
  Unavailable,    // no steward or no log: not run, come back later
  DeadlinePassed, // given up at the request's deadline: not run
  InvalidKey,     // not a key that can be claimed: not run
};

// What a caller may be told about whether the work of the key took place.
run_knowledge outcomeOf(claim_decision Decision);

struct claim_request {
  request_id Request;
  organisation_name Organisation;
  std::string Key; // as the caller sent it
  uint64_t BodyHash = 0;
  steady_time Deadline;
};

struct claim_result {
  request_id Request;
  claim_decision Decision = claim_decision::Unavailable;
  std::optional<wire::recorded_answer> Answer; // with Finished
  duration RetryAfter{};
};

class claim_client {
public:
  explicit claim_client(node_identity Self);

  // Asks a steward to claim the key. The result comes by `takeResults`, at the
  // deadline at the latest.
  void ask(const claim_request &Request, steady_time Now, wall_time Wall,
           const membership &Members, effect_list &Effects);

  // The request is given up, for instance because its caller has gone. False
  // when it was decided already; a dispatched request has to be settled.
  bool cancel(request_id Request, steady_time Now, const membership &Members,
              effect_list &Effects);

  // What became of a request whose decision was Dispatch. NotRun frees the key
  // for another request. Bodies over max_recorded_body_bytes are dropped.
  void settle(request_id Request, wire::run_outcome::type Outcome,
              std::optional<wire::recorded_answer> Answer, steady_time Now,
              const membership &Members, effect_list &Effects);

  // True when the message was a claim_answer or a claim_settled.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 const membership &Members, effect_list &Effects);

  void onTick(steady_time Now, const membership &Members, effect_list &Effects);

  // Decisions since the last call, each request once.
  std::vector<claim_result> takeResults();

  // Whether nothing waits for a steward; a draining entry waits for this.
  bool isIdle() const { return Asks.empty() && Settles.empty(); }

private:
  // How often stewards were asked, and when the last time.
  struct steward_try {
    steady_time SentAt;
    size_t Tries = 0;
  };
  struct open_ask {
    request_id Request;
    wire::claim_ask Message;
    steady_time Deadline;
    steady_time PatienceEnds;
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

  // Sends to the steward whose turn it is, if there is any.
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
  // Ends an ask without a dispatch, and settles its attempt as not run.
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
  // Until then, new asks are refused at once: all stewards failed just now.
  steady_time UnavailableUntil;
  absl::flat_hash_map<request_id, won_claim> Won;
  std::vector<claim_result> Results;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CLAIM_CLIENT_H
