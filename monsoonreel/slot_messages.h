// Values that pass between a request's state machine, the slot client of its
// entry and the owner of a cell's queue.
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

// Another entry, as far as messages about slots need to know it.
struct slot_peer {
  node_name Name;
  address Address; // of its peer listener
  zone_name Zone;
};

// A request that wants a slot at an upstream.
struct slot_request {
  request_id Request;
  pool_name Pool;
  class_name Class;
  tier Tier;
  organisation_name Organisation;
  // When the class's target will be missed unless the first token has come.
  steady_time Target;
  // When the caller's own deadline passes.
  steady_time GiveUp;
  int PromptTokens = 0;
  // Upper bound of the answer's length; 0 when the caller named none.
  int MaxTokens = 0;
  uint64_t PrefixHash = 0;
  bool Idempotent = false;
  // A part of its answer has been made, which a refusal would waste. Set it
  // when a preempted request asks again.
  bool Resumed = false;
  // Upstreams that already failed this request.
  std::vector<upstream_name> Excluded;
};

// The request may be dispatched to Upstream now. It holds the slot until
// `slot_client::release`.
struct slot_granted {
  request_id Request;
  upstream_name Upstream;
  // For the engine's own scheduler, 0 is the highest.
  int Priority = 0;
  // Dispatch on a new connection, because the upstream earns its place back.
  bool FreshConnection = false;
};

// The request gets no slot and was not run. It may come back after RetryAfter.
struct slot_refused {
  request_id Request;
  wire::refusal_reason::type Reason = wire::refusal_reason::QueueFull;
  duration RetryAfter{};
};

// A higher tier needs the slot: cancel the attempt, release with `Cancelled`
// and ask again, resuming after the tokens that the caller has.
struct slot_preempted {
  request_id Request;
};

// What the slot client tells the request's state machine.
using slot_outcome = std::variant<slot_granted, slot_refused, slot_preempted>;
using slot_outcome_list = std::vector<slot_outcome>;

// How the work in a slot ended and what was seen of the upstream.
struct slot_report {
  wire::slot_result::type Result = wire::slot_result::Completed;
  duration FirstToken{}; // zero when none came
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
