// Faults: when they strike, and what they do.

#include <algorithm>

#include "fault_matrix/world.h"

namespace monsoonreel::fault_matrix {

namespace {

constexpr duration reorder_delay = std::chrono::milliseconds(120);
constexpr duration refusal_time = std::chrono::seconds(8);
constexpr duration leave_time = std::chrono::seconds(5);

} // namespace

std::string world::targetOf(const transmission &Transmission) {
  auto NameOf = [](const process *Process, const char *Otherwise) {
    return Process ? Process->Identity.Name.Value : Otherwise;
  };
  return NameOf(Transmission.Sender, "outside") + " to " +
         NameOf(Transmission.Receiver, "outside");
}

world::fault_effect world::strike(const transmission &Transmission) {
  fault_effect Effect;
  if (Time.now() < start_time || Healed)
    return Effect;
  int Count = ++Occurred[Transmission.Step];
  for (const planned_fault &Planned : Plan) {
    if (Planned.Step != Transmission.Step || Planned.Occurrence != Count)
      continue;
    Struck.push_back({Time.now(), Planned, targetOf(Transmission)});
    apply(Planned.Fault, Transmission, Effect);
  }
  return Effect;
}

world::fault_effect world::transmit(const transmission &Transmission,
                                    const virtual_time::action &Deliver) {
  fault_effect Effect = strike(Transmission);
  if (Effect.Lost)
    return Effect;
  Time.after(Transmission.Delay + Effect.ExtraDelay, Deliver);
  if (Effect.Doubled)
    Time.after(Transmission.Delay + reorder_delay, Deliver);
  return Effect;
}

void world::apply(fault Fault, const transmission &Transmission,
                  fault_effect &Effect) {
  process *Sender = Transmission.Sender;
  process *Receiver = Transmission.Receiver;
  // A call to the platform or an answer of it concerns the process at its end.
  process *Either = Sender ? Sender : Receiver;
  if (!Either)
    return;
  process &Reached = Receiver ? *Receiver : *Either;
  switch (Fault) {
  case fault::Lost:
    Effect.Lost = true;
    break;
  case fault::Delayed:
    Effect.ExtraDelay = long_delay;
    break;
  case fault::Stalled:
    // Reports and orders take effect within the time that holders allow for.
    Effect.ExtraDelay =
        Transmission.Step.ends_with("/call") ? late_call_delay : stall_time;
    break;
  case fault::Doubled:
    // A connection delivers no request to an upstream twice.
    Effect.Doubled = !Transmission.Step.starts_with("dispatch/");
    break;
  case fault::Reordered:
    Effect.ExtraDelay = reorder_delay;
    break;
  case fault::AnswerLost:
    Effect.AnswerLost = true;
    break;
  case fault::SenderKilled:
    kill(*Either);
    break;
  case fault::ReceiverKilled:
    kill(Reached);
    break;
  case fault::SenderFrozen:
    freeze(*Either);
    break;
  case fault::ReceiverFrozen:
    freeze(Reached);
    break;
  case fault::ZoneCutPeers:
    cutZone(Either->Zone, true, false);
    break;
  case fault::ZoneCutPlatform:
    cutZone(Either->Zone, false, true);
    break;
  case fault::ZoneCutBoth:
    cutZone(Either->Zone, true, true);
    break;
  case fault::ZoneCutLog:
    cutLog(Either->Zone);
    break;
  case fault::PlatformOut:
    Disturbed = true;
    PlatformOutUntil = Time.now() + cut_time;
    break;
  case fault::PlatformSlow:
    Disturbed = true;
    PlatformSlowUntil = Time.now() + cut_time;
    break;
  case fault::OperatorsRace:
    raceOperators();
    break;
  case fault::UpstreamCrash:
    crashUpstream();
    break;
  case fault::UpstreamSilent:
    silenceUpstream();
    break;
  case fault::ZoneReclaimed:
    reclaimZone(Either->Zone);
    break;
  }
}

bool world::isCutFromPlatform(const process &Process) const {
  return PlatformCut.contains(Process.Zone) || Time.now() < PlatformOutUntil;
}

bool world::isCutFromLog(const process &Process) const {
  return isCutFromPlatform(Process) || LogCut.contains(Process.Zone);
}

void world::cutLog(int Zone) {
  Disturbed |= isAnyZoneCut();
  LogCut.insert(Zone);
  Time.after(cut_time, [this, Zone] { LogCut.erase(Zone); });
}

bool world::areCut(const process &A, const process &B) const {
  return A.Zone != B.Zone &&
         (PeersCut.contains(A.Zone) || PeersCut.contains(B.Zone));
}

bool world::isAnyZoneCut() const {
  return !PeersCut.empty() || !PlatformCut.empty() || !LogCut.empty();
}

// A zone that is cut off from the platform alone still has every record in
// time, from its peers; so that does not count as a disturbance.
void world::cutZone(int Zone, bool Peers, bool PlatformToo) {
  Disturbed |= Peers || isAnyZoneCut();
  if (Peers) {
    PeersCut.insert(Zone);
    HolderLosses.push_back(Time.now());
  }
  if (PlatformToo)
    PlatformCut.insert(Zone);
  Time.after(cut_time, [this, Zone, Peers, PlatformToo] {
    if (Peers)
      PeersCut.erase(Zone);
    if (PlatformToo)
      PlatformCut.erase(Zone);
  });
}

std::map<std::string, fake_upstream>::iterator world::pickUpstream() {
  auto Place = Upstreams.begin();
  std::advance(Place, static_cast<long>(draw() % Upstreams.size()));
  return Place;
}

void world::crashUpstream() {
  auto Place = pickUpstream();
  Place->second.RefusesUntil = Time.now() + refusal_time;
  ++Place->second.Generation;
  // The connections of what it ran are closed.
  for (auto &[Name, Process] : Processes) {
    std::vector<attempt_number> Broken;
    for (const auto &[Attempt, Connection] : Process.Attempts)
      if (Connection.Upstream == Place->first)
        Broken.push_back(Attempt);
    for (attempt_number Attempt : Broken) {
      Process.Attempts.erase(Attempt);
      deliver(Process, attempt_failed{Attempt, attempt_failure::Broken,
                                      "connection closed"});
    }
  }
}

void world::silenceUpstream() { ++pickUpstream()->second.Generation; }

void world::reclaimZone(int Zone) {
  for (auto &[Name, Found] : Upstreams) {
    fake_upstream *Upstream = &Found;
    if (!Upstream->Cheap || ZoneOfUpstream[Name] != Zone ||
        Upstream->LeavingSince)
      continue;
    Upstream->LeavingSince = Time.now();
    Time.after(leave_time, [this, Upstream] {
      ++Upstream->Generation;
      Upstream->RefusesUntil = Time.now() + refusal_time;
    });
    Time.after(leave_time + refusal_time,
               [Upstream] { Upstream->LeavingSince.reset(); });
  }
}

void world::strikeRandomly() {
  if (Healed)
    return;
  // Any transmission may be the one that is struck: a fault is planned for the
  // next occurrence of a step that occurs.
  if (!Occurred.empty()) {
    auto Step = Occurred.begin();
    std::advance(Step, static_cast<long>(FaultRandom() % Occurred.size()));
    const std::vector<fault> &Faults = allFaults();
    Plan.push_back(
        {Step->first, Faults[FaultRandom() % Faults.size()], Step->second + 1});
  }
  auto Period = static_cast<uint64_t>(Options.RandomFaultPeriod.count());
  Time.after(duration(static_cast<int64_t>(FaultRandom() % (2 * Period)) + 1),
             [this] { strikeRandomly(); });
}

void world::healEverything() {
  Healed = true;
  PeersCut.clear();
  PlatformCut.clear();
  LogCut.clear();
  PlatformOutUntil = duration::zero();
  PlatformSlowUntil = duration::zero();
}

} // namespace monsoonreel::fault_matrix
