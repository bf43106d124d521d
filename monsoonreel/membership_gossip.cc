// What a node tells others of the members that it knows.

#include "monsoonreel/membership.h"

#include <algorithm>
#include <bit>
#include <random>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "monsoonreel/member_change.h"

namespace monsoonreel {

namespace {

// A version that only a whole member can tell, because nobody may know the
// member or its present process.
bool isFirstVersion(const wire::member &Member) {
  return Member.State == wire::member_state::Alive && Member.Refutation == 0;
}

} // namespace

// How often a change is told to others before it counts as known everywhere.
size_t membership::spreadLimit() const {
  return std::bit_width(Members.size() + 1) + size_t{2};
}

membership::gossip membership::pickGossip(const node_name &To,
                                          further_gossip Further,
                                          steady_time Now) {
  gossip Picked;
  std::vector<known_member *> Untold;
  size_t Limit = spreadLimit();
  for (auto &[Name, Known] : Members)
    if (static_cast<size_t>(Known.Spread) < Limit && Name != To.Value)
      Untold.push_back(&Known);
  // Of those told as often, each node begins with others.
  std::shuffle(Untold.begin(), Untold.end(), std::mt19937_64(draw()));
  std::stable_sort(Untold.begin(), Untold.end(),
                   [](const known_member *Left, const known_member *Right) {
                     return Left->Spread < Right->Spread;
                   });
  for (known_member *Known : Untold)
    Known->Spread += tell(Known->Member, Picked) ? 1 : 0;
  if (Further == further_gossip::Difference)
    addRecentChanges(To, Now, Picked);
  // While there is much to tell, one of all members is enough.
  size_t Wanted =
      Further == further_gossip::Difference && Picked.Changes.empty()
          ? max_gossip_members
          : size_t{Further != further_gossip::None};
  addAnyMembers(std::min(Wanted, max_gossip_members - Picked.Members.size()),
                To, Picked.Members);
  // Whoever is suspected or held dead has to hear it, to refute it.
  known_member *Receiver = findKnown(To.Value);
  if (Receiver && Receiver->Member.State != wire::member_state::Alive)
    Picked.Members.push_back(Receiver->Member);
  return Picked;
}

bool membership::tell(const wire::member &Member, gossip &Picked) {
  if (isFirstVersion(Member)) {
    if (Picked.Members.size() >= max_gossip_members)
      return false;
    Picked.Members.push_back(Member);
    return true;
  }
  if (Picked.Changes.size() >= max_gossip_changes)
    return false;
  Picked.Changes.push_back(encodeChange(Member));
  return true;
}

// What the receiver lacks is most likely among the latest changes.
void membership::addRecentChanges(const node_name &To, steady_time Now,
                                  gossip &Picked) {
  std::vector<const known_member *> Recent;
  size_t Limit = spreadLimit();
  for (const auto &[Name, Known] : Members)
    if (static_cast<size_t>(Known.Spread) >= Limit && Name != To.Value &&
        Now - Known.NewsAt < recent_change_time)
      Recent.push_back(&Known);
  std::shuffle(Recent.begin(), Recent.end(), std::mt19937_64(draw()));
  for (const known_member *Known : Recent)
    tell(Known->Member, Picked);
}

// Tells some members from a random place on, so that whoever missed a change
// hears of it from one of those that it asks. A place that moved on with each
// message would be the same at all of them after a quiet time.
void membership::addAnyMembers(size_t Count, const node_name &To,
                               std::vector<wire::member> &Picked) {
  if (Count == 0 || Members.empty())
    return;
  auto Place = static_cast<ptrdiff_t>(draw() % Members.size());
  auto Next = std::next(Members.begin(), Place);
  for (size_t Told = 0; Told < std::min(Count, Members.size()); ++Told) {
    if (Next->first != To.Value)
      Picked.push_back(Next->second.Member);
    if (++Next == Members.end())
      Next = Members.begin();
  }
}

std::vector<wire::member> membership::allMembers() const {
  std::vector<wire::member> All;
  for (const auto &[Name, Known] : Members)
    All.push_back(Known.Member);
  return All;
}

void membership::learnChanges(const std::vector<int64_t> &Changes,
                              steady_time Now, effect_list &Effects) {
  if (Changes.empty())
    return;
  absl::flat_hash_map<uint32_t, const wire::member *> Lives;
  Lives.reserve(Members.size() + 1);
  Lives[lifeOf(Self)] = &Self;
  for (const auto &[Name, Known] : Members)
    Lives[lifeOf(Known.Member)] = &Known.Member;
  for (int64_t Change : Changes) {
    auto Found = Lives.find(changedLife(Change));
    // The digest finds out what this node has missed.
    if (Found != Lives.end())
      learn(applyChange(*Found->second, Change), 0, Now, Effects);
  }
}

} // namespace monsoonreel
