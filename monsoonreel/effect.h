// Effects: the actions that a node's reducer can request.
//
// An effect is a plain value. The daemons execute it; tests compare it. An
// effect may fail: its result arrives as an event, or not at all.

#ifndef MONSOONREEL_EFFECT_H
#define MONSOONREEL_EFFECT_H

#include <string>
#include <variant>
#include <vector>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// ------------------------------------------------------------------ callers

struct begin_answer {
  request_id Request;
  int Status = 200;
  std::string ContentType;
  bool Stream = false; // the body's length is not known yet
  upstream_name Upstream;
};

struct write_answer {
  request_id Request;
  std::string Data;
};

// The answer is complete.
struct finish_answer {
  request_id Request;
};

// Closes the connection of an answer that can't be completed, so that the
// caller does not mistake the part that it received for the whole.
struct abort_answer {
  request_id Request;
  std::string Reason;
};

// Refuses a request. This is the whole answer that its caller gets.
struct refuse_request {
  request_id Request;
  int Status = 503;
  std::string Code; // stable and machine readable, such as "target-unreachable"
  std::string Message;
  execution_outcome Outcome = execution_outcome::NotRun;
  duration RetryAfter{}; // zero: a retry would not help
};

// ---------------------------------------------------------------- upstreams

struct dispatch_attempt {
  attempt_number Attempt;
  request_id Request;
  upstream_name Upstream;
  address Address;
  int Priority = 0;          // for the engine's scheduler, 0 is the highest
  int ResumeAfterTokens = 0; // tokens that the caller has received already
  bool FreshConnection = false;
};

// Closes the attempt's connection. Later events about the attempt are dropped.
struct cancel_attempt {
  attempt_number Attempt;
};

struct poll_load {
  upstream_name Upstream;
  address Address;
};

// -------------------------------------------------------------------- peers

struct send_message {
  node_name To;
  address ToAddress;
  wire::peer_message Message;
};

// Closes a connection that no longer delivers messages. The next message opens
// a new one.
struct reset_link {
  address ToAddress;
};

// ----------------------------------------------------------------- platform

struct append_record {
  call_id Call;
  std::string Stream;
  wire::log_record Record;
};

struct read_log {
  std::string Stream;
  log_offset From;
};

// The longest time from the sending of a usage report or an order until it
// takes effect at the platform.
constexpr duration max_report_delay = std::chrono::seconds(2);
constexpr duration max_order_delay = std::chrono::seconds(2);

// NotAfter is the last moment on this machine's steady clock at which the call
// may begin. The daemon reads the clock again right before it writes and drops
// the call when the moment has passed.
struct send_usage_report {
  int64_t Window = 0;
  int64_t Fence = 0;
  std::vector<wire::usage_increment> Figures;
  steady_time NotAfter = steady_time::max();
};

struct send_order {
  wire::order_intent Intent;
  steady_time NotAfter = steady_time::max();
};

struct read_vm_list {};

// ------------------------------------------------------------------ process

// Reports a violated invariant. The action concerned has been stopped.
struct report_breach {
  std::string Invariant;
  std::string Detail;
};

enum class log_level { Debug, Info, Warning, Error };

// A structured log line. It never contains a caller's key.
struct log_line {
  log_level Level = log_level::Info;
  std::string Text;
};

// Adds to a metric. The I/O layer owns the registry.
struct count_metric {
  std::string Name;
  std::vector<std::pair<std::string, std::string>> Labels;
  double Add = 1.0;
};

struct observe_metric {
  std::string Name;
  std::vector<std::pair<std::string, std::string>> Labels;
  double Value = 0.0;
};

struct set_gauge {
  std::string Name;
  std::vector<std::pair<std::string, std::string>> Labels;
  double Value = 0.0;
};

// The drain is complete: all running work has ended and the process may exit.
struct drain_finished {};

using effect =
    std::variant<begin_answer, write_answer, finish_answer, abort_answer,
                 refuse_request, dispatch_attempt, cancel_attempt, poll_load,
                 send_message, reset_link, append_record, read_log,
                 send_usage_report, send_order, read_vm_list, report_breach,
                 log_line, count_metric, observe_metric, set_gauge,
                 drain_finished>;

using effect_list = std::vector<effect>;

} // namespace monsoonreel

#endif // MONSOONREEL_EFFECT_H
