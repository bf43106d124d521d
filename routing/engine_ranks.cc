#include "routing/engine_ranks.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoonreel {

namespace {

// Returns all combinations of the parts up to the least urgent ones, or nothing
// if there are more combinations than Ranks.
std::vector<urgency> wholeGrid(const std::set<urgency> &Urgencies, int Ranks) {
  urgency Last;
  for (const urgency &Each : Urgencies) {
    Last.Organisation = std::max(Last.Organisation, Each.Organisation);
    Last.Route = std::max(Last.Route, Each.Route);
  }
  std::vector<urgency> Grid;
  if (Last.Organisation >= Ranks || Last.Route >= Ranks ||
      (Last.Organisation + 1) * (Last.Route + 1) > Ranks)
    return Grid;
  for (int Organisation = 0; Organisation <= Last.Organisation; ++Organisation)
    for (int Route = 0; Route <= Last.Route; ++Route)
      Grid.push_back({Organisation, Route});
  return Grid;
}

// Merges the last two ranks that have the same organisation priority, or the
// last two ranks if there are none.
void mergeLeastUrgent(std::vector<urgency> &Firsts) {
  for (size_t I = Firsts.size() - 1; I > 0; --I)
    if (Firsts[I].Organisation == Firsts[I - 1].Organisation) {
      Firsts.erase(Firsts.begin() + static_cast<std::ptrdiff_t>(I));
      return;
    }
  Firsts.pop_back();
}

} // namespace

urgency urgencyOf(const host_route &Route,
                  const organisation_terms *Organisation) {
  if (!Organisation)
    return {Route.Rank, Route.Rank};
  return {Organisation->Rank.value_or(Route.Rank), Route.Rank};
}

std::string toText(const urgency &Urgency) {
  return absl::StrCat(Urgency.Organisation, "/", Urgency.Route);
}

engine_ranks::engine_ranks(const std::set<urgency> &Urgencies, int Ranks)
    // With all combinations, a rank does not depend on which organisations
    // exist, so requests that were admitted under different configurations can
    // be compared.
    : Firsts(wholeGrid(Urgencies, Ranks)) {
  if (!Firsts.empty())
    return;
  Firsts.assign(Urgencies.begin(), Urgencies.end());
  while (Firsts.size() > static_cast<size_t>(std::max(Ranks, 1)))
    mergeLeastUrgent(Firsts);
}

int engine_ranks::rankOf(const urgency &Urgency) const {
  auto Next = std::upper_bound(Firsts.begin(), Firsts.end(), Urgency);
  return std::max(0, static_cast<int>(Next - Firsts.begin()) - 1);
}

std::string engine_ranks::toText() const {
  return absl::StrJoin(Firsts, ",", [](std::string *Text, const urgency &Each) {
    Text->append(monsoonreel::toText(Each));
  });
}

} // namespace monsoonreel
