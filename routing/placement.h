// Chooses the upstream for a request.
//
//   placement_query Query{...};
//   std::optional<placement> Chosen = choosePlacement(Query, Candidates);
//
// Load patterns that it answers:
//
// - Long prompts beside streams that mind pauses. Reading a long prompt delays
//   every token that the engine makes meanwhile. So the first engines of an
//   order that all entries share are set apart for paced streams, as many as
//   these need at the moment, and never more than half. Either kind goes to the
//   other's engines only when the queue at its own costs more.
// - Prompts about the same subject. Reading again what an engine has cached
//   costs several times the request's own part, so a subject has a home engine
//   by rendezvous hashing and leaves it only when the queue there costs more
//   than reading it again elsewhere.
// - Many entries. Their figures of each other's work are then older than the
//   work is long, and all would choose the same upstream. So each looks at a
//   few that it draws by lot, besides those that have the prompt cached.
// - Engines with few slots. A request beyond the slots waits until others end,
//   so each place in such a queue costs what can be read meanwhile.
// - Failing upstreams. Paused ones are used only when there is nothing else;
//   failures count as additional load.
//
// All costs are in prompt tokens that the engine would have to read first.

#ifndef ROUTING_PLACEMENT_H
#define ROUTING_PLACEMENT_H

#include <optional>
#include <vector>

#include "routing/prompt_cache_view.h"
#include "routing/routing_event.h"
#include "routing/upstream_load.h"
#include "routing/upstream_registry.h"
#include "routing/upstream_trust.h"

namespace monsoonreel {

struct placement_query {
  const std::vector<const upstream_state *> &Serving;
  const zone_name &Zone;               // of the entry
  const prompt_info *Prompt = nullptr; // set for engines
  bool Paced = false;                  // the answer is a stream of many events
  // Upstreams that had the request already.
  const std::vector<upstream_name> &Tried;
  steady_time Now;
  uint64_t Random = 0;
  int Slots = 0;           // of each engine; 0: not known
  bool FiguresLag = false; // other entries' work is told only now and then
};

struct placement {
  const upstream_state *Upstream = nullptr;
  int64_t UnreadTokens = 0; // of the request itself
  double Cost = 0;
  upstream_use_sum Use; // before this request
};

// What placement is decided from.
struct placement_inputs {
  const upstream_load &Load;
  const prompt_cache_view &Cache;
  const upstream_trust &Trust;
};

std::optional<placement> choosePlacement(const placement_query &Query,
                                         const placement_inputs &Inputs);

// Whether a prompt's answer is long against its prompt, so that pauses between
// its events count for more than the time to its first one.
bool isPaced(const prompt_info &Prompt);

} // namespace monsoonreel

#endif // ROUTING_PLACEMENT_H
