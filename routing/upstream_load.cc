#include "routing/upstream_load.h"

namespace monsoonreel {

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
  Peer = {Report.Incarnation, Report.Sequence, Now, Report.Uses};
  rebuildPeers();
}

void upstream_load::onTick(steady_time Now) {
  bool Changed = false;
  for (auto &[From, Peer] : ByPeer) {
    if (Peer.Uses.empty() || Now - Peer.HeardAt < report_expiry)
      continue;
    Peer.Uses.clear();
    Changed = true;
  }
  if (Changed)
    rebuildPeers();
}

void upstream_load::rebuildPeers() {
  Peers.clear();
  for (const auto &[From, Peer] : ByPeer)
    for (const wire::upstream_use &Told : Peer.Uses) {
      upstream_use_sum &Use = Peers[upstream_name(Told.Upstream)];
      Use.Running += Told.Running;
      Use.UnreadTokens += Told.UnreadTokens;
      Use.PacedStreams += Told.PacedStreams;
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
