// Decides at once whether a request has a chance to be served in time.
//
//   auto Admission = makeLenientAdmission();
//   admission_verdict Verdict = Admission->judge(View);
//   if (!Verdict.Admit)
//     refuse(Verdict.RetryAfter);
//
// The wait is foreseen from the expected time in slots of the work ahead and
// the rate at which slots come free; its spread is taken as that of
// independent departures and of the arrivals of higher tiers, or of the grants
// by the class's minimum share where that bounds the wait. A request is
// refused when the chance falls below the rule's least one, which is higher for
// an organisation that was admitted more than its due of late, and lower for
// one that was admitted less. A target that could
// not be met even without a queue does not count, because refusing would not
// help: such a request is judged by its deadline alone.

#ifndef MONSOONREEL_ADMISSION_H
#define MONSOONREEL_ADMISSION_H

#include <memory>

#include "monsoonreel/types.h"

namespace monsoonreel {

// A request with a smaller chance to be in time is refused.
constexpr double least_chance = 0.5;
// The same for targets under the lenient rule, where a wrong refusal costs more
// than a wrong admission: late requests do not make others late.
constexpr double least_target_chance = 0.1;
// Bounds of a least chance after it was set by what the organisation has had.
constexpr double lowest_least_chance = 0.01;
constexpr double highest_least_chance = 0.5;
// Shortest time to come back that a refusal names.
constexpr duration shortest_retry_after = std::chrono::milliseconds(100);
constexpr duration longest_retry_after = std::chrono::seconds(60);

// What is known about a request's way to a slot.
struct admission_view {
  // Expected time in slots of the requests that would be granted before it.
  duration WorkAhead{};
  // Slots that are free or could be taken back for it.
  int FreeSlots = 0;
  // Slots of all upstreams that could serve it.
  int Slots = 0;
  // Mean time in a slot.
  duration MeanHold{};
  // Usual time from a grant to the first token.
  duration FirstToken{};
  duration TargetLeft{};
  duration GiveUpLeft{};
  // Admissions of its organisation as a part of their due; see admitted_share.
  double AdmittedRatio = 1;
  // Part of the slots that higher tiers will ask for while it waits.
  double HigherDemand = 0;
  // Longest wait by the class's minimum share, whatever is ahead.
  duration ShareWait = duration::max();
  // Mean time between two grants by that share.
  duration ShareGap = duration::max();
};

struct admission_verdict {
  bool Admit = true;
  duration ExpectedWait{};
  // Until a request like this one would probably be admitted.
  duration RetryAfter{};
};

class admission_policy {
public:
  virtual ~admission_policy() = default;
  virtual admission_verdict judge(const admission_view &View) const = 0;
};

// Refuses what will almost surely miss its target or probably the caller's
// deadline.
std::unique_ptr<admission_policy> makeLenientAdmission();
// Refuses what will probably miss its target.
std::unique_ptr<admission_policy> makeTargetAdmission();
// Refuses only what will probably miss the caller's own deadline.
std::unique_ptr<admission_policy> makeDeadlineAdmission();
// Refuses nothing.
std::unique_ptr<admission_policy> makeOpenAdmission();

// The chance that a wait of ExpectedWait ends within Left. The wait's variance
// grows by Spread for each unit of time.
double chanceWithin(duration Left, duration ExpectedWait, duration Spread);

} // namespace monsoonreel

#endif // MONSOONREEL_ADMISSION_H
