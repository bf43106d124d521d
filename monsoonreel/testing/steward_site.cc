#include "monsoonreel/testing/steward_site.h"

#include <algorithm>
#include <set>
#include <utility>

#include "monsoonreel/document_difference.h"
#include "monsoonreel/log_follower.h"
#include "monsoonreel/node_builder.h"
#include "monsoonreel/testing/records.h"

namespace monsoonreel::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_length = milliseconds(50);
constexpr duration snapshot_period = seconds(30);
constexpr int steward_count = 3;
constexpr int entry_count = 3;
const zone_name Zone("north");

node_identity identityOf(const std::string &Name, int64_t Incarnation) {
  return {node_name(Name), Zone, address(Name), incarnation{Incarnation}};
}

} // namespace

metering_entry::metering_entry(const node_identity &Identity)
    : Self(Identity),
      Members(Identity, wire::member_role::Entry, {address("s0")}),
      Sync(Identity, std::string(operator_stream)), Meter(Identity),
      HeldUsage(Identity.Incarnation) {}

std::vector<wire::member>
metering_entry::others(wire::member_role::type Role) const {
  std::vector<wire::member> Found;
  for (wire::member &Member : Members.alive(Role, Zone))
    if (Member.Name != Self.Name.Value)
      Found.push_back(std::move(Member));
  return Found;
}

void metering_entry::handle(const event &Event, effect_list &Effects) {
  if (std::holds_alternative<tick>(Event.Body))
    return onTick(Event, Effects);
  const auto *Received = std::get_if<peer_message_received>(&Event.Body);
  if (!Received || Members.onMessage(*Received, Event.Now, Effects) ||
      Meter.onMessage(*Received) || HeldUsage.onMessage(*Received, Effects))
    return;
  stream_delivery Delivery;
  Sync.onMessage(*Received, Event.Now, others(wire::member_role::Entry),
                 Event.Random, Delivery, Effects);
  if (Delivery.Snapshot)
    if (auto State = decodeLedgerState(Delivery.Snapshot->State))
      Operator.restore(log_offset{Delivery.Snapshot->CoversOffset}, *State,
                       Effects);
  for (const wire::stored_record &Record : Delivery.Records)
    Operator.apply(log_offset{Record.Offset}, Record.Bytes, Effects);
}

void metering_entry::onTick(const event &Event, effect_list &Effects) {
  Members.onTick(Event.Now, Event.Random, Operator.applied(), Effects);
  Sync.onTick(Event.Now, Members.highestLedgerOffset(), Effects);
  std::vector<wire::member> Stewards =
      logFollowerOrder(others(wire::member_role::Steward));
  for (incarnation Source : HeldUsage.sources())
    if (!Members.mayBeRunning(Source))
      HeldUsage.onSourceDead(Source);
  Meter.setPeers(Stewards, others(wire::member_role::Entry));
  Meter.onTick(Event.Now, Event.Random, Effects);
  HeldUsage.onTick(Event.Now, Event.Random, Stewards, Effects);
}

steward_site::steward_site(unsigned Seed) : Random(Seed) {
  for (int Number = 0; Number < steward_count + entry_count; ++Number) {
    bool IsSteward = Number < steward_count;
    machine Machine;
    Machine.Name = IsSteward ? "s" + std::to_string(Number)
                             : "e" + std::to_string(Number - steward_count);
    Machine.IsSteward = IsSteward;
    Machine.ClockRate = 0.98 + 0.04 * static_cast<double>(Random() % 100) / 100;
    Machines.push_back(std::move(Machine));
  }
  for (machine &Machine : Machines)
    start(Machine);
  changeConfiguration();
}

void steward_site::start(machine &Machine) {
  // Unique across all machines and starts.
  int64_t Incarnation = (&Machine - Machines.data()) + 100 * ++Machine.Starts;
  node_identity Self = identityOf(Machine.Name, Incarnation);
  Machine.Backlog.clear();
  if (Machine.IsSteward)
    Machine.Node = steward_node_builder(Self)
                       .seeds({address("s0"), address("s1")})
                       .snapshotPeriod(snapshot_period)
                       .build();
  else
    Machine.Node = std::make_unique<metering_entry>(Self);
}

bool steward_site::chance(double Probability) {
  return static_cast<double>(Random() % 1000000) < Probability * 1e6;
}

duration steward_site::randomTime(duration Max) {
  return duration(
      static_cast<int64_t>(Random() % static_cast<uint64_t>(Max.count())));
}

steady_time steward_site::clockOf(const machine &Machine) const {
  auto Elapsed = static_cast<double>(Now.time_since_epoch().count());
  return steady_time(
      duration(static_cast<int64_t>(Elapsed * Machine.ClockRate)));
}

bool steward_site::isUp(const machine &Machine) const {
  return Machine.Node && Now >= Machine.FrozenUntil;
}

void steward_site::require(bool Condition, const std::string &Violation) {
  if (!Condition)
    Violations.push_back(Violation);
}

void steward_site::schedule(duration Delay, std::function<void()> Action) {
  Pending.emplace(Now + Delay, std::move(Action));
}

void steward_site::runWithFaults(duration Length) {
  Faulty = true;
  for (steady_time End = Now + Length; Now < End;) {
    injectFaults();
    meterSomething();
    if (chance(0.002))
      changeConfiguration();
    step();
  }
  Faulty = false;
}

void steward_site::step() {
  steady_time End = Now + step_length;
  while (!Pending.empty() && Pending.begin()->first <= End) {
    auto First = Pending.begin();
    Now = std::max(Now, First->first);
    std::function<void()> Action = std::move(First->second);
    Pending.erase(First);
    Action();
  }
  Now = End;
  for (machine &Machine : Machines) {
    if (!isUp(Machine))
      continue;
    std::vector<event_body> Backlog = std::exchange(Machine.Backlog, {});
    for (const event_body &Body : Backlog)
      deliver(Machine, Body);
    deliver(Machine, tick{});
  }
  checkPlatformRecords();
}

void steward_site::injectFaults() {
  Platform.Out = Now < OutUntil;
  if (chance(0.001))
    OutUntil = Now + randomTime(seconds(40));
  for (machine &Machine : Machines) {
    if (isUp(Machine) && chance(0.0008))
      Machine.FrozenUntil = Now + randomTime(seconds(30));
    if (!Machine.IsSteward || !chance(0.0004))
      continue;
    Machine.Node.reset();
    schedule(randomTime(seconds(20)), [&] { start(Machine); });
  }
  if (chance(0.01))
    dropCoveredRecords();
  // The last entry stops metering and is killed once its usage is safe.
  EntryRetiring = EntryRetiring || chance(0.0005);
  if (EntryRetiring)
    killOneEntry();
  // Cheap upstreams get reclaim notices.
  if (chance(0.002))
    Platform.Vms = {{node_name("m1"), Zone, address("m1"), chance(0.5)}};
}

void steward_site::dropCoveredRecords() {
  for (std::string_view Stream : {operator_stream, usage_stream}) {
    std::string Name(Stream);
    const std::vector<std::string> &Records = Platform.records(Name);
    for (size_t Place = Records.size(); Place-- > 0;) {
      auto Record = decodeRecord(Records[Place]);
      if (!Record->__isset.Snapshot)
        continue;
      Platform.dropBefore(Name, log_offset{Record->Snapshot.CoversOffset + 1});
      break;
    }
  }
}

void steward_site::killOneEntry() {
  machine &Machine = Machines.back();
  auto *Entry = static_cast<metering_entry *>(Machine.Node.get());
  // Usage that is not in a batch yet is lost with its machine. The metered and
  // logged tokens can only be compared when there is none.
  if (Entry && Entry->meter().isDurable())
    Machine.Node.reset();
}

void steward_site::changeConfiguration() {
  ledger Current(operator_stream);
  effect_list Effects;
  for (const std::string &Bytes :
       Platform.records(std::string(operator_stream)))
    Current.apply(log_offset{Current.applied().Value + 1}, Bytes, Effects);
  std::string Document =
      makeDocument(1 + ++Edits) + "limits: {usage_window: 10s}\n";
  wire::log_record Record;
  Record.__set_ConfigEdit(makeEdit(Current.configOffset(), Current.document(),
                                   Document, "operator"));
  Record.Incarnation = 1;
  Record.Sequence = Edits;
  Platform.append(std::string(operator_stream), Record);
}

void steward_site::meterSomething() {
  for (machine &Machine : Machines) {
    bool Retiring = EntryRetiring && &Machine == &Machines.back();
    if (Machine.IsSteward || Retiring || !isUp(Machine) || !chance(0.2))
      continue;
    auto Tokens = static_cast<int64_t>(1 + Random() % 100);
    MeteredTokens += Tokens;
    static_cast<metering_entry *>(Machine.Node.get())
        ->meter()
        .add(organisation_name("tiles"), class_name("quick"), {1, 0, Tokens});
  }
}

void steward_site::deliver(machine &Machine, const event_body &Body) {
  effect_list Effects;
  wall_time Wall(Now.time_since_epoch());
  Machine.Node->handle({clockOf(Machine), Wall, Random(), Body}, Effects);
  for (const effect &Effect : Effects)
    carryOut(Machine, Effect);
}

void steward_site::carryOut(machine &Machine, const effect &Effect) {
  if (const auto *Breach = std::get_if<report_breach>(&Effect))
    Violations.push_back(Breach->Invariant + ": " + Breach->Detail);
  else if (const auto *Line = std::get_if<log_line>(&Effect))
    SnapshotStarts +=
        Line->Text.find("looking for a snapshot") != std::string::npos;
  else if (const auto *Message = std::get_if<send_message>(&Effect))
    sendMessage(Machine, *Message);
  else
    carryOutAtPlatform(Machine, Effect);
}

void steward_site::sendMessage(const machine &From,
                               const send_message &Message) {
  if (Faulty && chance(0.03))
    return;
  int Copies = Faulty && chance(0.03) ? 2 : 1;
  peer_message_received Received{node_name(From.Name), address(From.Name),
                                 Message.Message};
  for (machine &To : Machines) {
    // The entry that will be killed can't reach any steward, so that only the
    // entry that holds its last batches has them.
    bool CutOff = EntryRetiring && To.IsSteward && &From == &Machines.back();
    if (To.Name != Message.ToAddress.Value || CutOff)
      continue;
    for (int Copy = 0; Copy < Copies; ++Copy)
      schedule(randomTime(milliseconds(100)), [&To, Received] {
        if (To.Node)
          To.Backlog.emplace_back(Received);
      });
  }
}

void steward_site::carryOutAtPlatform(machine &Machine, const effect &Effect) {
  bool IsCall = std::holds_alternative<append_record>(Effect) ||
                std::holds_alternative<read_log>(Effect) ||
                std::holds_alternative<send_usage_report>(Effect) ||
                std::holds_alternative<send_order>(Effect) ||
                std::holds_alternative<read_vm_list>(Effect);
  if (!IsCall)
    return;
  // Some calls take nearly as long as max_report_delay and max_order_delay
  // allow.
  duration Way = chance(0.05) ? randomTime(milliseconds(1900))
                              : randomTime(milliseconds(50));
  int64_t Start = Machine.Starts;
  schedule(Way, [this, &Machine, Effect, Start] {
    Platform.LoseAnswer = Faulty && chance(0.1);
    std::optional<event_body> Answer = Platform.carryOut(Effect);
    if (!Answer)
      return;
    schedule(randomTime(milliseconds(50)), [&Machine, Answer, Start] {
      if (Machine.Node && Machine.Starts == Start)
        Machine.Backlog.push_back(*Answer);
    });
  });
}

void steward_site::checkPlatformRecords() {
  for (; CheckedReports < Platform.Reports.size(); ++CheckedReports) {
    const send_usage_report &Report = Platform.Reports[CheckedReports];
    auto [Known, New] = FigureOfWindow.emplace(Report.Window, Report.Figures);
    require(Known->second == Report.Figures,
            "usage window reported with different figures");
    NewestReport = std::max(NewestReport, Report.Fence);
    require(isSameHolding(usage_stream, Report.Fence, NewestReport),
            "usage report of a former lease holder after one of its successor");
  }
  for (; CheckedOrders < Platform.Orders.size(); ++CheckedOrders) {
    int64_t Fence = Platform.Orders[CheckedOrders].Fence;
    NewestOrder = std::max(NewestOrder, Fence);
    require(isSameHolding(operator_stream, Fence, NewestOrder),
            "order of a former lease holder after one of its successor");
  }
}

bool steward_site::isSameHolding(std::string_view Stream, int64_t OldFence,
                                 int64_t NewFence) {
  if (OldFence == NewFence)
    return true;
  ledger Replay(Stream);
  effect_list Effects;
  std::set<int64_t> Holders;
  for (const std::string &Bytes : Platform.records(std::string(Stream))) {
    log_offset Offset{Replay.applied().Value + 1};
    ledger_change Change = Replay.apply(Offset, Bytes, Effects);
    if (Change.Lease && Offset.Value >= OldFence && Offset.Value <= NewFence)
      Holders.insert(Change.Lease->Incarnation);
  }
  return Holders.size() == 1;
}

void steward_site::healAndSettle() {
  OutUntil = Now;
  Platform.Out = false;
  Platform.Vms.clear();
  EntryRetiring = false;
  for (machine &Machine : Machines) {
    Machine.FrozenUntil = Now;
    if (Machine.IsSteward && !Machine.Node)
      start(Machine);
  }
  for (steady_time End = Now + seconds(120); Now < End;)
    step();
  changeConfiguration();
  // A change must take effect at all nodes within 9 s.
  for (steady_time End = Now + seconds(9); Now < End;)
    step();
  checkSettled();
}

void steward_site::checkSettled() {
  ledger Operator(operator_stream);
  ledger Usage(usage_stream);
  effect_list Effects;
  for (ledger *Ledger : {&Operator, &Usage})
    for (const std::string &Bytes : Platform.records(Ledger->stream()))
      Ledger->apply(log_offset{Ledger->applied().Value + 1}, Bytes, Effects);
  require(loggedTokens(Usage) == MeteredTokens,
          "metered " + std::to_string(MeteredTokens) + " tokens, logged " +
              std::to_string(loggedTokens(Usage)));
  require(Operator.openOrders().empty(), "an order is still open");
  for (machine &Machine : Machines) {
    if (!Machine.Node)
      continue;
    const ledger &Of =
        Machine.IsSteward
            ? static_cast<steward_node *>(Machine.Node.get())->operatorState()
            : static_cast<metering_entry *>(Machine.Node.get())
                  ->operatorState();
    if (Of.applied() == Operator.applied())
      require(Of.state() == Operator.state(),
              Machine.Name + " has a state that differs from the replay");
    require(Of.configOffset() == Operator.configOffset(),
            Machine.Name + " has an outdated configuration");
  }
}

int64_t steward_site::loggedTokens(const ledger &Usage) const {
  int64_t Tokens = 0;
  auto Add = [&](const std::vector<wire::usage_increment> &Figures) {
    for (const wire::usage_increment &Figure : Figures)
      Tokens += Figure.OutputTokens;
  };
  Add(Usage.openUsage());
  for (const auto &[Window, Figures] : FigureOfWindow)
    Add(Figures);
  for (const wire::closed_window &Window : Usage.unreportedWindows())
    if (!FigureOfWindow.contains(Window.Window))
      Add(Window.Figures);
  return Tokens;
}

} // namespace monsoonreel::testing
