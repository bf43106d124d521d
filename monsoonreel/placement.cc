#include "monsoonreel/placement.h"

#include <algorithm>

namespace monsoonreel {

namespace {

// The unit of the score is the time in which an idle engine processes one
// prompt token. Score of a fully loaded engine for a new request.
constexpr double full_load_tokens = 512;
// Fraction of a prompt that must be processed in spite of a cached prefix.
constexpr double uncached_part = 0.2;
// Score of one unit of cost.
constexpr double cost_tokens = 64;

// The Index of the least candidate; among equal ones, that of the first.
template <typename Less>
std::optional<size_t>
indexOfLeast(const std::vector<placement_candidate> &Candidates, Less IsLess) {
  auto Best = std::min_element(Candidates.begin(), Candidates.end(), IsLess);
  if (Best == Candidates.end())
    return std::nullopt;
  return Best->Index;
}

class least_work_placement : public placement_policy {
public:
  std::optional<size_t>
  choose(const placement_work &Work,
         const std::vector<placement_candidate> &Candidates) override {
    return indexOfLeast(Candidates, [&](const placement_candidate &A,
                                        const placement_candidate &B) {
      return score(Work, A) < score(Work, B);
    });
  }

private:
  static double score(const placement_work &Work,
                      const placement_candidate &C) {
    double Own = Work.PromptTokens * (C.HasPrefix ? uncached_part : 1.0);
    double Load = full_load_tokens * C.InFlight / std::max(1, C.Concurrency);
    return C.Slowness * (C.PrefillTokens + Own + Load) + cost_tokens * C.Cost;
  }
};

class least_in_flight_placement : public placement_policy {
public:
  std::optional<size_t>
  choose(const placement_work & /*Work*/,
         const std::vector<placement_candidate> &Candidates) override {
    return indexOfLeast(Candidates, [](const placement_candidate &A,
                                       const placement_candidate &B) {
      return A.InFlight < B.InFlight;
    });
  }
};

class round_robin_placement : public placement_policy {
public:
  std::optional<size_t>
  choose(const placement_work & /*Work*/,
         const std::vector<placement_candidate> &Candidates) override {
    if (Candidates.empty())
      return std::nullopt;
    auto Next = std::find_if(
        Candidates.begin(), Candidates.end(),
        [this](const placement_candidate &C) { return C.Index > Last; });
    Last = Next == Candidates.end() ? Candidates.front().Index : Next->Index;
    return Last;
  }

private:
  size_t Last = 0;
};

} // namespace

std::unique_ptr<placement_policy> makeLeastWorkPlacement() {
  return std::make_unique<least_work_placement>();
}

std::unique_ptr<placement_policy> makeLeastInFlightPlacement() {
  return std::make_unique<least_in_flight_placement>();
}

std::unique_ptr<placement_policy> makeRoundRobinPlacement() {
  return std::make_unique<round_robin_placement>();
}

} // namespace monsoonreel
