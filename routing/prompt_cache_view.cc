#include "routing/prompt_cache_view.h"

#include <algorithm>

#include <xxhash.h>

namespace monsoonreel {

namespace {

constexpr duration sweep_period = std::chrono::seconds(1);

uint64_t extendChain(uint64_t Chain, uint64_t Id) {
  return XXH3_64bits_withSeed(&Id, sizeof(Id), Chain);
}

} // namespace

uint64_t subjectOf(const prompt_info &Prompt) {
  uint64_t Chain = 0;
  for (size_t I = 0; I + 1 < Prompt.Parts.size(); ++I)
    Chain = extendChain(Chain, Prompt.Parts[I].Id);
  return Chain;
}

int64_t sharedTokens(const prompt_info &Prompt) {
  int64_t Tokens = 0;
  for (size_t I = 0; I + 1 < Prompt.Parts.size(); ++I)
    Tokens += Prompt.Parts[I].Tokens;
  return Tokens;
}

void prompt_cache_view::onDispatched(const upstream_name &Upstream,
                                     const prompt_info &Prompt, steady_time Now,
                                     duration FirstEvent) {
  uint64_t Chain = 0;
  for (size_t I = 0; I + 1 < Prompt.Parts.size(); ++I) {
    Chain = extendChain(Chain, Prompt.Parts[I].Id);
    auto It = Parts.find({Upstream, Chain});
    if (It != Parts.end() && Now - It->second.UsedAt < cache_entry_lifetime)
      It->second.UsedAt = Now;
    else if (It != Parts.end() || Parts.size() < max_tracked_parts)
      Parts[{Upstream, Chain}] = {Now, Now + FirstEvent};
  }
}

template <typename Predicate>
int64_t prompt_cache_view::tokensWithout(const upstream_name &Upstream,
                                         const prompt_info &Prompt,
                                         const Predicate &Has) const {
  int64_t Tokens = Prompt.PromptTokens;
  uint64_t Chain = 0;
  for (size_t I = 0; I + 1 < Prompt.Parts.size(); ++I) {
    Chain = extendChain(Chain, Prompt.Parts[I].Id);
    auto It = Parts.find({Upstream, Chain});
    if (It == Parts.end() || !Has(It->second))
      break;
    Tokens -= Prompt.Parts[I].Tokens;
  }
  return std::max<int64_t>(Tokens, 0);
}

int64_t prompt_cache_view::unreadTokens(const upstream_name &Upstream,
                                        const prompt_info &Prompt,
                                        steady_time Now) const {
  return tokensWithout(Upstream, Prompt, [&](const part_times &Times) {
    return Now - Times.UsedAt < cache_entry_lifetime;
  });
}

int64_t prompt_cache_view::tokensLeftToFetcher(const upstream_name &Upstream,
                                               const prompt_info &Prompt,
                                               steady_time Now) const {
  return tokensWithout(Upstream, Prompt, [&](const part_times &Times) {
    return Now - Times.UsedAt < cache_entry_lifetime && Times.ReadAt <= Now;
  });
}

void prompt_cache_view::forget(const upstream_name &Upstream) {
  absl::erase_if(Parts, [&](const auto &Entry) {
    return Entry.first.Upstream == Upstream;
  });
}

void prompt_cache_view::onTick(steady_time Now) {
  if (Now < NextSweep)
    return;
  NextSweep = Now + sweep_period;
  absl::erase_if(Parts, [&](const auto &Entry) {
    return Now - Entry.second.UsedAt >= cache_entry_lifetime;
  });
}

} // namespace monsoonreel
