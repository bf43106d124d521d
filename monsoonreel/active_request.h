// The state of one request between its arrival and its end.

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
  Pausing,  // was refused a slot while its answer is under way; asks again
  Running,  // an attempt is at an upstream
};

// One try at one upstream.
struct running_attempt {
  attempt_number Number;
  upstream_name Upstream;
  steady_time StartedAt;
  steady_time ProgressAt; // of the newest head or chunk
  std::optional<steady_time> FirstTokenAt;
  int Status = 0; // 0 until the head came
  int OutputTokens = 0;
  // What was known before this attempt; true again when it did not begin.
  run_knowledge KnowledgeBefore = run_knowledge::NotRun;
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
  // Worst over all attempts: once Unknown or Run, it stays so.
  run_knowledge Knowledge = run_knowledge::NotRun;
  // Upstreams that failed this request.
  std::vector<upstream_name> Excluded;
  int Attempts = 0;
  // Of the answer, over all attempts.
  std::optional<steady_time> FirstTokenAt;
  steady_time LastTokenAt;
  steady_time AskAgainAt; // in phase Pausing
  // Why it was given up; empty while it was not.
  std::string RefusalCode;
  bool ClaimWon = false;
  bool CallerGone = false;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ACTIVE_REQUEST_H
