// Estimates which parts of prompts each upstream has cached.
//
//   prompt_cache_view Cache;
//   Cache.onDispatched(Upstream, Parts, Now);
//   int64_t Tokens = Cache.unreadTokens(Upstream, Prompt, Now);
//
// The estimate is based on the requests that this entry sent or placed. An
// engine reuses a cached part only if it has all preceding parts cached as
// well, so a part is identified by a hash of itself and all preceding parts.
// Engines evict the least recently used parts; here a part expires after
// `cache_entry_lifetime`.

#ifndef ROUTING_PROMPT_CACHE_VIEW_H
#define ROUTING_PROMPT_CACHE_VIEW_H

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "routing/routing_event.h"

namespace monsoonreel {

// Longer than the pauses between requests of an active subject, and short
// enough that an engine under typical load still has the part cached.
constexpr duration cache_entry_lifetime = std::chrono::seconds(20);
// Once this many parts are tracked, new ones are ignored until others expire.
constexpr size_t max_tracked_parts = 20000;

// Identifies the part of a prompt that other prompts share: everything but the
// last part.
uint64_t subjectOf(const prompt_info &Prompt);
// Returns the number of tokens of everything but the last part.
int64_t sharedTokens(const prompt_info &Prompt);

class prompt_cache_view {
public:
  // FirstEvent: expected time until the upstream has read the prompt.
  void onDispatched(const upstream_name &Upstream, const prompt_info &Prompt,
                    steady_time Now, duration FirstEvent = {});
  // Returns how many tokens of the prompt the upstream has to read.
  int64_t unreadTokens(const upstream_name &Upstream, const prompt_info &Prompt,
                       steady_time Now) const;
  // Returns how many tokens of the prompt an upstream would have to read that
  // copies what this one has read by now.
  int64_t tokensLeftToFetcher(const upstream_name &Upstream,
                              const prompt_info &Prompt, steady_time Now) const;
  // Removes all parts of an upstream that was restarted.
  void forget(const upstream_name &Upstream);
  void onTick(steady_time Now);
  size_t size() const { return Parts.size(); }

private:
  struct cached_part {
    upstream_name Upstream;
    uint64_t Chain = 0;
    bool operator==(const cached_part &) const = default;
    template <typename H>
    friend H AbslHashValue(H State, const cached_part &Part) {
      return H::combine(std::move(State), Part.Upstream, Part.Chain);
    }
  };

  struct part_times {
    steady_time UsedAt;
    steady_time ReadAt; // when the upstream has read it, as expected
  };

  template <typename Predicate>
  int64_t tokensWithout(const upstream_name &Upstream,
                        const prompt_info &Prompt, const Predicate &Has) const;

  absl::flat_hash_map<cached_part, part_times> Parts;
  steady_time NextSweep;
};

} // namespace monsoonreel

#endif // ROUTING_PROMPT_CACHE_VIEW_H
