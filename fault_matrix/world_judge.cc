// What must hold once a run has ended and everything has healed.

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "fault_matrix/world.h"
#include "monsoonreel/ledger.h"

namespace monsoonreel::fault_matrix {

namespace {

// A batch is cut each second, and a lost hold is sent again after half a
// second.
constexpr duration unheld_usage_time = std::chrono::seconds(2);
// From the loss of a holder until another one has every batch.
constexpr duration holder_recovery_time = std::chrono::seconds(45);
// Until a dead entry's held batches are in the log, with an outage between.
constexpr duration held_usage_time = std::chrono::seconds(25);

} // namespace

void world::judge() {
  Callers.judge(Executions, Findings);
  for (const std::string &Finding : Platform.findings())
    Findings.push_back(Finding);
  judgeNodes();
  judgeMembership();
  judgeSlots();
  judgeLeases();
  judgeUsage();
}

// Everybody has what was accepted, and only that.
void world::judgeNodes() {
  for (auto &[Name, Process] : Processes) {
    if (!Process.Up) {
      Findings.push_back(Name + " is not running at the end");
      continue;
    }
    auto Status = nlohmann::json::parse(Process.Node->statusJson());
    if (Status["ledger_offset"] < MustBeKnown.Value)
      Findings.push_back(Name + " has ledger offset " +
                         Status["ledger_offset"].dump() + " and not " +
                         std::to_string(MustBeKnown.Value));
    if (Status["configuration_offset"] != ConfigBase)
      Findings.push_back(Name + " has configuration " +
                         Status["configuration_offset"].dump() + " and not " +
                         std::to_string(ConfigBase));
  }
}

// Whoever was cut off has found the others again.
void world::judgeMembership() {
  for (auto &[Name, Process] : Processes) {
    if (!Process.Up)
      continue;
    auto Status = nlohmann::json::parse(Process.Node->statusJson());
    // Each counts itself.
    size_t Live = Process.IsEntry
                      ? Status["entries"].size() + Status["stewards"].size()
                      : Status["live_members"].get<size_t>();
    if (Live != Processes.size())
      Findings.push_back(Name + " holds " + std::to_string(Live) +
                         " members live and not " +
                         std::to_string(Processes.size()));
  }
}

// Nothing runs any more, so no owner holds a slot for anybody.
void world::judgeSlots() {
  for (auto &[Name, Process] : Processes) {
    if (!Process.Up || !Process.IsEntry)
      continue;
    auto Status = nlohmann::json::parse(Process.Node->statusJson());
    if (Status["granted_slots"] != 0) {
      std::string Finding = Name + " still has ";
      Finding += Status["granted_slots"].dump() + " slots granted";
      Finding += ", and nothing runs";
      Findings.push_back(std::move(Finding));
    }
    if (Status["active_requests"] != 0)
      Findings.push_back(Name + " still has active requests");
  }
}

// Of the claims that a steward has replayed it takes those for valid that are.
void world::judgeLeases() {
  for (auto &[Name, Process] : Processes) {
    if (!Process.Up || Process.IsEntry)
      continue;
    auto Status = nlohmann::json::parse(Process.Node->statusJson());
    for (const auto &[Lease, State] : Status["leases"].items()) {
      std::string_view Stream =
          Lease == usage_lease ? usage_stream : operator_stream;
      log_offset Applied{Status["streams"][std::string(Stream)]["applied"]};
      int64_t Valid = Platform.reference().fenceAt(Lease, Applied);
      if (State["fence"] == Valid)
        continue;
      std::string Finding = Name + " takes claim " + State["fence"].dump();
      Finding += " of " + Lease;
      Finding += " for the current one, not " + std::to_string(Valid);
      Findings.push_back(std::move(Finding));
    }
  }
}

// A killed entry's batches are with their holder, unless that was lost shortly
// before or, while they may wait for the log, after.
bool world::mayLoseHeldUsage(const entry_kill &Kill) const {
  auto IsNear = [&](duration Loss) {
    return Loss != Kill.At && Loss > Kill.At - holder_recovery_time;
  };
  auto IsNearDrain = [&](duration Drain) {
    return IsNear(Drain) && Drain < Kill.At + held_usage_time;
  };
  return std::any_of(HolderLosses.begin(), HolderLosses.end(), IsNear) ||
         std::any_of(Drains.begin(), Drains.end(), IsNearDrain);
}

std::optional<int64_t> world::usageThatMayBeLost() const {
  int64_t Sum = 0;
  for (const entry_kill &Kill : Kills) {
    if (mayLoseHeldUsage(Kill))
      return std::nullopt;
    for (const caller_request &Request : Callers.all())
      if (Request.Entry == Kill.Entry && Request.Finished &&
          Request.FinishedAt <= Kill.At &&
          Request.FinishedAt > Kill.At - unheld_usage_time)
        ++Sum;
  }
  return Sum;
}

// Each answered request is reported once. One that ran for a caller who had
// left may be reported too; those of a killed entry's last moment may be lost.
void world::judgeUsage() {
  int64_t Reported = 0;
  for (const auto &[Window, Figures] : Platform.reports())
    for (const wire::usage_increment &Increment : Figures)
      Reported += Increment.Requests;
  int64_t Answered = 0;
  for (size_t Number = 0; Number < Callers.all().size(); ++Number)
    if (Callers.at(Number).Finished && Executions.countOfCaller(Number) > 0)
      ++Answered;
  std::string Figures = std::to_string(Reported) + " requests reported, " +
                        std::to_string(Answered) + " answered";
  if (Reported > Answered + CallersGone)
    Findings.push_back("usage was counted twice: " + Figures);
  std::optional<int64_t> MayBeLost = usageThatMayBeLost();
  if (MayBeLost && Reported < Answered - *MayBeLost)
    Findings.push_back("usage was lost: " + Figures);
}

} // namespace monsoonreel::fault_matrix
