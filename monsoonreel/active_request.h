// The state of one request from its arrival until it has been answered.

#ifndef MONSOONREEL_ACTIVE_REQUEST_H
#define MONSOONREEL_ACTIVE_REQUEST_H

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/caller_answer.h"
#include "monsoonreel/event.h"
#include "monsoonreel/request_admission.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

enum class request_phase {
  Claiming, // waits for its idempotency key's claim
  Waiting,  // waits for a slot
  Pausing,  // was refused a slot after part of its answer was sent; asks again
  Running,  // an attempt runs at an upstream
};

// One attempt at one upstream.
struct running_attempt {
  attempt_number Number;
  upstream_name Upstream;
  steady_time StartedAt;
  steady_time ProgressAt; // when the latest headers or chunk arrived
  std::optional<steady_time> FirstTokenAt;
  int Status = 0; // HTTP status; 0 until the headers have arrived
  int OutputTokens = 0;
  // Knowledge before this attempt; restored if the upstream never began it.
  execution_outcome KnowledgeBefore = execution_outcome::NotRun;
};

struct active_request {
  active_request(request_arrived Head, admitted_request Admitted,
                 steady_time ArrivedAt)
      : Head(std::move(Head)), Admitted(std::move(Admitted)),
        ArrivedAt(ArrivedAt), Answer(this->Head.Request, this->Head.Stream) {}

  request_arrived Head;
  admitted_request Admitted;
  steady_time ArrivedAt;
  request_phase Phase = request_phase::Waiting;
  caller_answer Answer;
  std::optional<running_attempt> Attempt;
  // Whether the request may have run, over all attempts. An attempt that never
  // began does not count; otherwise Unknown and Run never revert to NotRun.
  execution_outcome Knowledge = execution_outcome::NotRun;
  // Upstreams that failed this request.
  std::vector<upstream_name> Excluded;
  int Attempts = 0;
  // Times of the answer's first and latest tokens, over all attempts.
  std::optional<steady_time> FirstTokenAt;
  steady_time LastTokenAt;
  steady_time AskAgainAt; // used in phase Pausing
  // Error code of the refusal; empty unless the request was refused.
  std::string RefusalCode;
  bool ClaimWon = false;
  bool CallerGone = false;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ACTIVE_REQUEST_H
