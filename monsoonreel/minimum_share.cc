#include "monsoonreel/minimum_share.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

void minimum_share::configure(
    const std::map<class_name, service_class> &Classes) {
  std::map<class_name, account> Old = std::move(Accounts);
  Accounts.clear();
  double Sum = 0;
  for (const auto &[Name, Class] : Classes)
    Sum += std::max(Class.MinimumShare, min_class_share);
  double Scale = Sum > 1 ? 1 / Sum : 1;
  for (const auto &[Name, Class] : Classes) {
    account Account = Old[Name];
    Account.Share = std::max(Class.MinimumShare, min_class_share) * Scale;
    Accounts[Name] = Account;
  }
}

double minimum_share::shareOf(const class_name &Class) const {
  auto Found = Accounts.find(Class);
  return Found == Accounts.end() ? min_class_share : Found->second.Share;
}

std::vector<class_name>
minimum_share::due(const class_filter &IsWaiting) const {
  std::vector<std::pair<double, class_name>> Owed;
  for (const auto &[Name, Account] : Accounts)
    if (Account.Credit >= 1 && IsWaiting(Name))
      Owed.emplace_back(-Account.Credit, Name);
  std::sort(Owed.begin(), Owed.end());
  std::vector<class_name> Names;
  Names.reserve(Owed.size());
  for (auto &[Credit, Name] : Owed)
    Names.push_back(std::move(Name));
  return Names;
}

void minimum_share::onGrant(const class_name &Granted,
                            const class_filter &CouldTake) {
  // Credit is bounded so that a class whose requests fit no free upstream does
  // not accumulate enough of it for a long run of grants later.
  auto MostCredit = static_cast<double>(Accounts.size() + 1);
  for (auto &[Name, Account] : Accounts) {
    if (Name == Granted) {
      Account.Credit = std::max(0.0, Account.Credit + Account.Share - 1);
      Account.PassedOver = 0;
    } else if (CouldTake(Name)) {
      Account.Credit = std::min(MostCredit, Account.Credit + Account.Share);
      ++Account.PassedOver;
    }
  }
}

int minimum_share::passedOver(const class_name &Class) const {
  auto Found = Accounts.find(Class);
  return Found == Accounts.end() ? 0 : Found->second.PassedOver;
}

int minimum_share::passLimit(const class_name &Class) const {
  auto Classes = static_cast<double>(Accounts.size());
  return static_cast<int>(std::ceil((1 + Classes) / shareOf(Class)));
}

} // namespace monsoonreel
