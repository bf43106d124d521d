#include "routing/upstream_failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

// Weight of a new answer in the failure share.
constexpr double answer_weight = 0.15;
// Half-life of the failure share without answers, so that an avoided upstream
// is tried again.
constexpr duration failure_half_life = std::chrono::seconds(2);
// A full upstream has capacity again after about this time, when one of its
// requests ends.
constexpr duration full_pause = std::chrono::milliseconds(60);

} // namespace

void upstream_failure_tracker::onUnreachable(const upstream_name &Upstream,
                                             const zone_name &Zone,
                                             steady_time Now) {
  recordZoneFailure(Upstream, Zone, Now);
  state &State = States[Upstream];
  // Concurrent requests fail together and count once.
  if (Now < State.PausedUntil)
    return;
  State.PausedUntil = Now + State.Pause;
  State.Pause = std::min(State.Pause * 2, max_failure_pause);
}

void upstream_failure_tracker::recordZoneFailure(const upstream_name &Upstream,
                                                 const zone_name &Zone,
                                                 steady_time Now) {
  zone_state &State = Zones[Zone];
  bool Another = !State.LastUnreachable.empty() &&
                 State.LastUnreachable != Upstream &&
                 Now - State.UnreachableAt <= zone_failure_window;
  if (Another)
    State.PausedUntil = Now + zone_pause;
  State.LastUnreachable = Upstream;
  State.UnreachableAt = Now;
}

void upstream_failure_tracker::onAnswer(const upstream_name &Upstream,
                                        const zone_name &Zone, bool Failed,
                                        steady_time Now) {
  Zones.erase(Zone);
  auto It = States.find(Upstream);
  if (It == States.end()) {
    if (!Failed)
      return;
    It = States.try_emplace(Upstream).first;
  }
  double Share = failureShare(Upstream, Now);
  state &State = It->second;
  State.Failures = Share + answer_weight * ((Failed ? 1.0 : 0.0) - Share);
  State.FailedAt = Now;
  if (!Failed) {
    State.PausedUntil = steady_time::min();
    State.Pause = first_failure_pause;
  }
}

void upstream_failure_tracker::onFull(const upstream_name &Upstream,
                                      steady_time Now) {
  state &State = States[Upstream];
  State.PausedUntil = std::max(State.PausedUntil, Now + full_pause);
  State.FullAt = Now;
}

bool upstream_failure_tracker::wasFullSince(const upstream_name &Upstream,
                                            steady_time Since) const {
  auto It = States.find(Upstream);
  return It != States.end() && It->second.FullAt >= Since;
}

void upstream_failure_tracker::onBackoffRequested(const upstream_name &Upstream,
                                                  steady_time Until) {
  steady_time &Known = Backoffs.try_emplace(Upstream, Until).first->second;
  Known = std::max(Known, Until);
}

std::optional<steady_time>
upstream_failure_tracker::backoffUntil(const upstream_name &Upstream,
                                       steady_time Now) const {
  auto It = Backoffs.find(Upstream);
  if (It == Backoffs.end() || Now >= It->second)
    return std::nullopt;
  return It->second;
}

void upstream_failure_tracker::onTick(steady_time Now) {
  absl::erase_if(Backoffs,
                 [&](const auto &Backoff) { return Now >= Backoff.second; });
}

bool upstream_failure_tracker::isPaused(const upstream_name &Upstream,
                                        const zone_name &Zone,
                                        steady_time Now) const {
  if (auto ZoneState = Zones.find(Zone);
      ZoneState != Zones.end() && Now < ZoneState->second.PausedUntil)
    return true;
  auto It = States.find(Upstream);
  return It != States.end() && Now < It->second.PausedUntil;
}

double upstream_failure_tracker::failureShare(const upstream_name &Upstream,
                                              steady_time Now) const {
  auto It = States.find(Upstream);
  if (It == States.end() || It->second.FailedAt == steady_time::min())
    return 0;
  double HalfLives = std::chrono::duration<double>(Now - It->second.FailedAt) /
                     std::chrono::duration<double>(failure_half_life);
  return It->second.Failures * std::exp2(-HalfLives);
}

} // namespace monsoonreel
