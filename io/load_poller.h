// Engines' load reports as events.
//
//   load_poller Poller(Sink);
//   Poller.poll(poll_load{Upstream, Address});

#ifndef IO_LOAD_POLLER_H
#define IO_LOAD_POLLER_H

#include <optional>
#include <string>

#include "io/event_sink.h"
#include "io/http_call.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

constexpr duration load_timeout = std::chrono::seconds(1);

// Nothing when the report is malformed or out of range.
std::optional<load_report> parseLoadReport(const upstream_name &Upstream,
                                           const std::string &Json);

class load_poller {
public:
  explicit load_poller(event_sink &Target) : Sink(Target) {}

  void poll(const poll_load &Poll);

private:
  event_sink &Sink;
  http_caller Caller;
};

} // namespace monsoonreel

#endif // IO_LOAD_POLLER_H
