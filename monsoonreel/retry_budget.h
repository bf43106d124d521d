// Bounds the retries, so that they can't multiply a burst.
//
//   retry_budget Budget;
//   Budget.setRatio(Configuration.Limits.RetryBudget);
//   Budget.onRequest(Organisation, Zone);
//   if (Budget.tryRetry(Organisation, Zone)) ... send it again ...
//
// Each request adds a part of a retry to the budget of its organisation and to
// that of the zone that serves it; a retry takes one from both.
// Over any time, retries are at most the ratio of the requests plus
// `retry_allowance` for each organisation, and the same for each zone.

#ifndef MONSOONREEL_RETRY_BUDGET_H
#define MONSOONREEL_RETRY_BUDGET_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/token_bucket.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Retries that an organisation may make before its requests earned any.
constexpr double retry_allowance = 3;
// Retries of all organisations in one zone that may be saved up.
constexpr double zone_retry_allowance = 30;
// Organisations whose budgets are kept; full budgets are forgotten first.
constexpr size_t max_retry_organisations = 4096;

class retry_budget {
public:
  // Retries as a part of the requests.
  void setRatio(double Value) { Ratio = Value; }
  void onRequest(const organisation_name &Organisation, const zone_name &Zone);
  // Takes one retry when both budgets have one.
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
