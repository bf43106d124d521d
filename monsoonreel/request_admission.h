// Decides whether a request may run at all, and as what.
//
//   admission_result Result = admitRequest(Arrived, Ledger, Freshness, Now);
//   if (auto *Refusal = std::get_if<refuse_request>(&Result))
//     Effects.push_back(*Refusal);
//
// The organisation comes from the key alone, never from anything else that the
// caller sends. Every refusal here is "not run".

#ifndef MONSOONREEL_REQUEST_ADMISSION_H
#define MONSOONREEL_REQUEST_ADMISSION_H

#include <variant>

#include "monsoonreel/configuration.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/key_trust.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Deadline of a request that names none.
constexpr duration default_request_timeout = std::chrono::minutes(5);
constexpr duration longest_request_timeout = std::chrono::hours(1);
// When to come back to an entry that has no configuration yet.
constexpr duration startup_retry_after = std::chrono::seconds(1);

// A request that may run, with everything that was looked up for it.
struct admitted_request {
  organisation_name Organisation; // empty on an open route without a key
  service_class Class;
  pool_name Pool;
  bool Idempotent = false;
  bool Claimed = false; // needs its idempotency key claimed first
  steady_time Deadline;
  duration MaxQueueWait{};
  duration KeyTrust{};
};

using admission_result = std::variant<admitted_request, refuse_request>;

// Refuses a request whose key this entry has not been able to check for too
// long.
refuse_request keysStale(const request_arrived &Arrived);

admission_result admitRequest(const request_arrived &Arrived,
                              const ledger &Ledger,
                              const log_freshness &Freshness, steady_time Now);

} // namespace monsoonreel

#endif // MONSOONREEL_REQUEST_ADMISSION_H
