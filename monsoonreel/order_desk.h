// Orders upstreams of one zone from the platform, under the zone's lease.
//
//   order_desk Orders(Zone, OrderLease);
//   Orders.request({"replace/vm-7", order_kind::StartUpstream, "vm-7", 1});
//   Orders.onTick(Now, Random, Operator, Effects);
//   Orders.onAnswer(Answer, Operator.writer());
//
// An order is first an intent in the log. It is sent once the intent was read
// back, only under the lease, and with an id that makes a repeat harmless. It
// is sent until the platform takes or refuses it, which an `order_done` record
// tells. A steward that takes over sends the intents that are not done, with
// the same ids; by then `lease_holder` has waited until nothing that the
// predecessor sent can still arrive.
//
// The lease is wanted only while there is something to order, so that an idle
// zone costs no renewals.

#ifndef MONSOONREEL_ORDER_DESK_H
#define MONSOONREEL_ORDER_DESK_H

#include <optional>
#include <string>

#include <absl/container/btree_map.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/lease_holder.h"
#include "monsoonreel/stream_replica.h"

namespace monsoonreel {

constexpr duration order_backoff_min = std::chrono::milliseconds(500);
constexpr duration order_backoff_max = std::chrono::seconds(30);
constexpr size_t max_order_requests = 64;

// What is wanted. The same Id is ordered once, whoever asks how often.
struct order_request {
  std::string Id;
  wire::order_kind::type Kind = wire::order_kind::StartUpstream;
  std::string Target;
  int Count = 1;
};

class order_desk {
public:
  order_desk(zone_name Zone, lease_holder &Lease);

  // False when too many requests wait.
  bool request(order_request Request);

  void onTick(steady_time Now, uint64_t Random, stream_replica &Operator,
              effect_list &Effects);
  // Every change of the operator stream, so that a request that became an
  // intent is not made again.
  void onChange(const ledger_change &Change);
  void onAnswer(const order_answered &Answer, record_writer &Writer);

private:
  struct sent_order {
    steady_time NextSend = steady_time::min();
    int Tries = 0;
    std::optional<writer_ticket> Done;
  };

  bool hasOpenOrders(const ledger &Operator) const;
  void appendIntent(record_writer &Writer);
  void sendOpen(steady_time Now, uint64_t Random, const ledger &Operator,
                effect_list &Effects);
  void send(const wire::order_intent &Intent, sent_order &Order,
            steady_time Now, uint64_t Random, effect_list &Effects);

  zone_name Zone;
  lease_holder &Lease;
  absl::btree_map<std::string, order_request> Requests;
  std::optional<writer_ticket> Intent;
  // Orders that this process has sent and that are not done.
  absl::btree_map<std::string, sent_order> Sent;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ORDER_DESK_H
