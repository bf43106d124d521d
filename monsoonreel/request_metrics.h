// Reports the metrics and the log line of a finished request.
//
//   reportRequest(Request, request_result::Answered, Event.Now, Effects);

#ifndef MONSOONREEL_REQUEST_METRICS_H
#define MONSOONREEL_REQUEST_METRICS_H

#include <string>

#include "monsoonreel/active_request.h"
#include "monsoonreel/effect.h"

namespace monsoonreel {

// How a request ended; used as a metric label.
enum class request_result { Answered, Refused, Aborted, CallerGone };

// Adds the metrics `monsoonreel_requests_total`, `monsoonreel_targets_total`
// (label met), `monsoonreel_first_token_seconds`,
// `monsoonreel_between_tokens_seconds` and a log line to Effects. None of them
// contains a key.
void reportRequest(const active_request &Request, request_result Result,
                   steady_time Now, effect_list &Effects);

// Whether the answer met the targets of its class. A request without a complete
// answer missed them.
bool metTargets(const active_request &Request, request_result Result,
                steady_time Now);

} // namespace monsoonreel

#endif // MONSOONREEL_REQUEST_METRICS_H
