// A small site in virtual time: the real reducers of entries and stewards over
// fakes of everything outside.
//
//   world World(world_options{.Seed = 7});
//   World.plan({"append/usage_close", fault::AnswerLost, 1});
//   World.run();
//   for (const std::string &Finding : World.findings())
//     std::cout << Finding << "\n";
//
// Each process has clocks of its own, so that a comparison of two machines'
// clocks shows. Faults strike the n-th transmission of a step after the site
// has settled; a random run draws them from the seed instead.

#ifndef MONSOONREEL_FAULT_MATRIX_WORLD_H
#define MONSOONREEL_FAULT_MATRIX_WORLD_H

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fault_matrix/caller_record.h"
#include "fault_matrix/fake_platform.h"
#include "fault_matrix/fake_upstreams.h"
#include "fault_matrix/steps.h"
#include "fault_matrix/virtual_time.h"
#include "monsoonreel/node.h"

namespace monsoonreel::fault_matrix {

struct world_options {
  uint64_t Seed = 1;
  int Zones = 2;
  int NodesPerZone = 2; // of each role
  // Traffic and planned faults last so long; then everything heals, and the
  // site has `settling_time` to come to rest.
  duration Length = std::chrono::seconds(50);
  // Mean time between two random faults; zero: only planned ones.
  duration RandomFaultPeriod{};
};

// Strikes the Occurrence-th transmission of Step, counted from 1 once the site
// has settled.
struct planned_fault {
  step_name Step;
  fault Fault = fault::Lost;
  int Occurrence = 1;
};

// A fault that struck, when, and whom.
struct struck_fault {
  duration At{};
  planned_fault Fault;
  std::string Target;
};

// Rates of clocks are in parts of this.
constexpr int64_t million = 1'000'000;
constexpr duration start_time = std::chrono::seconds(6);
constexpr duration settling_time = std::chrono::seconds(75);
// Longer than a lease, its margin and the time a successor waits.
constexpr duration freeze_time = std::chrono::seconds(25);
constexpr duration cut_time = std::chrono::seconds(20);
// For which the platform keeps a record.
constexpr duration retention_time = std::chrono::seconds(120);
constexpr duration restart_time = std::chrono::seconds(5);
constexpr duration long_delay = std::chrono::milliseconds(1500);
// Longer than an entry waits for the next token of a draft, and short enough
// that its second attempt still runs.
constexpr duration stall_time = std::chrono::seconds(3);
// Just under the longest time from a holder's write to its effect.
constexpr duration late_call_delay = std::chrono::milliseconds(1900);
// An entry that is cut off trusts keys for so long, on its own clock, for
// requests that must not repeat. Short, so that it ends during a cut.
constexpr duration key_trust = std::chrono::seconds(5);
constexpr duration key_trust_slack = std::chrono::milliseconds(500);
// A leaving upstream gets no new work after this time: its owner asks it for
// its load once a second, and a grant on its way may be stalled.
constexpr duration leaving_bound = stall_time + std::chrono::milliseconds(1200);
// An accepted configuration is in force everywhere within this time.
constexpr duration in_force_bound = std::chrono::seconds(9);

class world {
public:
  explicit world(world_options Options);
  ~world();

  void plan(planned_fault Fault) { Plan.push_back(std::move(Fault)); }
  void run();

  // What was broken; empty after a run without a fault in the system.
  const std::vector<std::string> &findings() const { return Findings; }
  // Steps that occurred after the site had settled, with their counts.
  const std::map<step_name, int> &occurred() const { return Occurred; }
  // Faults that struck, in their order. A run that plans these, with the same
  // seed and length and no random faults, is the same run.
  const std::vector<struck_fault> &struck() const { return Struck; }
  // Requests by how they ended, for the report of a run.
  std::map<std::string, int> outcomes() const;

private:
  struct connection {
    std::string Upstream;
    // A part of the answer was held back; what follows does not overtake it.
    duration HeldUntil{};
  };
  struct process {
    node_identity Identity;
    bool IsEntry = false;
    int Zone = 0;
    std::unique_ptr<node> Node;
    bool Up = false;
    duration StartedAt{};
    int Life = 0; // grows with every start, so that old timers stop
    duration FrozenUntil{};
    std::deque<event_body> Backlog; // while it is frozen
    duration SteadyOffset{};
    int64_t SteadyDrift = 0; // in parts of a million
    duration WallOffset{};
    std::map<request_id, size_t> CallerOf;
    // Attempts with a live connection.
    std::map<attempt_number, connection> Attempts;
    int64_t LastRequest = 0;
  };
  struct entry_kill {
    std::string Entry;
    duration At{};
  };
  // One transmission, as faults see it.
  struct transmission {
    step_name Step;
    process *Sender = nullptr;
    process *Receiver = nullptr;
    duration Delay{};
  };
  struct fault_effect {
    bool Lost = false;
    bool Doubled = false;
    bool AnswerLost = false;
    duration ExtraDelay{};
  };

  // world.cc: processes and effects
  void addProcess(bool IsEntry, int Zone, int Number);
  void start(process &Process);
  void kill(process &Process);
  // Ends the process, which starts again after `restart_time`.
  void stop(process &Process);
  void drain(process &Process);
  void freeze(process &Process);
  steady_time localTime(const process &Process) const;
  void scheduleTick(process &Process, int Life);
  void scheduleRetention();
  void deliver(process &Process, event_body Body);
  void handle(process &Process, event_body Body);
  void carryOut(process &Process, const effect &Effect);
  process *findByAddress(const address &Address);

  // world_effects.cc: one function for each kind of effect
  void carryOut(process &Process, const send_message &Effect);
  void carryOut(process &Process, const append_record &Effect);
  void carryOut(process &Process, const read_log &Effect);
  void carryOut(process &Process, const send_usage_report &Effect);
  void carryOut(process &Process, const send_order &Effect);
  void carryOut(process &Process, const dispatch_attempt &Effect);
  void carryOut(process &Process, const cancel_attempt &Effect);
  void carryOut(process &Process, const poll_load &Effect);
  void carryOut(process &Process, const read_vm_list &Effect);
  void carryOut(process &Process, const begin_answer &Effect);
  void carryOut(process &Process, const write_answer &Effect);
  void carryOut(process &Process, const finish_answer &Effect);
  void carryOut(process &Process, const abort_answer &Effect);
  void carryOut(process &Process, const refuse_request &Effect);
  void carryOut(process &Process, const report_breach &Effect);
  void carryOut(process &Process, const drain_finished &Effect);
  template <typename Other> void carryOut(process &, const Other &) {}
  void answerRead(process &Process, const read_log &Effect, int Life);
  // A report or an order: steps Kind/call, which runs TakeEffect, and
  // Kind/answer, which delivers Answer.
  void callPlatform(process &Process, const std::string &Kind,
                    const virtual_time::action &TakeEffect,
                    const event_body &Answer);
  void runAttempt(process &Process, const dispatch_attempt &Effect, int Life);
  void sendChunk(process &Process, const dispatch_attempt &Effect, int Life,
                 int Generation, int Index);
  void toAttempt(process &Process, int Life, attempt_number Attempt,
                 const step_name &Step, const event_body &Body);
  void checkKey(process &Process, request_id Request, const std::string &What);
  void checkKeyTrust(process &Process, request_id Request);
  void checkLeaving(const upstream_name &Name);
  void checkInCharge(process &Process, const std::string &Lease,
                     steady_time NotAfter);
  duration callDelay(const process &Process);
  bool isUnanswered(const process &Process) const;
  address upstreamAddress(const std::string &Name) const;
  caller_request *callerOf(process &Process, request_id Request);

  // world_faults.cc
  static std::string targetOf(const transmission &Transmission);
  fault_effect strike(const transmission &Transmission);
  void apply(fault Fault, const transmission &Transmission,
             fault_effect &Effect);
  // Runs Deliver as the faults of the transmission will have it. Returns what
  // struck, for callers that send an answer.
  fault_effect transmit(const transmission &Transmission,
                        const virtual_time::action &Deliver);
  bool isCutFromPlatform(const process &Process) const;
  bool isAnyZoneCut() const;
  bool areCut(const process &A, const process &B) const;
  bool isCutFromLog(const process &Process) const;
  void cutZone(int Zone, bool Peers, bool Platform);
  void cutLog(int Zone);
  void strikeRandomly();
  void crashUpstream();
  void silenceUpstream();
  std::map<std::string, fake_upstream>::iterator pickUpstream();
  void reclaimZone(int Zone);
  void healEverything();

  // world_traffic.cc
  void scheduleTraffic();
  void scheduleOperators();
  void sendRequests();
  void sendRequest(caller_request Request);
  void sendStreams(const char *Class, const char *KeyId, int Tokens, int Count);
  caller_request makeRequest();
  process *pickEntry();
  log_offset operate(wire::log_record Record);
  void raceOperators();
  void editConfiguration(const std::string &Author, int64_t Base);
  void giveKey(const std::string &Id, const std::string &Organisation);
  void withdrawKey(const std::string &Id);
  // Finds nodes without Offset once its record, or the node if it is the
  // younger one, has the age by which it has to be in force.
  void checkInForce(log_offset Offset);
  void checkInForceAt(const process &Process, log_offset Offset);
  std::string document() const;

  // world_judge.cc
  void judge();
  void judgeUsage();
  // Answered requests whose usage the kills may have lost; empty when there is
  // no bound.
  std::optional<int64_t> usageThatMayBeLost() const;
  bool mayLoseHeldUsage(const entry_kill &Kill) const;
  void judgeNodes();
  void judgeMembership();
  void judgeSlots();
  void judgeLeases();

  uint64_t draw() { return Random(); }
  duration jitter(duration Most) {
    return duration(
        static_cast<int64_t>(draw() % static_cast<uint64_t>(Most.count() + 1)));
  }

  world_options Options;
  std::mt19937_64 Random;
  // Of its own, so that planned faults can take the place of random ones
  // without a change of anything else.
  std::mt19937_64 FaultRandom;
  virtual_time Time;
  std::map<std::string, process> Processes;
  fake_platform Platform;
  std::map<std::string, fake_upstream> Upstreams;
  std::map<std::string, int> ZoneOfUpstream;
  execution_record Executions;
  caller_record Callers;

  std::vector<planned_fault> Plan;
  std::map<step_name, int> Occurred;
  std::vector<struck_fault> Struck;
  bool Healed = false;
  std::set<int> PeersCut;    // zones
  std::set<int> PlatformCut; // zones
  std::set<int> LogCut;      // zones
  duration PlatformOutUntil{};
  duration PlatformSlowUntil{};
  // A cut, a kill, a freeze or an outage happened: bounds on time don't hold.
  bool Disturbed = false;
  // The last record that everybody has to know at the end: stewards write
  // claims and snapshots up to then.
  log_offset MustBeKnown;
  // By lease and process: until when a write of that process may take effect.
  std::map<std::string, std::map<std::string, duration>> InChargeUntil;
  std::vector<entry_kill> Kills;
  // When an entry was killed or frozen, or zones lost each other: who held
  // batches then may have lost them or may be out of reach.
  std::vector<duration> HolderLosses;
  // A draining entry gives away what it holds, if the platform is there.
  std::vector<duration> Drains;

  int64_t OperatorSequence = 0;
  int64_t ConfigBase = 0;                   // as the operators know it
  std::map<int64_t, std::string> Documents; // by version
  int DocumentVersion = 0;
  // Key id to the time of its withdrawal.
  std::map<std::string, duration> Withdrawn;
  int CallersGone = 0;
  std::vector<std::string> Findings;
};

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_WORLD_H
