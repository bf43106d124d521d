#include "routing/prompt_fetch.h"

#include <algorithm>

namespace monsoonreel {

namespace {

// No prefill takes as long.
constexpr duration longest_transfer = std::chrono::hours(1);

} // namespace

std::optional<duration> fetchTime(const engine_terms &Terms, int64_t Tokens) {
  if (!Terms.canFetch() || Tokens < min_fetch_tokens)
    return std::nullopt;
  using milliseconds = std::chrono::duration<double, std::milli>;
  // A very slow link in the configuration would overflow the time.
  milliseconds Transfer = std::min<milliseconds>(
      milliseconds(static_cast<double>(Tokens) * Terms.TokenBytes /
                   Terms.LinkBytesPerMs),
      longest_transfer);
  return fetch_setup_time + std::chrono::duration_cast<duration>(Transfer);
}

void prompt_fetches::onSent(const upstream_name &Source, steady_time Now) {
  last_fetches &Last = Sources[Source];
  Last.SentAt[Last.Count++ % Last.SentAt.size()] = Now;
}

bool prompt_fetches::mayUse(const upstream_name &Source,
                            steady_time Now) const {
  auto It = Sources.find(Source);
  if (It == Sources.end() || It->second.Count < max_fetches_per_source)
    return true;
  const last_fetches &Last = It->second;
  steady_time Oldest = Last.SentAt[Last.Count % Last.SentAt.size()];
  return Now - Oldest >= fetch_window;
}

void prompt_fetches::onTick(steady_time Now) {
  absl::erase_if(Sources, [&](const auto &Each) {
    const last_fetches &Last = Each.second;
    steady_time Newest = Last.SentAt[(Last.Count - 1) % Last.SentAt.size()];
    return Now - Newest >= fetch_window;
  });
}

} // namespace monsoonreel
