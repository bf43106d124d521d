#include "routing/resend_budget.h"

#include <algorithm>

namespace monsoonreel {

// A full bucket can be emptied at once and refills within the window, so a
// window sees at most twice its depth. The depth is therefore half of the
// allowance.
double resend_budget::allowance() const {
  return resend_safety_factor * Terms.Allowance / 2 /
         static_cast<double>(Entries);
}

double resend_budget::rate() const {
  return allowance() / std::chrono::duration<double>(Terms.Window).count();
}

void resend_budget::setEntries(size_t Count) {
  Count = std::max<size_t>(Count, 1);
  if (Count == Entries)
    return;
  Entries = Count;
  for (auto &[Service, Bucket] : Buckets)
    Bucket.setRate(rate(), std::max(1.0, allowance()));
}

token_bucket &resend_budget::bucketOf(const pool_name &Service) {
  auto [It, New] =
      Buckets.try_emplace(Service, rate(), std::max(1.0, allowance()));
  return It->second;
}

void resend_budget::onRequest(const pool_name &Service, steady_time Now) {
  token_bucket &Bucket = bucketOf(Service);
  Bucket.refill(Now);
  Bucket.add(resend_safety_factor * Terms.Ratio);
}

bool resend_budget::tryResend(const pool_name &Service, steady_time Now) {
  return bucketOf(Service).tryTake(Now);
}

} // namespace monsoonreel
