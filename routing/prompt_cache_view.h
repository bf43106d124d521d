// Which parts of prompts each upstream probably has cached.
//
//   prompt_cache_view Cache;
//   Cache.onDispatched(Upstream, Parts, Now);
//   int64_t Tokens = Cache.unreadTokens(Upstream, Prompt, Now);
//
// A belief, built from what this entry itself sent. An engine that has a part
// cached need not read it again if it has all parts before it as well, so a
// part is known by the hash of itself and all before it. Engines drop the parts
// that were used least recently; here a part is forgotten after `cache_belief`.

#ifndef ROUTING_PROMPT_CACHE_VIEW_H
#define ROUTING_PROMPT_CACHE_VIEW_H

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "routing/routing_event.h"

namespace monsoonreel {

// Longer than the pauses between the requests of a subject that is in use, and
// short enough that an engine under usual load still has the part.
constexpr duration cache_belief = std::chrono::seconds(20);
// Parts beyond this number make the oldest ones be forgotten.
constexpr size_t max_believed_parts = 20000;

// Identifies what a prompt shares with others: everything but its last part.
uint64_t subjectOf(const prompt_info &Prompt);
// Tokens of everything but the last part.
int64_t sharedTokens(const prompt_info &Prompt);

class prompt_cache_view {
public:
  void onDispatched(const upstream_name &Upstream, const prompt_info &Prompt,
                    steady_time Now);
  // Tokens of the prompt that the upstream has to read.
  int64_t unreadTokens(const upstream_name &Upstream, const prompt_info &Prompt,
                       steady_time Now) const;
  // An upstream that started anew has nothing cached.
  void forget(const upstream_name &Upstream);
  void onTick(steady_time Now);
  size_t size() const { return UsedAt.size(); }

private:
  struct place {
    upstream_name Upstream;
    uint64_t Chain = 0;
    bool operator==(const place &) const = default;
    template <typename H> friend H AbslHashValue(H State, const place &P) {
      return H::combine(std::move(State), P.Upstream, P.Chain);
    }
  };

  absl::flat_hash_map<place, steady_time> UsedAt;
  steady_time NextSweep;
};

} // namespace monsoonreel

#endif // ROUTING_PROMPT_CACHE_VIEW_H
