// Chooses an engine for a request by predicted times.
//
//   std::optional<placement> Chosen =
//       chooseEngine(Query, Inputs, {List, IsReserved, HomeRank, Sampled});
//
// Used where engines have few slots (`few_slots`). One request is then a large
// part of an engine, and a wrong choice shows in the times of all its streams.
//
// Load patterns that it handles:
//
// - Long prompts beside paced streams. While an engine reads prompts without a
//   break, its streams pause. Each engine therefore has a budget of unread
//   prompt tokens, which it reads within the pause that the streams allow if it
//   is as fast as usual. Engines are slow for short periods, so streams may be
//   late within the budget as well. lateness_odds.h tells how many are; a
//   prompt goes where the expected delay and the late streams cost least.
// - Paced streams spread over all engines, so that a very long prompt finds no
//   engine without them. The first engines, in an order that all entries share,
//   are reserved for paced streams, as many as these need; they take long
//   prompts within their budget.
// - Subjects that leave the engine that has them cached. The time to read the
//   subject elsewhere is weighed against the wait at that engine.
// - More requests than the engines can serve in time. The predicted time to the
//   first event tells which ones cannot, see `shouldRefuse`.
// - Engines without free slots. The wait for one is predicted from the learned
//   times for which streams and other requests hold slots.
//
// Costs are in milliseconds. The speeds, the odds and the slot times come from
// engine_model.h.

#ifndef ROUTING_ENGINE_CHOICE_H
#define ROUTING_ENGINE_CHOICE_H

#include <optional>
#include <vector>

#include "routing/placement.h"

namespace monsoonreel {

// Engines of a service that may be chosen, with their places in the order of
// the subject's homes.
struct engine_candidates {
  const std::vector<const upstream_state *> &List;
  const std::vector<bool> &IsReserved; // for paced streams
  const std::vector<size_t> &HomeRank;
  const std::vector<bool> &Sampled; // those to look at besides homes
};

// Returns how many of Engines are reserved for paced streams.
size_t engineCountForPaced(int PacedStreams, int Slots, size_t Engines);

// Adds every placement that was compared to Options, if that is set.
std::optional<placement> chooseEngine(const placement_query &Query,
                                      const placement_inputs &Inputs,
                                      const engine_candidates &Candidates,
                                      std::vector<placement> *Options);

// Returns whether the best placement is too late for a request that gives way
// to more urgent ones.
bool shouldRefuse(const placement_query &Query, const placement &Best);

// Returns the time after which a place for the request is expected.
duration placeExpectedAfter(const placement_query &Query,
                            const placement &Best);

} // namespace monsoonreel

#endif // ROUTING_ENGINE_CHOICE_H
