#include "monsoonreel/order_sender.h"

#include <utility>

#include "monsoonreel/invariant.h"

namespace monsoonreel {

order_sender::order_sender(zone_name Zone, lease_holder &Lease)
    : Zone(std::move(Zone)), Lease(Lease) {}

bool order_sender::request(order_request Request) {
  if (Requests.size() >= max_order_requests)
    return false;
  std::string Id = Request.Id;
  Requests.emplace(std::move(Id), std::move(Request));
  return true;
}

bool order_sender::hasOpenOrders(const ledger &Operator) const {
  for (const auto &[Id, Order] : Operator.openOrders())
    if (Order.Intent.Zone == Zone.Value)
      return true;
  return false;
}

void order_sender::onTick(steady_time Now, uint64_t Random,
                          stream_replica &Operator, effect_list &Effects) {
  Lease.setWanted(!Requests.empty() || hasOpenOrders(Operator.state()));
  if (!Lease.mayAct(Now, max_order_delay))
    return;
  if (Intent && !Operator.writer().isQueued(*Intent))
    Intent.reset();
  if (!Intent && !Lease.isClaiming())
    appendIntent(Operator.writer());
  sendOpen(Now, Random, Operator.state(), Effects);
}

void order_sender::appendIntent(record_writer &Writer) {
  if (Requests.empty())
    return;
  const order_request &Request = Requests.begin()->second;
  wire::order_intent NewIntent;
  NewIntent.OrderId = Request.Id;
  NewIntent.Zone = Zone.Value;
  NewIntent.Fence = Lease.fence()->Value;
  NewIntent.Kind = Request.Kind;
  NewIntent.Target = Request.Target;
  NewIntent.Count = Request.Count;
  wire::log_record Record;
  Record.__set_OrderIntent(NewIntent);
  Intent = Writer.enqueue(std::move(Record));
}

void order_sender::onChange(const ledger_change &Change) {
  if (!Change.OrdersChanged)
    return;
  if (Change.Record->__isset.OrderIntent)
    Requests.erase(Change.Record->OrderIntent.OrderId);
  if (Change.Record->__isset.OrderDone) {
    Requests.erase(Change.Record->OrderDone.OrderId);
    Sent.erase(Change.Record->OrderDone.OrderId);
  }
}

void order_sender::sendOpen(steady_time Now, uint64_t Random,
                            const ledger &Operator, effect_list &Effects) {
  for (const auto &[Id, Order] : Operator.openOrders()) {
    if (Order.Intent.Zone != Zone.Value)
      continue;
    sent_order &State = Sent[Id];
    if (!State.Done && Now >= State.NextSend)
      send(Order.Intent, State, Now, Random, Effects);
  }
}

void order_sender::send(const wire::order_intent &Logged, sent_order &Order,
                        steady_time Now, uint64_t Random,
                        effect_list &Effects) {
  if (!invariantHolds(Effects, Lease.coversWrite(Now, max_order_delay),
                      "order-under-lease", Logged.OrderId))
    return;
  ++Order.Tries;
  // Resent after this backoff when no answer arrives.
  Order.NextSend = Now + backoffAfter(Order.Tries + 1, order_backoff_min,
                                      order_backoff_max, Random);
  wire::order_intent Intent = Logged;
  // An intent that was logged under an earlier claim of the lease is sent with
  // the fencing token of the current one.
  Intent.Fence = Lease.fence()->Value;
  Effects.push_back(send_order{Intent, Lease.notAfter(max_order_delay)});
}

void order_sender::onAnswer(const order_answered &Answer,
                            record_writer &Writer) {
  auto Found = Sent.find(Answer.OrderId);
  if (Found == Sent.end() || Found->second.Done)
    return;
  bool Refused = Answer.Error == platform_error::Refused;
  if (Answer.Error && !Refused)
    return;
  wire::order_done Done;
  Done.OrderId = Answer.OrderId;
  Done.Accepted = !Refused;
  wire::log_record Record;
  Record.__set_OrderDone(Done);
  Found->second.Done = Writer.enqueue(std::move(Record));
}

} // namespace monsoonreel
