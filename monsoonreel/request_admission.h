// Decides whether a request may run, and with which organisation, class and
// pool.
//
//   admission_result Result = admitRequest(Arrived, Ledger, Freshness, Now);
//   if (auto *Refusal = std::get_if<refuse_request>(&Result))
//     Effects.push_back(*Refusal);
//
// Only the key determines the organisation, never anything else that the caller
// sends. Every refusal here has the outcome `NotRun`.

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

// Timeout of a request that specifies none, and the largest one allowed.
constexpr duration default_request_timeout = std::chrono::minutes(5);
constexpr duration longest_request_timeout = std::chrono::hours(1);
// Retry time for requests to an entry that has no configuration yet or can't
// check keys.
constexpr duration startup_retry_after = std::chrono::seconds(1);

// A request that may run, with the settings that apply to it.
struct admitted_request {
  organisation_name Organisation; // empty on an open route without a key
  service_class Class;
  pool_name Pool;
  bool Idempotent = false;
  bool NeedsClaim = false; // its idempotency key must be claimed first
  steady_time Deadline;
  duration MaxQueueWait{};
  duration KeyTrust{};
};

using admission_result = std::variant<admitted_request, refuse_request>;

// The refusal for a request whose key can't be trusted, because this entry has
// not read the log for too long.
refuse_request keysStale(const request_arrived &Arrived);

admission_result admitRequest(const request_arrived &Arrived,
                              const ledger &Ledger,
                              const log_freshness &Freshness, steady_time Now);

} // namespace monsoonreel

#endif // MONSOONREEL_REQUEST_ADMISSION_H
