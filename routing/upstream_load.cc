#include "routing/upstream_load.h"

namespace monsoonreel {

namespace {

// Fine enough against `report_expiry`.
constexpr duration expiry_check_period = std::chrono::milliseconds(100);

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
  addToPeers(Peer.Uses, -1);
  Peer = {Report.Incarnation, Report.Sequence, Now, Report.Uses};
  addToPeers(Peer.Uses, 1);
}

void upstream_load::onTick(steady_time Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + expiry_check_period;
  for (auto &[From, Peer] : ByPeer) {
    if (Peer.Uses.empty() || Now - Peer.HeardAt < report_expiry)
      continue;
    addToPeers(Peer.Uses, -1);
    Peer.Uses.clear();
  }
}

void upstream_load::addToPeers(const std::vector<wire::upstream_use> &Uses,
                               int Sign) {
  for (const wire::upstream_use &Told : Uses) {
    auto It = Peers.try_emplace(upstream_name(Told.Upstream)).first;
    upstream_use_sum &Use = It->second;
    Use.Running += Sign * Told.Running;
    Use.UnreadTokens += Sign * Told.UnreadTokens;
    Use.PacedStreams += Sign * Told.PacedStreams;
    bool None =
        Use.Running == 0 && Use.UnreadTokens == 0 && Use.PacedStreams == 0;
    if (None)
      Peers.erase(It);
  }
}

upstream_use_sum upstream_load::at(const upstream_name &Upstream) const {
  upstream_use_sum Sum;
  for (const use_map *Uses : {&Own, &Peers})
    if (auto It = Uses->find(Upstream); It != Uses->end()) {
      Sum.Running += It->second.Running;
      Sum.UnreadTokens += It->second.UnreadTokens;
      Sum.PacedStreams += It->second.PacedStreams;
    }
  return Sum;
}

std::vector<wire::upstream_use> upstream_load::ownUses() const {
  std::vector<wire::upstream_use> Uses;
  Uses.reserve(Own.size());
  for (const auto &[Upstream, Use] : Own) {
    wire::upstream_use Told;
    Told.Upstream = Upstream.Value;
    Told.Running = Use.Running;
    Told.UnreadTokens = Use.UnreadTokens;
    Told.PacedStreams = Use.PacedStreams;
    Uses.push_back(std::move(Told));
  }
  return Uses;
}

int upstream_load::ownRunning(const upstream_name &Upstream) const {
  auto It = Own.find(Upstream);
  return It == Own.end() ? 0 : It->second.Running;
}

} // namespace monsoonreel
