// Selects the members and changes that a node gossips.

#include "monsoonreel/membership.h"

#include <algorithm>
#include <bit>
#include <random>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "monsoonreel/member_change.h"

namespace monsoonreel {

namespace {

// Whether the version must be sent as a complete member, because the receiver
// may not know the member or its current process.
bool isFirstVersion(const wire::member &Member) {
  return Member.State == wire::member_state::Alive && Member.Refutation == 0;
}

} // namespace

// How often a change is sent before it counts as known by all members.
size_t membership::disseminationLimit() const {
  return std::bit_width(Members.size() + 1) + size_t{2};
}

membership::gossip membership::pickGossip(const node_name &To,
                                          extra_gossip Further,
                                          steady_time Now) {
  gossip Picked;
  std::vector<known_member *> Pending;
  size_t Limit = disseminationLimit();
  for (auto &[Name, Known] : Members)
    if (static_cast<size_t>(Known.SendCount) < Limit && Name != To.Value)
      Pending.push_back(&Known);
  // Shuffled, so that nodes choose differently among changes that were sent
  // equally often.
  std::shuffle(Pending.begin(), Pending.end(), std::mt19937_64(draw()));
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const known_member *Left, const known_member *Right) {
                     return Left->SendCount < Right->SendCount;
                   });
  for (known_member *Known : Pending)
    Known->SendCount += addToGossip(Known->Member, Picked) ? 1 : 0;
  if (Further == extra_gossip::Difference)
    addRecentChanges(To, Now, Picked);
  // When there are recent changes to send, one random member is enough.
  size_t Wanted = Further == extra_gossip::Difference && Picked.Changes.empty()
                      ? max_gossip_members
                      : size_t{Further != extra_gossip::None};
  addRandomMembers(std::min(Wanted, max_gossip_members - Picked.Members.size()),
                   To, Picked.Members);
  // A receiver that is suspected or considered dead must learn this in order to
  // refute it.
  known_member *Receiver = findKnown(To.Value);
  if (Receiver && Receiver->Member.State != wire::member_state::Alive)
    Picked.Members.push_back(Receiver->Member);
  return Picked;
}

bool membership::addToGossip(const wire::member &Member, gossip &Picked) {
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

// The changes that the receiver lacks are most likely among the latest ones.
void membership::addRecentChanges(const node_name &To, steady_time Now,
                                  gossip &Picked) {
  std::vector<const known_member *> Recent;
  size_t Limit = disseminationLimit();
  for (const auto &[Name, Known] : Members)
    if (static_cast<size_t>(Known.SendCount) >= Limit && Name != To.Value &&
        Now - Known.UpdatedAt < recent_change_time)
      Recent.push_back(&Known);
  std::shuffle(Recent.begin(), Recent.end(), std::mt19937_64(draw()));
  for (const known_member *Known : Recent)
    addToGossip(Known->Member, Picked);
}

// Adds up to Count consecutive members from a random position, so that a
// receiver that missed a change gets it from one of the members that it probes.
// A position that advanced with each message would be the same at all nodes
// after a quiet period.
void membership::addRandomMembers(size_t Count, const node_name &To,
                                  std::vector<wire::member> &Picked) {
  if (Count == 0 || Members.empty())
    return;
  auto Start = static_cast<ptrdiff_t>(draw() % Members.size());
  auto Next = std::next(Members.begin(), Start);
  for (size_t Added = 0; Added < std::min(Count, Members.size()); ++Added) {
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

void membership::mergeChanges(const std::vector<int64_t> &Changes,
                              steady_time Now, effect_list &Effects) {
  if (Changes.empty())
    return;
  absl::flat_hash_map<uint32_t, const wire::member *> MembersByRun;
  MembersByRun.reserve(Members.size() + 1);
  MembersByRun[runHashOf(Self)] = &Self;
  for (const auto &[Name, Known] : Members)
    MembersByRun[runHashOf(Known.Member)] = &Known.Member;
  for (int64_t Change : Changes) {
    auto Found = MembersByRun.find(changedRunHash(Change));
    // Changes of unknown members are dropped. Comparing digests later detects
    // that this node lacks these members.
    if (Found != MembersByRun.end())
      mergeMember(applyChange(*Found->second, Change), 0, Now, Effects);
  }
}

} // namespace monsoonreel
