// Whether the organisations of a class are admitted evenly, lately.
//
//   admitted_share Admitted;
//   Admitted.offer(Class, Organisation, Weight, Now);
//   View.AdmittedRatio = Admitted.ratio(Class, Organisation);
//   Admitted.admit(Class, Organisation);
//
// An organisation's due is the part of the class's admissions that is its part
// of the class's offered requests. Requests beyond twice what the others
// offered for the same weight do not count, so that one organisation's flood
// does not raise its due. Counts decay with `admitted_memory`; the
// organisations of a class that are remembered are bounded, and others count as
// even.

#ifndef MONSOONREEL_ADMITTED_SHARE_H
#define MONSOONREEL_ADMITTED_SHARE_H

#include <cstddef>
#include <map>

#include "monsoonreel/types.h"

namespace monsoonreel {

constexpr duration admitted_memory = std::chrono::seconds(60);
// Organisations of one class that are remembered.
constexpr size_t max_admitted_organisations = 1024;

class admitted_share {
public:
  // A request came that admission will judge.
  void offer(const class_name &Class, const organisation_name &Organisation,
             double Weight, steady_time Now);
  // It was admitted.
  void admit(const class_name &Class, const organisation_name &Organisation);
  // An admitted request was refused after all.
  void withdraw(const class_name &Class, const organisation_name &Organisation);
  // Admissions of the organisation as a part of its due: below 1, it has had
  // less than its due.
  double ratio(const class_name &Class,
               const organisation_name &Organisation) const;

private:
  struct account {
    double Weight = 1;
    double Offered = 0;
    double Admitted = 0;
  };
  using account_map = std::map<organisation_name, account>;

  account *find(const class_name &Class, const organisation_name &Organisation);
  void decay(steady_time Now);
  static void decay(account_map &Accounts, double Factor);

  std::map<class_name, account_map> ByClass;
  steady_time DecayedAt;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ADMITTED_SHARE_H
