// Cached beginnings of prompts that an engine fetches from another engine.
//
//   if (auto Time = fetchTime(Terms, Tokens); Time && Fetches.mayUse(Source,
//   Now))
//     ...
//   Fetches.onSent(Source, Now);
//
// Load pattern: the engine that has the beginning of a prompt cached has no
// room, is leaving, or is slow. Copying it to another engine takes a fraction
// of the time for reading it again, and does not delay the streams there.
//
// Transfers from one engine are made one after another. The number of fetches
// per source is therefore bounded, so that the subject of a sudden burst does
// not wait for its source's link.

#ifndef ROUTING_PROMPT_FETCH_H
#define ROUTING_PROMPT_FETCH_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"

#include "routing/site_config.h"

namespace monsoonreel {

// Shorter beginnings are read as quickly as they are fetched.
constexpr int64_t min_fetch_tokens = 512;
// Time to prepare a transfer. Engines take 4 to 8 ms.
constexpr duration fetch_setup_time = std::chrono::milliseconds(10);
// At most this many fetches use one source in any such time.
constexpr size_t max_fetches_per_source = 8;
constexpr duration fetch_window = std::chrono::milliseconds(100);

// Returns how long it takes to fetch this many tokens; nothing if the engines
// cannot fetch, or if there are too few tokens.
std::optional<duration> fetchTime(const engine_terms &Terms, int64_t Tokens);

// The fetches that this entry has ordered.
class prompt_fetches {
public:
  void onSent(const upstream_name &Source, steady_time Now);
  bool mayUse(const upstream_name &Source, steady_time Now) const;
  void onTick(steady_time Now);

private:
  struct last_fetches {
    std::array<steady_time, max_fetches_per_source> SentAt; // a ring
    size_t Count = 0;                                       // of all fetches
  };
  absl::flat_hash_map<upstream_name, last_fetches> Sources;
};

} // namespace monsoonreel

#endif // ROUTING_PROMPT_FETCH_H
