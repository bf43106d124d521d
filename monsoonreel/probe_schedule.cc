#include "monsoonreel/probe_schedule.h"

#include <algorithm>
#include <random>

namespace monsoonreel {

std::optional<node_name>
probe_schedule::next(const std::vector<node_name> &Candidates,
                     uint64_t Random) {
  if (Candidates.empty())
    return std::nullopt;
  auto IsCandidate = [&](const node_name &Name) {
    return std::find(Candidates.begin(), Candidates.end(), Name) !=
           Candidates.end();
  };
  while (!Round.empty() && !IsCandidate(Round.back()))
    Round.pop_back();
  if (Round.empty()) {
    Round = Candidates;
    std::shuffle(Round.begin(), Round.end(), std::mt19937_64(Random));
  }
  node_name Next = Round.back();
  Round.pop_back();
  return Next;
}

} // namespace monsoonreel
