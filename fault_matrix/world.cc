#include "fault_matrix/world.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "monsoonreel/incarnation.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/node_builder.h"

namespace monsoonreel::fault_matrix {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(50);
// Of a clock's rate, in parts of a million; the margin of a lease covers the
// difference of two clocks.
constexpr int64_t largest_drift = 40'000;
// Short, so that snapshots are written in every run.
constexpr duration snapshot_period = std::chrono::seconds(10);
constexpr duration retention_step = std::chrono::seconds(5);
constexpr int64_t wall_epoch_micros = 1'800'000'000'000'000;

std::string processName(bool IsEntry, int Zone, int Number) {
  return (IsEntry ? "entry-" : "steward-") + std::to_string(Zone) + "-" +
         std::to_string(Number);
}

// One machine for each entry and its steward.
address processAddress(bool IsEntry, int Zone, int Number) {
  return address("10." + std::to_string(Zone) + ".0." +
                 std::to_string(Number + 1) + (IsEntry ? ":7100" : ":7101"));
}

} // namespace

world::world(world_options Options)
    : Options(Options), Random(Options.Seed), FaultRandom(Options.Seed) {
  for (int Zone = 0; Zone < Options.Zones; ++Zone) {
    for (int Number = 0; Number < Options.NodesPerZone; ++Number) {
      addProcess(true, Zone, Number);
      addProcess(false, Zone, Number);
    }
    for (const char *Kind : {"engine", "cheap", "service", "service2"}) {
      std::string Name = std::string(Kind) + "-" + std::to_string(Zone);
      Upstreams[Name].Cheap = std::string(Kind) == "cheap";
      ZoneOfUpstream[Name] = Zone;
    }
  }
}

world::~world() = default;

void world::addProcess(bool IsEntry, int Zone, int Number) {
  process Process;
  Process.IsEntry = IsEntry;
  Process.Zone = Zone;
  Process.Identity.Name = node_name(processName(IsEntry, Zone, Number));
  Process.Identity.Zone = zone_name("zone-" + std::to_string(Zone));
  Process.Identity.Address = processAddress(IsEntry, Zone, Number);
  Process.SteadyOffset = std::chrono::hours(1) + jitter(std::chrono::hours(9));
  Process.SteadyDrift =
      static_cast<int64_t>(draw() % (2 * largest_drift + 1)) - largest_drift;
  Process.WallOffset = jitter(std::chrono::milliseconds(200));
  Processes[Process.Identity.Name.Value] = std::move(Process);
}

void world::run() {
  for (auto &[Name, Process] : Processes)
    start(Process);
  scheduleTraffic();
  scheduleRetention();
  if (Options.RandomFaultPeriod > duration::zero())
    Time.after(start_time, [this] { strikeRandomly(); });
  Time.runUntil(start_time + Options.Length);
  healEverything();
  duration End = start_time + Options.Length + settling_time;
  Time.runUntil(End - in_force_bound);
  MustBeKnown.Value = Platform.end(std::string(operator_stream)).Value - 1;
  Time.runUntil(End);
  judge();
}

// ---------------------------------------------------------------- processes

void world::start(process &Process) {
  ++Process.Life;
  Process.Up = true;
  Process.StartedAt = Time.now();
  Process.FrozenUntil = duration::zero();
  Process.Backlog.clear();
  Process.CallerOf.clear();
  Process.Attempts.clear();
  wall_time Start(duration(wall_epoch_micros) + Time.now() +
                  Process.WallOffset);
  Process.Identity.Incarnation = makeIncarnation(Process.Identity.Name, Start);
  std::vector<address> Seeds;
  for (int Zone = 0; Zone < Options.Zones; ++Zone) {
    Seeds.push_back(processAddress(true, Zone, 0));
    Seeds.push_back(processAddress(false, Zone, 1));
  }
  if (Process.IsEntry)
    Process.Node = entry_node_builder(Process.Identity).seeds(Seeds).build();
  else
    Process.Node = steward_node_builder(Process.Identity)
                       .seeds(Seeds)
                       .snapshotPeriod(snapshot_period)
                       .build();
  scheduleTick(Process, Process.Life);
}

void world::kill(process &Process) {
  if (!Process.Up)
    return;
  Disturbed = true;
  if (Process.IsEntry) {
    Kills.push_back({Process.Identity.Name.Value, Time.now()});
    HolderLosses.push_back(Time.now());
  }
  for (const auto &[Request, Number] : Process.CallerOf)
    Callers.at(Number).Disconnected = true;
  stop(Process);
}

void world::stop(process &Process) {
  Process.Up = false;
  ++Process.Life;
  Time.after(restart_time, [this, &Process] {
    if (!Process.Up)
      start(Process);
  });
}

// From then on it writes nothing more under its leases, which it gives up.
void world::drain(process &Process) {
  bool Runs = Process.Up && Time.now() >= Process.FrozenUntil;
  deliver(Process, drain_requested{});
  for (auto &[Lease, Until] : InChargeUntil)
    if (auto It = Until.find(Process.Identity.Name.Value);
        Runs && It != Until.end())
      It->second = std::min(It->second, Time.now() + late_call_delay);
}

void world::freeze(process &Process) {
  Disturbed = true;
  Process.FrozenUntil = Time.now() + freeze_time;
  if (Process.IsEntry)
    HolderLosses.push_back(Time.now());
}

void world::scheduleTick(process &Process, int Life) {
  Time.after(tick_interval, [this, &Process, Life] {
    if (Process.Life != Life)
      return;
    deliver(Process, tick{});
    scheduleTick(Process, Life);
  });
}

// Records of claims are kept for the whole run: their snapshots come every
// half hour.
void world::scheduleRetention() {
  for (std::string_view Name : {operator_stream, usage_stream}) {
    std::string Stream(Name);
    Time.after(retention_time, [this, Stream, End = Platform.end(Stream)] {
      Platform.dropBefore(Stream, End);
    });
  }
  Time.after(retention_step, [this] { scheduleRetention(); });
}

// A frozen process gets everything at once when it thaws, as sockets do; of
// its ticks only the last counts.
void world::deliver(process &Process, event_body Body) {
  if (!Process.Up)
    return;
  if (Time.now() < Process.FrozenUntil) {
    if (!std::holds_alternative<tick>(Body))
      Process.Backlog.push_back(std::move(Body));
    return;
  }
  while (!Process.Backlog.empty() && Process.Up) {
    event_body Next = std::move(Process.Backlog.front());
    Process.Backlog.pop_front();
    handle(Process, std::move(Next));
  }
  if (Process.Up)
    handle(Process, std::move(Body));
}

steady_time world::localTime(const process &Process) const {
  return steady_time(Time.now() + Process.SteadyOffset +
                     Time.now() * Process.SteadyDrift / million);
}

void world::handle(process &Process, event_body Body) {
  event Event;
  Event.Now = localTime(Process);
  Event.Wall =
      wall_time(duration(wall_epoch_micros) + Time.now() + Process.WallOffset);
  Event.Random = draw();
  Event.Body = std::move(Body);
  effect_list Effects;
  Process.Node->handle(Event, Effects);
  int Life = Process.Life;
  for (const effect &Effect : Effects) {
    // The process may die, or freeze, between two of its effects.
    if (Process.Life != Life)
      return;
    carryOut(Process, Effect);
  }
}

void world::carryOut(process &Process, const effect &Effect) {
  std::visit([&](const auto &E) { carryOut(Process, E); }, Effect);
}

world::process *world::findByAddress(const address &Address) {
  for (auto &[Name, Process] : Processes)
    if (Process.Identity.Address == Address)
      return &Process;
  return nullptr;
}

std::map<std::string, int> world::outcomes() const {
  std::map<std::string, int> Counts;
  for (const caller_request &Request : Callers.all()) {
    std::string Name = "disconnected";
    if (Request.Finished)
      Name = "answered";
    else if (Request.Refusal)
      Name = "refused/" + Request.Refusal->Code;
    else if (Request.Aborted)
      Name = "aborted";
    ++Counts[Request.Path + " " + Name];
  }
  return Counts;
}

} // namespace monsoonreel::fault_matrix
