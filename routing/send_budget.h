// Bounds how often requests are sent to a further upstream.
//
//   send_budget Budget(Terms);
//   Budget.setEntries(8);
//   Budget.onRequest(Service);
//   if (Budget.tryResend(Service, Now)) ...
//
// The platform bounds the sum over all entries: within a window, a ratio of the
// requests plus an allowance for each service. Each entry takes its part of the
// allowance, and the ratio of its own requests, without asking the others.

#ifndef ROUTING_SEND_BUDGET_H
#define ROUTING_SEND_BUDGET_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"
#include "monsoonreel/token_bucket.h"

namespace monsoonreel {

struct resend_terms {
  double Ratio = 0.1;
  double Allowance = 0; // in a window, of all entries together
  duration Window = std::chrono::seconds(10);

  bool operator==(const resend_terms &) const = default;
};

// The part of the terms that is used; the rest covers requests that come back
// and entries that are not known yet.
constexpr double resend_safety = 0.7;

class send_budget {
public:
  explicit send_budget(resend_terms Terms) : Terms(Terms) {}

  // How many entries share the allowance, this one included.
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

#endif // ROUTING_SEND_BUDGET_H
