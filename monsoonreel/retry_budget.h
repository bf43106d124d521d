// Limits retries, so that they can't amplify a burst of requests.
//
//   retry_budget Budget;
//   Budget.setRatio(Configuration.Limits.RetryBudget);
//   Budget.onRequest(Organisation, Zone);
//   if (Budget.tryRetry(Organisation, Zone)) ... resend ...
//
// Each request adds a fraction of a retry, the ratio, to the budget of its
// organisation and to that of the zone that serves it. A retry takes one from
// both. Over any time, the retries of an organisation are at most the ratio
// times its requests plus `retry_allowance`, and those of a zone the ratio
// times its requests plus `zone_retry_allowance`.

#ifndef MONSOONREEL_RETRY_BUDGET_H
#define MONSOONREEL_RETRY_BUDGET_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/token_bucket.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Initial and maximum budget of an organisation, in retries.
constexpr double retry_allowance = 3;
// Initial and maximum budget of all organisations in one zone, in retries.
constexpr double zone_retry_allowance = 30;
// Number of organisations from which on full budgets are dropped: a full budget
// equals a new one.
constexpr size_t max_retry_organisations = 4096;

class retry_budget {
public:
  // Sets the fraction of a retry that each request adds.
  void setRatio(double Value) { Ratio = Value; }
  void onRequest(const organisation_name &Organisation, const zone_name &Zone);
  // Takes one retry from both budgets. Returns false, and takes none, when one
  // of them has less than one.
  bool tryRetry(const organisation_name &Organisation, const zone_name &Zone);
  size_t size() const { return ByOrganisation.size(); }

private:
  token_bucket &budgetOf(const organisation_name &Organisation);
  token_bucket &budgetOf(const zone_name &Zone);

  double Ratio = 0.1;
  absl::flat_hash_map<organisation_name, token_bucket> ByOrganisation;
  absl::flat_hash_map<zone_name, token_bucket> ByZone;
};

} // namespace monsoonreel

#endif // MONSOONREEL_RETRY_BUDGET_H
