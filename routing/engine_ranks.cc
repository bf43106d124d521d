#include "routing/engine_ranks.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoonreel {

namespace {

// All urgencies up to the least urgent parts; empty if there are more of them
// than Ranks.
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

// Joins the last two ranks of one organisation priority; when there are none,
// the last two.
void joinLast(std::vector<urgency> &Firsts) {
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
    // In the whole grid a rank doesn't depend on which organisations there are,
    // so requests that were admitted by different configurations compare well.
    : Firsts(wholeGrid(Urgencies, Ranks)) {
  if (!Firsts.empty())
    return;
  Firsts.assign(Urgencies.begin(), Urgencies.end());
  while (Firsts.size() > static_cast<size_t>(std::max(Ranks, 1)))
    joinLast(Firsts);
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
