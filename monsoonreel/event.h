// Events: the inputs of a node's reducer.
//
// Each event carries the clock readings and one random number, because the
// reducer itself reads no clock and draws no random numbers. The daemons turn
// input into events; tests write them by hand.

#ifndef MONSOONREEL_EVENT_H
#define MONSOONREEL_EVENT_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// ------------------------------------------------------------------ callers

// A caller's request with its head and body read completely. The body stays
// with the I/O layer, which sends it when an attempt is dispatched.
struct request_arrived {
  request_id Request;
  std::string Method;
  std::string Path;
  std::string Model;           // from the body; empty for plain services
  std::optional<key_hash> Key; // empty: no Authorization header came
  class_name Class;            // empty: the route's default
  std::optional<std::string> IdempotencyKey;
  std::optional<duration> Timeout; // from the deadline header
  bool Stream = false;
  int PromptTokens = 0;    // estimated from the body's length
  int MaxTokens = 0;       // 0: the caller set no limit
  uint64_t PrefixHash = 0; // of the first part of the prompt
  uint64_t BodyHash = 0;   // of method, path and body
};

// The caller's connection closed before its answer was complete.
struct caller_disconnected {
  request_id Request;
};

// ---------------------------------------------------------------- upstreams

struct attempt_headers {
  attempt_number Attempt;
  int Status = 0;
  std::string ContentType;
  // The upstream reported that it had not begun to run the request.
  bool SaidNotRun = false;
  duration RetryAfter{};
};

// The next part of the answer's body. Tokens is the number of tokens in it.
struct attempt_chunk {
  attempt_number Attempt;
  std::string Data;
  int Tokens = 0;
};

// The answer was received completely.
struct attempt_finished {
  attempt_number Attempt;
};

enum class attempt_failure {
  NeverSent, // no byte was written to the upstream
  Broken,    // the connection failed after something was written
  Truncated, // the answer began and did not end properly
};

struct attempt_failed {
  attempt_number Attempt;
  attempt_failure Failure = attempt_failure::Broken;
  std::string Detail;
};

// Load as an engine reports it. Reports are delayed and may stop arriving.
struct load_report {
  upstream_name Upstream;
  int Running = 0;
  int Waiting = 0;
  double CacheUse = 0.0;
  duration Age{};
  bool Leaving = false; // a reclaim notice is in force
};

struct load_report_failed {
  upstream_name Upstream;
};

// -------------------------------------------------------------------- peers

struct peer_message_received {
  node_name From;
  address FromAddress;
  wire::peer_message Message;
};

// ----------------------------------------------------------------- platform

// Why a call to the platform did not succeed.
enum class platform_error {
  Unreachable, // no answer; the call may have taken effect
  Refused,     // rejected by the platform
  RateLimited, // rejected for now; retry later
  Fenced,      // rejected because of an old fencing number
};

struct append_answered {
  call_id Call;
  log_offset Offset;
};

struct append_failed {
  call_id Call;
  platform_error Error = platform_error::Unreachable;
};

// Records of a stream in offset order, starting at the requested offset, or at
// Horizon when the requested record was dropped already.
struct log_records_read {
  std::string Stream;
  log_offset From;
  log_offset Horizon; // the lowest offset that is still kept
  log_offset End;     // one more than the highest offset
  std::vector<wire::stored_record> Records;
};

struct log_read_failed {
  std::string Stream;
  platform_error Error = platform_error::Unreachable;
};

struct usage_report_answered {
  int64_t Window = 0;
  std::optional<platform_error> Error;
};

struct order_answered {
  std::string OrderId;
  std::optional<platform_error> Error;
};

// One VM in the platform's list. The list may be out of date.
struct vm_entry {
  node_name Name;
  zone_name Zone;
  address Address;
  bool Leaving = false;
};

struct vm_list_read {
  std::vector<vm_entry> Vms;
};

// ------------------------------------------------------------------ process

// The periodic timer event, delivered at least every `tick_period`.
struct tick {};

// Requests a drain: running work is finished and no new work is accepted.
struct drain_requested {};

using event_body =
    std::variant<tick, request_arrived, caller_disconnected, attempt_headers,
                 attempt_chunk, attempt_finished, attempt_failed, load_report,
                 load_report_failed, peer_message_received, append_answered,
                 append_failed, log_records_read, log_read_failed,
                 usage_report_answered, order_answered, vm_list_read,
                 drain_requested>;

struct event {
  steady_time Now;
  wall_time Wall;
  uint64_t Random = 0;
  event_body Body;
};

// The longest time between two ticks.
constexpr duration tick_period = std::chrono::milliseconds(10);

} // namespace monsoonreel

#endif // MONSOONREEL_EVENT_H
