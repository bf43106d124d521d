// Limits how often requests are sent to another upstream.
//
//   resend_budget Budget(Terms);
//   Budget.setEntries(8);
//   Budget.onRequest(Service);
//   if (Budget.tryResend(Service, Now)) ...
//
// The platform limits the sum over all entries: within a window, a share of the
// requests plus an allowance for each service. Each entry uses its share of the
// allowance, and the ratio of its own requests, without coordination with the
// others.

#ifndef ROUTING_RESEND_BUDGET_H
#define ROUTING_RESEND_BUDGET_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"
#include "monsoonreel/token_bucket.h"

namespace monsoonreel {

struct resend_terms {
  double Ratio = 0.1;
  double Allowance = 0; // per window, all entries together
  duration Window = std::chrono::seconds(10);

  bool operator==(const resend_terms &) const = default;
};

// Share of the limits that is used. The rest covers requests that callers
// repeat and entries that are not known yet.
constexpr double resend_safety_factor = 0.7;

class resend_budget {
public:
  explicit resend_budget(resend_terms Terms) : Terms(Terms) {}

  // Sets how many entries share the allowance, including this one.
  void setEntries(size_t Count);
  void onRequest(const pool_name &Service, steady_time Now);
  bool tryResend(const pool_name &Service, steady_time Now);

private:
  token_bucket &bucketOf(const pool_name &Service);
  double allowance() const;
  double rate() const;

  resend_terms Terms;
  size_t Entries = 1;
  absl::flat_hash_map<pool_name, token_bucket> Buckets;
};

} // namespace monsoonreel

#endif // ROUTING_RESEND_BUDGET_H
