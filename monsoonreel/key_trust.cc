#include "monsoonreel/key_trust.h"

#include <algorithm>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

void log_freshness::onLogRead(log_offset Offset, steady_time RequestedAt) {
  onApplied(Offset);
  FreshAt = std::max(FreshAt.value_or(RequestedAt), RequestedAt);
}

void log_freshness::onPeer(log_offset Offset, duration Age,
                           steady_time AskedAt) {
  // A negative age is invalid: the peer is malicious or faulty.
  steady_time At = AskedAt - std::max(Age, duration::zero());
  if (FreshAt && At <= *FreshAt)
    return;
  bool Applies =
      Offset <= Applied || !isEnabled(mechanism::FreshnessNeedsOffset);
  if (Applies) {
    FreshAt = At;
    return;
  }
  // This node will apply the offsets of the oldest entries first, so a new
  // entry is dropped when the queue is full.
  if (Waiting.size() < max_waiting_freshness)
    Waiting.push_back({Offset, At});
}

void log_freshness::onApplied(log_offset Offset) {
  Applied = std::max(Applied, Offset);
  auto Reached = [&](const waiting_freshness &Entry) {
    return Entry.Offset <= Applied;
  };
  for (const waiting_freshness &Entry : Waiting)
    if (Reached(Entry))
      FreshAt = std::max(FreshAt.value_or(Entry.At), Entry.At);
  std::erase_if(Waiting, Reached);
}

std::optional<duration> log_freshness::age(steady_time Now) const {
  if (!FreshAt)
    return std::nullopt;
  return std::max(Now - *FreshAt, duration::zero());
}

duration keyTrustOf(const policy_limits &Limits, bool Idempotent) {
  return Idempotent ? Limits.StaleKeyTrust : Limits.StaleKeyTrustNonIdempotent;
}

bool mayTrustKeys(duration KeyTrust, const log_freshness &Freshness,
                  steady_time Now) {
  if (!isEnabled(mechanism::KeyTrustExpires))
    return true;
  std::optional<duration> Age = Freshness.age(Now);
  return Age && *Age <= KeyTrust;
}

} // namespace monsoonreel
