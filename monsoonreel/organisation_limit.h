// Holds the organisations' request rates over all entries without a message
// for each request.
//
//   organisation_limit Limit;
//   Limit.setConfiguration(Configuration);
//   Limit.setEntries(LiveEntries);
//   duration Wait = Limit.admit(Organisation, Now);
//   if (Wait > duration{})
//     refuse(Wait);
//
// Each of the N live entries admits its part of the limit R, which is R / N,
// through a token bucket of its own.
//
// Error bound. The parts of all entries add up to R when all entries see the
// same N, so over any time T all entries together admit at most
//   R * T + N * depth,   depth = max(1, R / N * limit_window).
// While the views of N differ, an entry that counts n of the N uses N / n of
// its part; a zone that is cut off with n entries admits up to R by itself, so
// k separate groups admit at most k * R. Below the limit nothing is refused as
// long as no entry gets more than its part plus depth within the window; an
// organisation whose requests all come to one entry is held to that entry's
// part.

#ifndef MONSOONREEL_ORGANISATION_LIMIT_H
#define MONSOONREEL_ORGANISATION_LIMIT_H

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/configuration.h"
#include "monsoonreel/token_bucket.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Unevenness of the arrivals at one entry that is evened out.
constexpr duration limit_window = std::chrono::seconds(2);

class organisation_limit {
public:
  void setConfiguration(const configuration &Configuration);
  // Entries that are alive, this one included; at least one.
  void setEntries(int Count);
  // Zero: admitted, and counted. Otherwise how long until the next may come.
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
