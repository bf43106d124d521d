#include "routing/upstream_load.h"

#include <algorithm>
#include <utility>

namespace monsoonreel {

namespace {

// Short compared to `report_expiry`.
constexpr duration expiry_check_period = std::chrono::milliseconds(100);
// A report that was sent at least this long ago is included in the sums that
// arrive from a relay.
constexpr duration relay_delay = std::chrono::milliseconds(10);

wire::upstream_use toWire(const upstream_name &Upstream,
                          const upstream_use_sum &Use) {
  wire::upstream_use Wire;
  Wire.Upstream = Upstream.Value;
  Wire.Running = Use.Running;
  Wire.UnreadTokens = Use.UnreadTokens;
  Wire.PacedStreams = Use.PacedStreams;
  return Wire;
}

void add(const std::vector<wire::upstream_use> &Uses, int Sign,
         absl::flat_hash_map<upstream_name, upstream_use_sum> &Sums) {
  for (const wire::upstream_use &Each : Uses) {
    upstream_use_sum &Use = Sums[upstream_name(Each.Upstream)];
    Use.Running += Sign * Each.Running;
    Use.UnreadTokens += Sign * Each.UnreadTokens;
    Use.PacedStreams += Sign * Each.PacedStreams;
  }
}

} // namespace

void upstream_load::begin(attempt_number Attempt, const upstream_name &Upstream,
                          const work_size &Size) {
  Open[Attempt] = {Upstream, Size};
  upstream_use_sum &Use = Own[Upstream];
  ++Use.Running;
  Use.UnreadTokens += Size.UnreadTokens;
  Use.PacedStreams += Size.Paced ? 1 : 0;
}

void upstream_load::onFirstAnswer(attempt_number Attempt) {
  auto It = Open.find(Attempt);
  if (It == Open.end())
    return;
  Own[It->second.Upstream].UnreadTokens -= It->second.Size.UnreadTokens;
  It->second.Size.UnreadTokens = 0;
}

void upstream_load::end(attempt_number Attempt) {
  auto It = Open.find(Attempt);
  if (It == Open.end())
    return;
  onFirstAnswer(Attempt);
  auto Use = Own.find(It->second.Upstream);
  Use->second.PacedStreams -= It->second.Size.Paced ? 1 : 0;
  if (--Use->second.Running == 0)
    Own.erase(Use);
  Open.erase(It);
}

void upstream_load::onReport(const address &From,
                             const wire::entry_report &Report,
                             steady_time Now) {
  peer_uses &Peer = ByPeer[From];
  bool Older = Report.Incarnation < Peer.Incarnation ||
               (Report.Incarnation == Peer.Incarnation &&
                Report.Sequence <= Peer.Sequence);
  if (Older)
    return;
  replace(From, {false, Report.Incarnation, Report.Sequence, Now, Report.Uses});
  removeGranted([&](const granted_place &Place) {
    return Place.At <= Now - relay_delay && Place.To == From;
  });
}

void upstream_load::onGranted(const address &To, const zone_name &OtherZone,
                              const upstream_name &Upstream,
                              const work_size &Size, steady_time Now) {
  GrantedPlaces.push_back({To, OtherZone, Upstream, Size, Now});
  upstream_use_sum &Use = Granted[Upstream];
  ++Use.Running;
  Use.UnreadTokens += Size.UnreadTokens;
  Use.PacedStreams += Size.Paced ? 1 : 0;
}

void upstream_load::subtractGranted(const granted_place &Place) {
  auto It = Granted.find(Place.Upstream);
  if (It == Granted.end())
    return;
  It->second.UnreadTokens -= Place.Size.UnreadTokens;
  It->second.PacedStreams -= Place.Size.Paced ? 1 : 0;
  if (--It->second.Running == 0)
    Granted.erase(It);
}

// The list is short: it covers the grants of a few report intervals.
template <typename Predicate>
void upstream_load::removeGranted(const Predicate &Pred) {
  std::erase_if(GrantedPlaces, [&](const granted_place &Place) {
    bool IsRemoved = Pred(Place);
    if (IsRemoved)
      subtractGranted(Place);
    return IsRemoved;
  });
}

void upstream_load::onZone(const wire::zone_uses &Uses, bool IsOwn,
                           duration Age, steady_time Now) {
  if (Age >= report_expiry)
    return;
  // Names of zones differ from addresses, so both can share one table.
  address Source(Uses.Zone);
  peer_uses &Known = ByPeer[Source];
  // The relays of a zone take over from each other, and an older report may
  // arrive later.
  if (Now - Age < Known.ReceivedAt)
    return;
  peer_uses New{true, 0, 0, Now - Age, Uses.Uses};
  if (IsOwn) {
    use_map Others;
    add(Uses.Uses, 1, Others);
    add(usesInRelayedSum(Now), -1, Others);
    // The sums may already lack requests that have ended in the meantime.
    for (auto &[Upstream, Use] : Others)
      Use = {std::max(0, Use.Running), std::max<int64_t>(0, Use.UnreadTokens),
             std::max(0, Use.PacedStreams)};
    New.Uses = listOf(Others);
  }
  replace(Source, std::move(New));
  removeGranted([&](const granted_place &Place) {
    return Place.OtherZone.Value == Uses.Zone &&
           Place.At <= Now - Age - entry_report_delay;
  });
}

void upstream_load::replace(const address &Source, peer_uses New) {
  peer_uses &Peer = ByPeer[Source];
  addToPeers(Peer.Uses, -1);
  Peer = std::move(New);
  addToPeers(Peer.Uses, 1);
}

const std::vector<wire::upstream_use> &
upstream_load::usesInRelayedSum(steady_time Now) const {
  return Now - ReportedUsesAt >= relay_delay ? LastReported
                                             : PreviouslyReported;
}

void upstream_load::onTick(steady_time Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + expiry_check_period;
  removeGranted([&](const granted_place &Place) {
    duration Expiry =
        Place.OtherZone.empty() ? grant_expiry : other_zone_grant_expiry;
    return Now - Place.At >= Expiry;
  });
  for (auto &[From, Peer] : ByPeer) {
    if (Peer.Uses.empty() || Now - Peer.ReceivedAt < report_expiry)
      continue;
    addToPeers(Peer.Uses, -1);
    Peer.Uses.clear();
  }
}

void upstream_load::addToPeers(const std::vector<wire::upstream_use> &Uses,
                               int Sign) {
  for (const wire::upstream_use &Each : Uses) {
    auto It = Peers.try_emplace(upstream_name(Each.Upstream)).first;
    upstream_use_sum &Use = It->second;
    Use.Running += Sign * Each.Running;
    Use.UnreadTokens += Sign * Each.UnreadTokens;
    Use.PacedStreams += Sign * Each.PacedStreams;
    bool None =
        Use.Running == 0 && Use.UnreadTokens == 0 && Use.PacedStreams == 0;
    if (None)
      Peers.erase(It);
  }
}

upstream_use_sum upstream_load::at(const upstream_name &Upstream) const {
  upstream_use_sum Sum;
  for (const use_map *Uses : {&Own, &Peers, &Granted})
    if (auto It = Uses->find(Upstream); It != Uses->end()) {
      Sum.Running += It->second.Running;
      Sum.UnreadTokens += It->second.UnreadTokens;
      Sum.PacedStreams += It->second.PacedStreams;
    }
  return Sum;
}

std::vector<wire::upstream_use> upstream_load::listOf(const use_map &Uses) {
  std::vector<wire::upstream_use> List;
  List.reserve(Uses.size());
  for (const auto &[Upstream, Use] : Uses)
    List.push_back(toWire(Upstream, Use));
  return List;
}

std::vector<wire::upstream_use> upstream_load::reportOwnUses(steady_time Now) {
  PreviouslyReported = std::exchange(LastReported, listOf(Own));
  ReportedUsesAt = Now;
  return LastReported;
}

std::vector<wire::upstream_use> upstream_load::sumOfEntries() const {
  use_map Sums = Own;
  for (const auto &[Source, Peer] : ByPeer)
    if (!Peer.IsZone)
      add(Peer.Uses, 1, Sums);
  return listOf(Sums);
}

std::optional<duration> upstream_load::reportAge(const upstream_name &Upstream,
                                                 steady_time Now) const {
  std::optional<duration> Oldest;
  for (const auto &[Source, Peer] : ByPeer) {
    bool Covers = std::any_of(Peer.Uses.begin(), Peer.Uses.end(),
                              [&](const wire::upstream_use &Use) {
                                return Use.Upstream == Upstream.Value;
                              });
    if (Covers)
      Oldest = std::max(Oldest.value_or(duration{}), Now - Peer.ReceivedAt);
  }
  return Oldest;
}

int upstream_load::ownRunning(const upstream_name &Upstream) const {
  auto It = Own.find(Upstream);
  return It == Own.end() ? 0 : It->second.Running;
}

} // namespace monsoonreel
