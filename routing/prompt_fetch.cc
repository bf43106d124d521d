#include "routing/prompt_fetch.h"

namespace monsoonreel {

std::optional<duration> fetchTime(const engine_terms &Terms, int64_t Tokens) {
  if (Terms.TokenBytes <= 0 || Terms.LinkBytesPerMs <= 0 ||
      Tokens < min_fetch_tokens)
    return std::nullopt;
  std::chrono::duration<double, std::milli> Transfer(
      static_cast<double>(Tokens) * Terms.TokenBytes / Terms.LinkBytesPerMs);
  return fetch_setup_time + std::chrono::duration_cast<duration>(Transfer);
}

void prompt_fetches::onSent(const upstream_name &Source, steady_time Now) {
  window &Window = Windows[Source];
  if (Window.Fetches == 0 || Now - Window.BegunAt >= fetch_window)
    Window = {Now, 0};
  ++Window.Fetches;
}

bool prompt_fetches::mayUse(const upstream_name &Source,
                            steady_time Now) const {
  auto It = Windows.find(Source);
  return It == Windows.end() || Now - It->second.BegunAt >= fetch_window ||
         It->second.Fetches < max_fetches_per_source;
}

void prompt_fetches::onTick(steady_time Now) {
  absl::erase_if(Windows, [&](const auto &Each) {
    return Now - Each.second.BegunAt >= fetch_window;
  });
}

} // namespace monsoonreel
