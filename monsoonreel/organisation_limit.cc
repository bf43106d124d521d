#include "monsoonreel/organisation_limit.h"

#include <algorithm>
#include <utility>

namespace monsoonreel {

void organisation_limit::apply(account &Account) const {
  double Rate = Account.Limit / Entries;
  double Depth =
      std::max(1.0, Rate * std::chrono::duration<double>(limit_window).count());
  if (Account.Started) {
    Account.Bucket.setRate(Rate, Depth);
    return;
  }
  Account.Bucket = token_bucket(Rate, Depth);
  Account.Started = true;
}

void organisation_limit::setConfiguration(const configuration &Configuration) {
  absl::flat_hash_map<organisation_name, account> Old = std::move(Accounts);
  Accounts.clear();
  for (const auto &[Name, Organisation] : Configuration.Organisations) {
    if (Organisation.RequestsPerSecond <= 0)
      continue;
    account Account = Old[Name];
    Account.Limit = Organisation.RequestsPerSecond;
    apply(Account);
    Accounts.emplace(Name, Account);
  }
}

void organisation_limit::setEntries(int Count) {
  int Bounded = std::max(1, Count);
  if (Bounded == Entries)
    return;
  Entries = Bounded;
  for (auto &[Name, Account] : Accounts)
    apply(Account);
}

duration organisation_limit::admit(const organisation_name &Organisation,
                                   steady_time Now) {
  auto Found = Accounts.find(Organisation);
  if (Found == Accounts.end())
    return duration{};
  token_bucket &Bucket = Found->second.Bucket;
  return Bucket.tryTake(Now) ? duration{} : Bucket.untilToken();
}

} // namespace monsoonreel
