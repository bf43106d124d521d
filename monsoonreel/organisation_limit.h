// Limits the request rates of the organisations over all entries, without a
// message for each request.
//
//   organisation_limit Limit;
//   Limit.setConfiguration(Configuration);
//   Limit.setEntries(LiveEntries);
//   duration Wait = Limit.admit(Organisation, Now);
//   if (Wait > duration{})
//     refuse(Wait);
//
// Each of the N live entries admits its share R / N of the limit R through a
// token bucket of its own.
//
// Error bound. When all entries have the same view of N, their shares add up to
// R, so over any time T all entries together admit at most
//   R * T + N * depth,   depth = max(1, R / N * limit_window).
// While the views of N differ, an entry that sees only n of the N entries
// admits N / n times its share. Together, the n entries of a zone that is cut
// off admit up to R, so k separate groups admit at most k * R. An organisation
// below its limit is not refused as long as no entry receives more than its
// share plus depth within the window. An organisation whose requests all arrive
// at one entry is limited to that entry's share.

#ifndef MONSOONREEL_ORGANISATION_LIMIT_H
#define MONSOONREEL_ORGANISATION_LIMIT_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/configuration.h"
#include "monsoonreel/token_bucket.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// An entry admits bursts of up to its share of the limit over this time.
constexpr duration limit_window = std::chrono::seconds(2);

class organisation_limit {
public:
  void setConfiguration(const configuration &Configuration);
  // Sets the number of live entries, including this one. Values below one count
  // as one.
  void setEntries(int Count);
  // Returns zero when the request is admitted, and counts it. Otherwise returns
  // the time until the next request can be admitted.
  duration admit(const organisation_name &Organisation, steady_time Now);

private:
  struct account {
    double Limit = 0;
    token_bucket Bucket{0, 0};
    bool Started = false;
  };
  void apply(account &Account) const;

  int Entries = 1;
  absl::flat_hash_map<organisation_name, account> Accounts;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ORGANISATION_LIMIT_H
