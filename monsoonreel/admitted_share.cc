#include "monsoonreel/admitted_share.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

// Time between two decays.
constexpr duration decay_interval = std::chrono::seconds(1);
// An account with fewer offered requests, after decay, is removed.
constexpr double min_offered = 0.01;
// Offered requests count up to this multiple of what the others offered per
// weight.
constexpr double max_fair_share_multiple = 2;
// Admissions that are added to both sides of the ratio, so that the first few
// requests of an organisation do not dominate it.
constexpr double prior_admissions = 1;

} // namespace

void admitted_share::decay(account_map &Accounts, double Factor) {
  for (auto &[Name, Account] : Accounts) {
    Account.Offered *= Factor;
    Account.Admitted *= Factor;
  }
  std::erase_if(Accounts, [](const auto &Entry) {
    return Entry.second.Offered < min_offered;
  });
}

void admitted_share::decay(steady_time Now) {
  if (Now - DecayedAt < decay_interval)
    return;
  std::chrono::duration<double> Passed = Now - DecayedAt;
  double Factor =
      std::exp(-(Passed / std::chrono::duration<double>(admitted_memory)));
  for (auto &[Class, Accounts] : ByClass)
    decay(Accounts, Factor);
  std::erase_if(ByClass,
                [](const auto &Entry) { return Entry.second.empty(); });
  DecayedAt = Now;
}

void admitted_share::offer(const class_name &Class,
                           const organisation_name &Organisation, double Weight,
                           steady_time Now) {
  decay(Now);
  account_map &Accounts = ByClass[Class];
  auto Found = Accounts.find(Organisation);
  if (Found == Accounts.end()) {
    if (Accounts.size() >= max_admitted_organisations)
      return;
    Found = Accounts.emplace(Organisation, account{}).first;
  }
  Found->second.Weight = Weight;
  Found->second.Offered += 1;
}

admitted_share::account *
admitted_share::find(const class_name &Class,
                     const organisation_name &Organisation) {
  auto Accounts = ByClass.find(Class);
  if (Accounts == ByClass.end())
    return nullptr;
  auto Found = Accounts->second.find(Organisation);
  return Found == Accounts->second.end() ? nullptr : &Found->second;
}

void admitted_share::admit(const class_name &Class,
                           const organisation_name &Organisation) {
  if (account *Account = find(Class, Organisation))
    Account->Admitted += 1;
}

void admitted_share::undoAdmit(const class_name &Class,
                               const organisation_name &Organisation) {
  if (account *Account = find(Class, Organisation))
    Account->Admitted = std::max(0.0, Account->Admitted - 1);
}

double admitted_share::ratio(const class_name &Class,
                             const organisation_name &Organisation) const {
  auto Accounts = ByClass.find(Class);
  if (Accounts == ByClass.end())
    return 1;
  auto Own = Accounts->second.find(Organisation);
  if (Own == Accounts->second.end())
    return 1;
  double Weights = 0;
  double Offered = 0;
  for (const auto &[Name, Account] : Accounts->second) {
    Weights += Account.Weight;
    Offered += Account.Offered;
  }
  auto Counted = [&](const account &Account) {
    double OtherWeights = Weights - Account.Weight;
    if (OtherWeights <= 0)
      return Account.Offered;
    double PerWeight = (Offered - Account.Offered) / OtherWeights;
    return std::min(Account.Offered,
                    max_fair_share_multiple * PerWeight * Account.Weight);
  };
  double AllCounted = 0;
  double Admitted = 0;
  for (const auto &[Name, Account] : Accounts->second) {
    AllCounted += Counted(Account);
    Admitted += Account.Admitted;
  }
  if (AllCounted <= 0)
    return 1;
  double Due = Admitted * Counted(Own->second) / AllCounted;
  return (Own->second.Admitted + prior_admissions) / (Due + prior_admissions);
}

} // namespace monsoonreel
