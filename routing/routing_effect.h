// Effects that a routing node requests. See monsoonreel/effect.h for the
// concept.

#ifndef ROUTING_ROUTING_EFFECT_H
#define ROUTING_ROUTING_EFFECT_H

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "monsoonreel/monsoonreel.h"
#include "routing/site_config.h"

namespace monsoonreel {

// ------------------------------------------------------------------ callers

// Answer of the router itself, without an upstream.
struct route_refusal {
  request_id Request;
  int Status = 503;
  std::string Code; // stable and machine readable, such as "no-upstream"
  execution_outcome Outcome = execution_outcome::NotRun;
  duration RetryAfter{}; // zero: no retry time is sent
};

// Starts passing an upstream's answer on: the head of Attempt, with a body
// whose length is not known yet.
struct route_begin {
  request_id Request;
  attempt_number Attempt;
};
struct route_write {
  request_id Request;
  std::string Data;
};
struct route_finish {
  request_id Request;
};
// Closes the connection, so that the caller cannot mistake a partial answer for
// a complete one.
struct route_abort {
  request_id Request;
  std::string Reason;
};
// Passes a complete answer on.
struct route_answer {
  request_id Request;
  attempt_number Attempt;
  std::string Body;
};

// ---------------------------------------------------------------- upstreams

struct route_dispatch {
  attempt_number Attempt;
  request_id Request;
  upstream_name Upstream;
  address Address;
  organisation_name Organisation; // empty on public routes
  duration TimeLeft{};
  bool ForEngine = false;
  int Rank = 0; // scheduling rank at the engine; 0 goes first
  // Id of the last event that the caller received; set when a stream is resumed
  // at another upstream.
  std::optional<int64_t> ResumeAfter;
  int MaxConnections = 0; // connections of this process to the upstream
  // Engine from which this one copies the cached beginning of the prompt;
  // empty: none.
  address FetchFrom = {};
};

// Closes the connection of an attempt. No event about it follows.
struct route_cancel {
  attempt_number Attempt;
};

// --------------------------------------------------------------- own entries

// Sends a message to every other live entry.
struct broadcast_to_entries {
  wire::peer_message Message;
};

// Sends a message as a datagram to each address. Loss is acceptable, because
// the message is repeated soon.
struct send_datagrams {
  std::vector<address> To;
  wire::peer_message Message;
};

// ----------------------------------------------------------------- platform

struct read_feed {
  std::string Feed;
  bool Whole = false;
  int64_t From = 0;
  duration Wait{};
};
struct cancel_feed_read {
  std::string Feed;
};

struct append_duty {
  call_id Call;
  wire::duty_record Record;
  int64_t At = 0; // offset at which the log has to end
};
struct read_duty_log {
  call_id Call;
  int64_t From = 0;
};

// Fence and NotAfter: see `duty_log`. The daemon reads the clock again
// immediately before it writes, and drops the call when NotAfter has passed.
struct report_usage {
  wire::window_counts Figures;
  int64_t Fence = 0;
  steady_time NotAfter;
};
struct order_capacity {
  pool_name Service;
  zone_name Zone;
  int Count = 0;
  bool Reclaimable = false;
  int64_t Fence = 0;
  steady_time NotAfter;
};

// ------------------------------------------------------------------ process

struct apply_bounds {
  caller_bounds Bounds;
};
struct set_ready {
  bool Ready = false;
};
// Closes idle connections of callers and accepts no new ones.
struct stop_accepting {};

using routing_effect =
    std::variant<route_refusal, route_begin, route_write, route_finish,
                 route_abort, route_answer, route_dispatch, route_cancel,
                 broadcast_to_entries, send_datagrams, send_message, reset_link,
                 read_feed, cancel_feed_read, append_duty, read_duty_log,
                 report_usage, order_capacity, apply_bounds, set_ready,
                 stop_accepting, log_line, count_metric, observe_metric,
                 set_gauge, drain_finished>;

using routing_effects = std::vector<routing_effect>;

} // namespace monsoonreel

#endif // ROUTING_ROUTING_EFFECT_H
