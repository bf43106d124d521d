#include "routing/send_budget.h"

#include <algorithm>

namespace monsoonreel {

// A full bucket can be emptied at once and refills within the window, so a
// window sees at most twice its depth. The depth is therefore half of the
// allowance.
double send_budget::allowance() const {
  return resend_safety_factor * Terms.Allowance / 2 /
         static_cast<double>(Entries);
}

double send_budget::rate() const {
  return allowance() / std::chrono::duration<double>(Terms.Window).count();
}

void send_budget::setEntries(size_t Count) {
  Count = std::max<size_t>(Count, 1);
  if (Count == Entries)
    return;
  Entries = Count;
  for (auto &[Service, Bucket] : Buckets)
    Bucket.setRate(rate(), std::max(1.0, allowance()));
}

token_bucket &send_budget::bucketOf(const pool_name &Service) {
  auto [It, New] =
      Buckets.try_emplace(Service, rate(), std::max(1.0, allowance()));
  return It->second;
}

void send_budget::onRequest(const pool_name &Service, steady_time Now) {
  token_bucket &Bucket = bucketOf(Service);
  Bucket.refill(Now);
  Bucket.add(resend_safety_factor * Terms.Ratio);
}

bool send_budget::tryResend(const pool_name &Service, steady_time Now) {
  return bucketOf(Service).tryTake(Now);
}

} // namespace monsoonreel
