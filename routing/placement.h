// Chooses an upstream for a request.
//
//   placement_query Query{...};
//   std::optional<placement> Chosen = choosePlacement(Query, Candidates);
//
// Load patterns that it handles:
//
// - Long prompts together with paced streams, which are sensitive to pauses
//   between tokens. Reading a long prompt delays every token that the engine
//   generates meanwhile. The first engines, in an order that all entries share,
//   are therefore reserved for paced streams: as many as these need at the
//   moment, but at most half. A request of either kind goes to an engine of the
//   other group only when the queue in its own group costs more.
// - Prompts about the same subject. Reading again what an engine has cached
//   costs several times as much as reading the request's own part. Each subject
//   therefore has a home engine, chosen by rendezvous hashing, and leaves it
//   only when the queue there costs more than reading the prompt again
//   elsewhere.
// - Many entries. The reports of their load are then older than most requests
//   last, and all entries would choose the same upstream. Each entry therefore
//   considers a few randomly sampled upstreams, besides those that have the
//   prompt cached.
// - Engines with few slots. A request beyond the slots waits until others end,
//   so each place in such a queue costs as much as the tokens that could be
//   read in that time.
// - Failing upstreams. Paused upstreams are used only when no others are left;
//   failures count as additional load.
// - Upstreams in need, which state a request rate. They are used only within
//   this entry's share of it, see upstream_limits.h.
//
// All costs are in prompt tokens that the engine would have to read first.
// Costs of services without engines are in concurrent requests.

#ifndef ROUTING_PLACEMENT_H
#define ROUTING_PLACEMENT_H

#include <optional>
#include <vector>

#include "routing/engine_model.h"
#include "routing/prompt_cache_view.h"
#include "routing/prompt_fetch.h"
#include "routing/region_rules.h"
#include "routing/reported_failures.h"
#include "routing/route_table.h"
#include "routing/routing_event.h"
#include "routing/upstream_failure_tracker.h"
#include "routing/upstream_limits.h"
#include "routing/upstream_load.h"
#include "routing/upstream_registry.h"

namespace monsoonreel {

struct placement_query {
  const std::vector<const upstream_state *> &Serving;
  const zone_name &Zone;               // zone of this entry
  const prompt_info *Prompt = nullptr; // set for engines
  bool Paced = false;                  // sensitive to pauses between events
  // Upstreams to which the request was sent before.
  const std::vector<upstream_name> &Tried;
  steady_time Now;
  uint64_t Random = 0;
  int Slots = 0;            // per engine; 0: unknown
  bool LoadIsStale = false; // other entries' load is reported rarely
  const region_rule *Regions = nullptr; // nullptr: all zones are allowed
  // Set where engines have few slots, with what follows: see engine_choice.h.
  const engine_model *Model = nullptr;
  duration Target{};                  // for the first event
  std::optional<duration> Pause = {}; // longest pause between events
  duration StrictestPause{};          // of all routes to the service
  // The own view of the caches includes the requests of other entries.
  bool CacheIsExact = false;
  // Engines of other zones have a placer of their own, so they are worth asking
  // for only if they are better by more than the age of their load explains.
  bool PrefersOwnZone = false;
  bool Urgent = false; // no route to the service is more urgent
  // Tell whether engines fetch cached beginnings of prompts from each other.
  const engine_terms *Terms = nullptr;
  // An engine that has the beginning cached by the view of another entry.
  const upstream_state *KnownHolder = nullptr;
};

// Reports of other entries are up to 0.3 s old. Where callers wait longer than
// twice that for a first event, requests are placed well enough with them.
constexpr duration longest_tight_target = std::chrono::milliseconds(600);

// Returns whether the engines of a service are chosen by predicted times, see
// engine_choice.h: they have few slots, and targets leave no time for queues.
bool isPlacedByTimes(const service &Service, const service_routes *Routes);

struct placement {
  const upstream_state *Upstream = nullptr;
  int64_t UnreadTokens = 0; // of the request itself
  double Cost = 0;
  duration FirstEvent{}; // predicted, if the query has a model
  bool IsLate = false;   // predicted to miss its targets, or to delay others
  bool IsIdle = false;   // no prompts are unread there, and a slot is free
  // Engine from which Upstream fetches what it lacks of the prompt, and how
  // much; nullptr: none.
  const upstream_state *FetchFrom = nullptr;
  int64_t FetchTokens = 0;
  upstream_use_sum Use; // load without this request
};

// State on which placement is based.
struct placement_inputs {
  const upstream_load &Load;
  const prompt_cache_view &Cache;
  const upstream_failure_tracker &FailureTracker;
  const upstream_limits &Limits;
  // Upstreams that other entries report as failing; nullptr: none.
  const reported_failures *Reported = nullptr;
  // Set where engines may fetch from each other, with the upstreams that are
  // draining and can still be fetched from.
  const prompt_fetches *Fetches = nullptr;
  const std::vector<const upstream_state *> *Draining = nullptr;
};

// Returns whether the upstream or its zone fails, as this entry or others have
// found.
bool isPaused(const upstream_entry &Entry, const placement_inputs &Inputs,
              steady_time Now);

// Returns whether there is an upstream to which the request may be sent.
bool hasEligibleUpstream(const placement_query &Query,
                         const placement_inputs &Inputs);

// Returns whether an upstream is known that would probably take the request: it
// may be sent to, does not fail, has a free slot as far as is known, and has
// not been full since FullSince.
bool hasOpenUpstream(const placement_query &Query,
                     const placement_inputs &Inputs, steady_time FullSince);

// Returns the best placement. Adds every placement that was compared to
// Options, if that is set.
std::optional<placement>
choosePlacement(const placement_query &Query, const placement_inputs &Inputs,
                std::vector<placement> *Options = nullptr);

// Whether a prompt's answer is long in relation to the prompt, so that pauses
// between its events matter more than the time to its first event.
bool isPaced(const prompt_info &Prompt);

} // namespace monsoonreel

#endif // ROUTING_PLACEMENT_H
