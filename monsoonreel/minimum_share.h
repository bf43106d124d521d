// The part of a queue's grants that each class is guaranteed while it waits.
//
//   minimum_share Shares;
//   Shares.configure(Configuration.Classes);
//   for (const class_name &Class : Shares.due(IsWaiting))
//     ... grant to it before the usual order ...
//   Shares.onGrant(Granted, IsWaiting);
//
// Every grant gives each waiting class credit for its share of one grant, and
// takes one from the class that got it. A class with credit for a whole grant
// is due. The share only orders grants: it never sheds or preempts anyone.
// Classes without a configured share have `least_share`, so that none starves.

#ifndef MONSOONREEL_MINIMUM_SHARE_H
#define MONSOONREEL_MINIMUM_SHARE_H

#include <functional>
#include <map>
#include <vector>

#include "monsoonreel/configuration.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Share of a class that has none configured.
constexpr double least_share = 0.01;

class minimum_share {
public:
  using class_filter = std::function<bool(const class_name &)>;

  // Shares are scaled down when they add up to more than one.
  void configure(const std::map<class_name, service_class> &Classes);
  double shareOf(const class_name &Class) const;
  // Classes that are owed a grant, the most owed first.
  std::vector<class_name> due(const class_filter &IsWaiting) const;
  // One grant was made. CouldTake: the classes that wait and could have had it.
  void onGrant(const class_name &Granted, const class_filter &CouldTake);
  // Grants in a row that a waiting class could have had and did not get.
  int passedOver(const class_name &Class) const;
  // More than so many in a row means that the class starves.
  int passLimit(const class_name &Class) const;

private:
  struct account {
    double Share = least_share;
    double Credit = 0;
    int PassedOver = 0;
  };
  std::map<class_name, account> Accounts;
};

} // namespace monsoonreel

#endif // MONSOONREEL_MINIMUM_SHARE_H
