#include "monsoonreel/retry_budget.h"

namespace monsoonreel {

token_bucket &retry_budget::budgetOf(const organisation_name &Organisation) {
  if (ByOrganisation.size() >= max_retry_organisations)
    absl::erase_if(ByOrganisation,
                   [](const auto &Entry) { return Entry.second.isFull(); });
  return ByOrganisation
      .try_emplace(Organisation, token_bucket(0, retry_allowance))
      .first->second;
}

token_bucket &retry_budget::budgetOf(const zone_name &Zone) {
  return ByZone.try_emplace(Zone, token_bucket(0, zone_retry_allowance))
      .first->second;
}

void retry_budget::onRequest(const organisation_name &Organisation,
                             const zone_name &Zone) {
  budgetOf(Organisation).add(Ratio);
  budgetOf(Zone).add(Ratio);
}

bool retry_budget::tryRetry(const organisation_name &Organisation,
                            const zone_name &Zone) {
  token_bucket &Own = budgetOf(Organisation);
  token_bucket &All = budgetOf(Zone);
  if (!Own.hasToken() || !All.hasToken())
    return false;
  // Without a rate the buckets do not depend on the time.
  return Own.tryTake(steady_time()) && All.tryTake(steady_time());
}

} // namespace monsoonreel
