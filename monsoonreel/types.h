// Names, times and small value types that every module uses.
//
//   organisation_name Org("kitchen-42");
//   duration Wait = std::chrono::milliseconds(350);
//   wire::slot_ask Ask;
//   Ask.TimeLeftMicros = toMicros(Wait);
//
// Strings that name different kinds of things have different types, so that a
// zone can't be passed where an upstream is meant. Messages between processes
// carry plain strings and microseconds; they are converted where a message is
// built or read.

#ifndef MONSOONREEL_TYPES_H
#define MONSOONREEL_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace monsoonreel {

// Durations and points in time. A `steady_time` comes from one machine's
// monotonic clock and is never compared with another machine's. A `wall_time`
// may jump; it is used for usage windows and the age of idempotency keys only.
using duration = std::chrono::microseconds;
using steady_time =
    std::chrono::time_point<std::chrono::steady_clock, duration>;
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

inline int64_t toMicros(duration Value) { return Value.count(); }
inline duration fromMicros(int64_t Micros) { return duration(Micros); }

// A string whose type says what it names.
template <typename Tag> struct strong_name {
  std::string Value;

  strong_name() = default;
  explicit strong_name(std::string Text) : Value(std::move(Text)) {}

  bool empty() const { return Value.empty(); }
  auto operator<=>(const strong_name &) const = default;
  bool operator==(const strong_name &) const = default;

  template <typename H> friend H AbslHashValue(H State, const strong_name &N) {
    return H::combine(std::move(State), N.Value);
  }
};

using node_name = strong_name<struct node_name_tag>;
using zone_name = strong_name<struct zone_name_tag>;
using organisation_name = strong_name<struct organisation_name_tag>;
using class_name = strong_name<struct class_name_tag>;
using upstream_name = strong_name<struct upstream_name_tag>;
// The upstreams that serve the same model or service.
using pool_name = strong_name<struct pool_name_tag>;
using key_id = strong_name<struct key_id_tag>;
// ip:port
using address = strong_name<struct address_tag>;

// SHA-256 of a caller's key, 32 bytes. The key itself never enters the library.
using key_hash = strong_name<struct key_hash_tag>;

// A number whose type says what it counts.
template <typename Tag> struct strong_id {
  int64_t Value = 0;

  auto operator<=>(const strong_id &) const = default;
  bool operator==(const strong_id &) const = default;

  template <typename H> friend H AbslHashValue(H State, const strong_id &N) {
    return H::combine(std::move(State), N.Value);
  }
};

// One caller's request, unique within an entry process.
using request_id = strong_id<struct request_id_tag>;
// One attempt to run a request at an upstream, unique within an entry process.
using attempt_number = strong_id<struct attempt_number_tag>;
// One call to the platform, unique within a process.
using call_id = strong_id<struct call_id_tag>;
// A position in one stream of the platform's log. The first record has offset
// 1; 0 means before the first record.
using log_offset = strong_id<struct log_offset_tag>;
// Distinguishes two runs of the same node. Increases with every start.
using incarnation = strong_id<struct incarnation_tag>;

// 0 is the highest tier.
using tier = strong_id<struct tier_tag>;

// Whether an upstream executed a request, as far as the sender knows.
//   NotRun:  nothing was written to an upstream, or the upstream reported that
//            it had not begun to run the request.
//   Run:     the upstream answered.
//   Unknown: a part of the request was written, but no answer arrived.
enum class execution_outcome { NotRun, Run, Unknown };

// "not-run", "run" or "unknown", as it appears in answers and logs.
constexpr const char *outcomeName(execution_outcome Outcome) {
  switch (Outcome) {
  case execution_outcome::NotRun:
    return "not-run";
  case execution_outcome::Run:
    return "run";
  case execution_outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace monsoonreel

#endif // MONSOONREEL_TYPES_H
