// Decides on arrival whether a request is likely to be served in time.
//
//   auto Admission = makeLenientAdmission();
//   admission_verdict Verdict = Admission->judge(View);
//   if (!Verdict.Admit)
//     refuse(Verdict.RetryAfter);
//
// The wait is estimated from the expected slot time of the work ahead and the
// rate at which slots are released. Its variance is that of independent
// departures plus the arrivals of higher tiers or, where the class's minimum
// share bounds the wait, that of the grants by the share. A request is refused
// when the probability of being in time is below the policy's minimum. The
// minimum is higher for an organisation that was recently admitted more than
// its fair share, and lower for one that was admitted less. A target that could
// not be met even with an empty queue is ignored, because refusing would not
// help: only the deadline decides about such a request.

#ifndef MONSOONREEL_ADMISSION_H
#define MONSOONREEL_ADMISSION_H

#include <memory>

#include "monsoonreel/types.h"

namespace monsoonreel {

// A request that is less likely than this to be in time is refused.
constexpr double min_on_time_probability = 0.5;
// The minimum for targets under the lenient policy. It is lower because a wrong
// refusal costs more than a wrong admission: late requests are served after
// those on time and do not delay them.
constexpr double lenient_min_on_time_probability = 0.1;
// Bounds of a minimum probability after it was scaled by the organisation's
// admitted ratio.
constexpr double smallest_min_probability = 0.01;
constexpr double largest_min_probability = 0.5;
// Bounds of the retry time that a refusal carries.
constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(60);

// The inputs of an admission decision about one request.
struct admission_view {
  // Expected slot time of the requests that would be granted before it.
  duration WorkAhead{};
  // Slots that are free or could be preempted for it.
  int FreeSlots = 0;
  // Slots of all upstreams that could serve it.
  int Slots = 0;
  // Mean time that a request holds a slot.
  duration MeanHold{};
  // Typical time from a grant to the first token.
  duration FirstToken{};
  // Time until the class's target is missed.
  duration TargetLeft{};
  // Time until the request stops waiting.
  duration WaitDeadlineLeft{};
  // Ratio of its organisation's admissions to its fair share; see
  // admitted_share.
  double AdmittedRatio = 1;
  // Fraction of the slots that higher tiers will need while it waits.
  double HigherDemand = 0;
  // Upper bound of the wait that the class's minimum share guarantees,
  // regardless of the work ahead.
  duration ShareWait = duration::max();
  // Mean time between two grants by that share.
  duration ShareGap = duration::max();
};

struct admission_verdict {
  bool Admit = true;
  duration ExpectedWait{};
  // Time after which a similar request would probably be admitted.
  duration RetryAfter{};
};

class admission_policy {
public:
  virtual ~admission_policy() = default;
  virtual admission_verdict judge(const admission_view &View) const = 0;
};

// Refuses requests that will almost certainly miss their target or will
// probably miss the caller's deadline.
std::unique_ptr<admission_policy> makeLenientAdmission();
// Refuses requests that will probably miss their target or deadline.
std::unique_ptr<admission_policy> makeTargetAdmission();
// Refuses only requests that will probably miss the caller's own deadline.
std::unique_ptr<admission_policy> makeDeadlineAdmission();
// Refuses nothing.
std::unique_ptr<admission_policy> makeAdmitAll();

// The probability that a wait with the mean ExpectedWait ends within Left, by a
// normal approximation. The wait's variance is ExpectedWait * VarianceRate.
double probabilityWithin(duration Left, duration ExpectedWait,
                         duration VarianceRate);

} // namespace monsoonreel

#endif // MONSOONREEL_ADMISSION_H
