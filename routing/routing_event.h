// Events that a routing node handles.
//
// As in monsoonreel/event.h, each event comes with clock readings and a random
// number. `Now` is boot time, which advances while the VM is suspended, so the
// age of all state includes the suspension.

#ifndef ROUTING_ROUTING_EVENT_H
#define ROUTING_ROUTING_EVENT_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "monsoonreel/monsoonreel.h"
#include "routing/site_config.h"

namespace monsoonreel {

// ------------------------------------------------------------------ callers

// A part of a prompt. Prompts share parts. An engine that has a part and all
// preceding parts cached does not read it again.
struct prompt_part {
  uint64_t Id = 0;
  int Tokens = 0;
};

struct prompt_info {
  std::string Model;
  int PromptTokens = 0;
  int MaxOutputTokens = 0;
  // In order. The last part is specific to the request or its session.
  std::vector<prompt_part> Parts;
};

// A caller's request whose head and body have been read. The I/O layer keeps
// the body and the headers and sends them with each attempt.
struct route_request {
  request_id Request;
  std::string CallerId; // the caller's id of this attempt
  std::string Host;
  std::string Path;
  std::optional<key_hash> Key; // unset: the request had none
  std::optional<duration> TimeLeft;
  std::optional<prompt_info> Prompt;
};

struct route_caller_gone {
  request_id Request;
};

// The caller reads its answer more slowly than it arrives, so that this node
// has stopped reading from the upstream, or it has caught up.
struct caller_lags {
  request_id Request;
  bool Lags = false;
};

// ---------------------------------------------------------------- upstreams

// While the node drains: number of connections on which a caller's request is
// being read.
struct callers_reading {
  size_t Requests = 0;
};

// The head of an upstream's answer.
struct answer_head {
  attempt_number Attempt;
  int Status = 0;
  // The upstream reported that it has not started the request.
  bool SaidNotRun = false;
  // The address now belongs to another upstream. The request has not run.
  bool WrongUpstream = false;
  bool EventStream = false;
  // The upstream reported that it is leaving, whatever the platform lists.
  bool Leaving = false;
  // With a refusal: the upstream asks this entry to send no request for this
  // time.
  std::optional<duration> BackoffFor;
  // The requests per second that the upstream takes from all entries together.
  std::optional<double> RequestLimit;
  // The body has neither a length nor chunks; the end of its connection ends
  // it.
  bool EndsWithConnection = false;
  // With WrongUpstream: the one that the address belongs to, if it is stated.
  upstream_name AnsweredBy = {};
};

struct answer_data {
  attempt_number Attempt;
  std::string Data;
};

// The answer is complete.
struct answer_end {
  attempt_number Attempt;
};

struct route_attempt_failed {
  attempt_number Attempt;
  attempt_failure Failure = attempt_failure::Broken;
  std::string Detail;
};

// ----------------------------------------------------------------- platform

// The platform's registry entry of one upstream.
struct upstream_entry {
  upstream_name Name;
  pool_name Service;
  address Address;
  zone_name Zone;
  int Slots = 1;
  bool Draining = false;
  bool Reclaimable = false;
  // Time until a reclaimable upstream is taken away; set once that is
  // announced.
  std::optional<duration> LeavesIn;
  // Start time since the Unix epoch; distinguishes instances with the same
  // name.
  std::chrono::milliseconds StartedAt{};
  int64_t Sequence = 0; // number of the report of this instance
  // How long the upstream stays cold, counted from the receipt of this entry;
  // zero if it is not cold.
  duration ColdFor{};

  // Returns whether this entry only repeats Other. LeavesIn is not compared,
  // because it shrinks with each repetition. So does ColdFor, but the other
  // entries have to receive each entry of a cold upstream, because it may have
  // become cold again.
  bool isRepeatOf(const upstream_entry &Other) const {
    auto Facts = [](const upstream_entry &Entry) {
      return std::tie(Entry.Service, Entry.Address, Entry.Zone, Entry.Slots,
                      Entry.Draining, Entry.Reclaimable, Entry.StartedAt);
    };
    bool AnyCold = std::max(ColdFor, Other.ColdFor) > duration::zero();
    return !AnyCold && Facts(*this) == Facts(Other);
  }
};

// Key: the entry that was removed or could not be decoded; equal to the name of
// the upstream.
struct upstream_listed {
  std::string Key;
  std::optional<upstream_entry> Entry; // unset: no usable upstream
  bool AfterOutage = false;            // see feed_change
};

struct config_received {
  site_config Config;
};

// Answer to `read_feed`.
struct feed_read {
  std::string Feed;
  bool Whole = false;
  int64_t From = 0;
  int64_t End = 0;
  std::vector<wire::feed_record> Records;
  int64_t Era = 0; // see store_position
};

struct feed_read_failed {
  std::string Feed;
  std::string Reason;
  bool HistoryCut = false; // records from the offset on were truncated
  int64_t Era = 0;         // 0: no answer
};

// Result of an append to the duty log.
enum class append_outcome {
  Done,
  Conflict, // the log ends elsewhere; nothing was appended
  Refused,  // nothing was appended
  Unknown,  // no answer: it may take effect later
};

struct duty_appended {
  call_id Call; // id of the effect that it answers
  append_outcome Outcome = append_outcome::Unknown;
  int64_t Offset = 0;
  int64_t End = 0; // with Done and Conflict
  int64_t Era = 0; // 0: no answer
};

struct duty_log_read {
  call_id Call; // id of the effect that it answers
  bool Ok = false;
  bool HistoryCut = false;
  int64_t From = 0;
  int64_t Start = 0; // offset of the oldest record that is kept
  int64_t End = 0;
  std::vector<wire::stored_record> Records;
  int64_t Era = 0; // 0: no answer
};

struct usage_answered {
  int64_t Window = 0;
  bool Accepted = false;
};

struct capacity_answered {
  pool_name Service;
  zone_name Zone;
  bool Reclaimable = false;
  int Count = 0;
  bool Accepted = false;
  bool NoneAvailable = false; // the platform has none in this zone at present
};

using routing_event_body =
    std::variant<tick, route_request, route_caller_gone, caller_lags,
                 callers_reading, answer_head, answer_data, answer_end,
                 route_attempt_failed, peer_message_received, feed_read,
                 feed_read_failed, duty_appended, duty_log_read, usage_answered,
                 capacity_answered, drain_requested>;

struct routing_event {
  steady_time Now; // boot time
  wall_time Wall;
  uint64_t Random = 0;
  routing_event_body Body;
};

} // namespace monsoonreel

#endif // ROUTING_ROUTING_EVENT_H
