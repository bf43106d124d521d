// Measures whether the organisations of a class were recently admitted in
// proportion to what they offered.
//
//   admitted_share Admitted;
//   Admitted.offer(Class, Organisation, Weight, Now);
//   View.AdmittedRatio = Admitted.ratio(Class, Organisation);
//   Admitted.admit(Class, Organisation);
//
// An organisation's fair share of the class's admissions is its fraction of the
// class's offered requests. Requests beyond twice what the others offered per
// weight do not count, so that an organisation can't raise its fair share by
// flooding. Counts decay exponentially with the time constant
// `admitted_memory`. The number of tracked organisations per class is bounded;
// for any other, the ratio is 1.

#ifndef MONSOONREEL_ADMITTED_SHARE_H
#define MONSOONREEL_ADMITTED_SHARE_H

#include <cstddef>
#include <map>

#include "monsoonreel/types.h"

namespace monsoonreel {

constexpr duration admitted_memory = std::chrono::seconds(60);
// Upper bound of the tracked organisations of one class.
constexpr size_t max_admitted_organisations = 1024;

class admitted_share {
public:
  // Counts a request on which admission is about to decide.
  void offer(const class_name &Class, const organisation_name &Organisation,
             double Weight, steady_time Now);
  // Counts an offered request as admitted.
  void admit(const class_name &Class, const organisation_name &Organisation);
  // Takes one admission back: an admitted request was refused later.
  void undoAdmit(const class_name &Class,
                 const organisation_name &Organisation);
  // Ratio of the organisation's admissions to its fair share. Below 1, it was
  // admitted less than its fair share.
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
