#include "monsoonreel/slot_owner.h"

#include <utility>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Interval at which an upstream's load is polled.
constexpr duration poll_period = std::chrono::seconds(1);
// The state of a cell without waiting requests and granted slots is removed
// when no ask has arrived for this long. Its upstreams are then not polled.
constexpr duration idle_cell_lifetime = std::chrono::seconds(60);
// Retry time in refusals of asks that this node can't serve now.
constexpr duration refusal_retry_after = std::chrono::milliseconds(200);

void refuse(const slot_peer &To, int64_t Ask, wire::refusal_reason::type Reason,
            slot_reply_list &Replies) {
  wire::slot_refuse Refuse;
  Refuse.Ask = Ask;
  Refuse.Reason = Reason;
  Refuse.RetryAfterMicros = toMicros(refusal_retry_after);
  Replies.push_back({To, Refuse});
}

} // namespace

slot_owner::slot_owner(node_name Name, monsoonreel::incarnation Incarnation,
                       std::shared_ptr<const scheduling_policy> Policy)
    : Name(std::move(Name)), Incarnation(Incarnation),
      Policy(std::move(Policy)) {}

cell_step slot_owner::step(steady_time Now, slot_reply_list &Replies,
                           effect_list &Effects) {
  return {Now, Incarnation, LastSlot, Replies, Effects};
}

void slot_owner::setConfiguration(const configuration &NewConfiguration,
                                  const pool_map &NewMap, steady_time Now,
                                  slot_reply_list &Replies,
                                  effect_list &Effects) {
  Configuration = NewConfiguration;
  Map = NewMap;
  Names = short_names::fromConfiguration(Configuration, Map);
  CellOfUpstream.clear();
  for (const auto &[CellName, Cell] : Map.all())
    for (const upstream &Member : Cell.Upstreams)
      CellOfUpstream[Member.Name] = CellName;
  cell_step Step = step(Now, Replies, Effects);
  for (auto It = Queues.begin(); It != Queues.end();) {
    const cell *Cell = Map.find(It->first);
    if (Cell) {
      It->second.Queue.configure(*Cell, Configuration);
      ++It;
      continue;
    }
    It->second.Queue.refuseAll(wire::refusal_reason::NoUpstream, Step);
    It = Queues.erase(It);
  }
}

cell_queue *slot_owner::queueFor(const cell_name &CellName, steady_time Now) {
  auto Known = Queues.find(CellName);
  if (Known == Queues.end()) {
    const cell *Cell = Map.find(CellName);
    if (!Cell)
      return nullptr;
    Known =
        Queues
            .emplace(CellName,
                     owned_cell{cell_queue(*Cell, Configuration, *Policy), Now})
            .first;
    // Cheap upstreams get no work before their first load report, so they are
    // polled at once.
    NextPoll = Now;
  }
  Known->second.LastAskAt = Now;
  return &Known->second.Queue;
}

void slot_owner::onAsk(const slot_peer &From, const wire::slot_ask &Received,
                       steady_time Now, slot_reply_list &Replies,
                       effect_list &Effects) {
  wire::slot_ask Ask = Received;
  if (Draining) {
    refuse(From, Ask.Ask, wire::refusal_reason::ShuttingDown, Replies);
    return;
  }
  cell_queue *Queue =
      Names.expand(Ask) ? queueFor(cell_name(Ask.Pool), Now) : nullptr;
  if (!Queue) {
    refuse(From, Ask.Ask, wire::refusal_reason::NoUpstream, Replies);
    return;
  }
  cell_step Step = step(Now, Replies, Effects);
  Queue->ask(From, Ask, Step);
}

void slot_owner::onCancel(const slot_peer &From,
                          const wire::slot_cancel &Cancel, steady_time Now,
                          slot_reply_list &Replies, effect_list &Effects) {
  cell_step Step = step(Now, Replies, Effects);
  for (auto &[CellName, Owned] : Queues)
    Owned.Queue.cancel({From.Name, Cancel.Incarnation, Cancel.Ask}, Step);
}

void slot_owner::onRelease(const wire::slot_release &Release, steady_time Now,
                           slot_reply_list &Replies, effect_list &Effects) {
  if (Release.OwnerIncarnation != Incarnation.Value)
    return;
  slot_report Report;
  Report.Result = Release.Result;
  Report.FirstToken = fromMicros(Release.FirstTokenMicros);
  Report.Total = fromMicros(Release.TotalMicros);
  Report.OutputTokens = Release.OutputTokens;
  cell_step Step = step(Now, Replies, Effects);
  for (auto &[CellName, Owned] : Queues)
    if (Owned.Queue.release(Release.Slot, Report, Step))
      return;
}

void slot_owner::onRenew(const wire::slot_renew &Renew, steady_time Now) {
  if (Renew.OwnerIncarnation != Incarnation.Value)
    return;
  for (int64_t Slot : Renew.Slots)
    for (auto &[CellName, Owned] : Queues)
      Owned.Queue.renew(Slot, Now);
}

void slot_owner::onLoadReport(const load_report &Report, steady_time Now,
                              slot_reply_list &Replies, effect_list &Effects) {
  auto CellName = CellOfUpstream.find(Report.Upstream);
  if (CellName == CellOfUpstream.end())
    return;
  auto Owned = Queues.find(CellName->second);
  if (Owned == Queues.end())
    return;
  cell_step Step = step(Now, Replies, Effects);
  Owned->second.Queue.onLoadReport(Report, Step);
}

void slot_owner::onTick(steady_time Now, slot_reply_list &Replies,
                        effect_list &Effects) {
  cell_step Step = step(Now, Replies, Effects);
  for (auto &[CellName, Owned] : Queues)
    Owned.Queue.tick(Step);
  std::erase_if(Queues, [&](const auto &Entry) {
    const owned_cell &Owned = Entry.second;
    return Owned.Queue.waitingCount() == 0 && Owned.Queue.runningCount() == 0 &&
           Now - Owned.LastAskAt > idle_cell_lifetime;
  });
  pollLoads(Now, Effects);
}

void slot_owner::pollLoads(steady_time Now, effect_list &Effects) {
  if (Now < NextPoll)
    return;
  NextPoll = Now + poll_period;
  for (const auto &[CellName, Owned] : Queues)
    for (size_t I = 0; I < Owned.Queue.upstreams().size(); ++I) {
      const upstream &Member = Owned.Queue.upstreams().at(I);
      if (Member.Kind == upstream_kind::Engine)
        Effects.push_back(poll_load{Member.Name, Member.Address});
    }
}

void slot_owner::drain(steady_time Now, slot_reply_list &Replies,
                       effect_list &Effects) {
  Draining = true;
  cell_step Step = step(Now, Replies, Effects);
  for (auto &[CellName, Owned] : Queues)
    Owned.Queue.refuseAll(wire::refusal_reason::ShuttingDown, Step);
}

std::vector<wire::pool_load> slot_owner::loads(steady_time Now) const {
  std::vector<wire::pool_load> Loads;
  if (Draining)
    return Loads;
  for (const auto &[CellName, Owned] : Queues) {
    wire::pool_load Load;
    Load.Pool = CellName.Value;
    Load.Owner = Name.Value;
    Load.QueueWaitMicros = toMicros(Owned.Queue.expectedWait(Now));
    Load.FreeSlots = Owned.Queue.freeSlots(Now);
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

size_t slot_owner::runningCount() const {
  size_t Sum = 0;
  for (const auto &[CellName, Owned] : Queues)
    Sum += Owned.Queue.runningCount();
  return Sum;
}

size_t slot_owner::waitingCount() const {
  size_t Sum = 0;
  for (const auto &[CellName, Owned] : Queues)
    Sum += Owned.Queue.waitingCount();
  return Sum;
}

std::vector<owned_cell_status> slot_owner::status(steady_time Now) const {
  std::vector<owned_cell_status> Status;
  for (const auto &[CellName, Owned] : Queues) {
    owned_cell_status Cell;
    Cell.Cell = CellName;
    Cell.Waiting = Owned.Queue.waitingCount();
    Cell.Running = Owned.Queue.runningCount();
    Cell.ExpectedWait = Owned.Queue.expectedWait(Now);
    const cell_upstreams &Upstreams = Owned.Queue.upstreams();
    for (size_t I = 0; I < Upstreams.size(); ++I)
      Cell.Upstreams.push_back({Upstreams.at(I).Name, Upstreams.inFlight(I),
                                Upstreams.admits(I, Now)});
    Status.push_back(std::move(Cell));
  }
  return Status;
}

slot_owner::builder &slot_owner::builder::name(node_name Value) {
  Name = std::move(Value);
  return *this;
}

slot_owner::builder &
slot_owner::builder::incarnation(monsoonreel::incarnation Value) {
  Incarnation = Value;
  return *this;
}

slot_owner::builder &
slot_owner::builder::policy(std::shared_ptr<const scheduling_policy> Value) {
  Policy = std::move(Value);
  return *this;
}

slot_owner slot_owner::builder::build() {
  if (!Policy)
    Policy = makeSchedulingPolicy("tiered");
  return {std::move(Name), Incarnation, std::move(Policy)};
}

} // namespace monsoonreel
