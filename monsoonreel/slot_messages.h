// Values that are exchanged between a request's state machine, the slot client
// of its entry and the owner of a cell's queue.
//
//   slot_request Request;
//   Request.Request = Id;
//   Request.Pool = pool_name("small-model");
//   Client.ask(Request, Now, Random, Effects, Outcomes);

#ifndef MONSOONREEL_SLOT_MESSAGES_H
#define MONSOONREEL_SLOT_MESSAGES_H

#include <cstdint>
#include <variant>
#include <vector>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// The identity of an entry, as needed to exchange messages about slots.
struct slot_peer {
  node_name Name;
  address Address; // of its peer listener
  zone_name Zone;
};

// A request for a slot at an upstream.
struct slot_request {
  request_id Request;
  pool_name Pool;
  class_name Class;
  tier Tier;
  organisation_name Organisation;
  // By when the first token is due under the class's target.
  steady_time Target;
  // When the request stops waiting, at the latest at the caller's deadline.
  steady_time WaitDeadline;
  int PromptTokens = 0;
  // Upper bound of the answer's length in tokens; 0 when the caller set none.
  int MaxTokens = 0;
  uint64_t PrefixHash = 0;
  bool Idempotent = false;
  // Whether an earlier attempt may have generated part of the answer, which a
  // refusal would waste. Set when a preempted or retried request asks again.
  bool Resumed = false;
  // Upstreams that already failed this request.
  std::vector<upstream_name> Excluded;
};

// The request may be dispatched to Upstream now. It holds the slot until
// `slot_client::release`.
struct slot_granted {
  request_id Request;
  upstream_name Upstream;
  // Priority for the engine's own scheduler; 0 is the highest.
  int Priority = 0;
  // Dispatch on a new connection, because the request probes an ejected
  // upstream.
  bool FreshConnection = false;
};

// The request gets no slot and was not run. It may be retried after RetryAfter.
struct slot_refused {
  request_id Request;
  wire::refusal_reason::type Reason = wire::refusal_reason::QueueFull;
  duration RetryAfter{};
};

// A higher tier needs the slot. The receiver cancels the attempt, releases the
// slot with `Cancelled` and asks again, to resume after the tokens that the
// caller has.
struct slot_preempted {
  request_id Request;
};

// The events that the slot client returns to the request's state machine.
using slot_outcome = std::variant<slot_granted, slot_refused, slot_preempted>;
using slot_outcome_list = std::vector<slot_outcome>;

// How the work in a slot ended, and its timing.
struct slot_report {
  wire::slot_result::type Result = wire::slot_result::Completed;
  duration FirstToken{}; // zero when there was none or it was not measured
  duration Total{};
  int OutputTokens = 0;
};

// A message from a queue's owner to an asker.
struct slot_reply {
  slot_peer To;
  wire::peer_message Message;
};
using slot_reply_list = std::vector<slot_reply>;

} // namespace monsoonreel

#endif // MONSOONREEL_SLOT_MESSAGES_H
