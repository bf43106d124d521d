// Orders upstreams of one zone from the platform, under the zone's lease.
//
//   order_sender Orders(Zone, OrderLease);
//   Orders.request({"replace/vm-7", order_kind::StartUpstream, "vm-7", 1});
//   Orders.onTick(Now, Random, Operator, Effects);
//   Orders.onAnswer(Answer, Operator.writer());
//
// An order is first logged as an intent. It is sent to the platform once the
// intent was read back, only while the lease is held, and with an id that makes
// repeats idempotent. It is resent until the platform accepts or refuses it,
// which is logged in an `order_done` record. A steward that takes over the
// lease sends the intents without such a record, with the same ids. By then
// `lease_holder` has waited until no order of the previous holder can still
// arrive.
//
// The lease is only requested while there are orders to send, so that an idle
// zone causes no renewals.

#ifndef MONSOONREEL_ORDER_SENDER_H
#define MONSOONREEL_ORDER_SENDER_H

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

// An order to be made. Requests with the same Id result in one order, however
// many stewards make them and however often.
struct order_request {
  std::string Id;
  wire::order_kind::type Kind = wire::order_kind::StartUpstream;
  std::string Target;
  int Count = 1;
};

class order_sender {
public:
  order_sender(zone_name Zone, lease_holder &Lease);

  // Queues Request. Returns false when max_order_requests are waiting.
  bool request(order_request Request);

  void onTick(steady_time Now, uint64_t Random, stream_replica &Operator,
              effect_list &Effects);
  // Must be called for every change of the operator stream. Drops the requests
  // whose intents have been logged, so that they are not logged again.
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
  // Orders that this process has sent and that have no `order_done` record.
  absl::btree_map<std::string, sent_order> Sent;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ORDER_SENDER_H
