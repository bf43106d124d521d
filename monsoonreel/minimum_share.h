// Guarantees each class with waiting requests a minimum share of the grants of
// a queue.
//
//   minimum_share Shares;
//   Shares.configure(Configuration.Classes);
//   for (const class_name &Class : Shares.due(IsWaiting))
//     ... grant to it before the usual order ...
//   Shares.onGrant(Granted, CouldTake);
//
// When a slot is granted, the credit of each class that could have used it
// grows by the class's share, and the credit of the class that got it falls
// by 1. A class with a credit of at least 1 is due. The share only affects the
// order of grants; it never causes shedding or preemption. Classes with a
// smaller configured share or none have `min_class_share`, so that none
// starves.

#ifndef MONSOONREEL_MINIMUM_SHARE_H
#define MONSOONREEL_MINIMUM_SHARE_H

#include <functional>
#include <map>
#include <vector>

#include "monsoonreel/configuration.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Lower bound of a class's share, before shares are scaled down.
constexpr double min_class_share = 0.01;

class minimum_share {
public:
  using class_filter = std::function<bool(const class_name &)>;

  // Shares are scaled down when they add up to more than one.
  void configure(const std::map<class_name, service_class> &Classes);
  double shareOf(const class_name &Class) const;
  // Classes that are due a grant, the largest credit first.
  std::vector<class_name> due(const class_filter &IsWaiting) const;
  // Records one grant. CouldTake accepts the classes that have waiting requests
  // for which the slot could have been used.
  void onGrant(const class_name &Granted, const class_filter &CouldTake);
  // Number of consecutive grants that the waiting class could have used but did
  // not get.
  int passedOver(const class_name &Class) const;
  // Upper bound of passedOver; beyond it, the class starves.
  int passLimit(const class_name &Class) const;

private:
  struct account {
    double Share = min_class_share;
    double Credit = 0;
    int PassedOver = 0;
  };
  std::map<class_name, account> Accounts;
};

} // namespace monsoonreel

#endif // MONSOONREEL_MINIMUM_SHARE_H
