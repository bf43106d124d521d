// Simulates stewards and metering entries with a fake platform and network in
// virtual time, with random faults.
//
//   steward_site Site(Seed);
//   Site.runWithFaults(std::chrono::minutes(5));
//   Site.healAndSettle();
//   EXPECT_EQ(Site.violations(), std::vector<std::string>());
//
// The faults are: lost, duplicated and reordered messages, platform calls that
// take effect but whose answer is lost, platform outages, nodes paused for
// longer than a lease, stewards killed and restarted, clocks of different
// rates, records dropped as soon as a snapshot covers them, and one entry
// killed permanently. The platform ignores fencing numbers.

#ifndef MONSOONREEL_TESTING_STEWARD_SITE_H
#define MONSOONREEL_TESTING_STEWARD_SITE_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "monsoonreel/membership.h"
#include "monsoonreel/state_sync.h"
#include "monsoonreel/steward_node.h"
#include "monsoonreel/testing/fake_platform.h"
#include "monsoonreel/usage_holder.h"
#include "monsoonreel/usage_meter.h"

namespace monsoonreel::testing {

// The part of an entry that meters usage and replicates the configuration.
class metering_entry : public node {
public:
  explicit metering_entry(const node_identity &Self);
  void handle(const event &Event, effect_list &Effects) override;
  std::string statusJson() const override { return "{}"; }

  const ledger &operatorState() const { return Operator; }
  usage_meter &meter() { return Meter; }

private:
  void onTick(const event &Event, effect_list &Effects);
  std::vector<wire::member> others(wire::member_role::type Role) const;

  node_identity Self;
  membership Members;
  state_sync Sync;
  ledger Operator{operator_stream};
  usage_meter Meter;
  usage_holder HeldUsage;
};

class steward_site {
public:
  explicit steward_site(unsigned Seed);

  void runWithFaults(duration Length);
  // Ends all faults, runs until the site should have recovered, and checks it.
  void healAndSettle();

  // Violations that were found by this class's checks or by the nodes'
  // invariants.
  const std::vector<std::string> &violations() const { return Violations; }
  size_t reportCount() const { return Platform.Reports.size(); }
  size_t orderCount() const { return Platform.Orders.size(); }
  // How often a node had to find a snapshot because records were dropped.
  size_t snapshotStarts() const { return SnapshotStarts; }

private:
  struct machine {
    std::string Name;
    bool IsSteward = false;
    std::unique_ptr<node> Node; // null while it is down
    int64_t Starts = 0;
    double ClockRate = 1.0;
    steady_time FrozenUntil;
    std::vector<event_body> Backlog;
  };

  void start(machine &Machine);
  void step();
  void injectFaults();
  void changeConfiguration();
  void meterSomething();
  void killOneEntry();
  // Drops all records that the newest snapshot covers.
  void dropCoveredRecords();
  void deliver(machine &Machine, const event_body &Body);
  void carryOut(machine &Machine, const effect &Effect);
  void carryOutAtPlatform(machine &Machine, const effect &Effect);
  void sendMessage(const machine &From, const send_message &Message);
  void schedule(duration Delay, std::function<void()> Action);
  steady_time clockOf(const machine &Machine) const;
  void checkPlatformRecords();
  // Whether only one process held the stream's lease between two fencing
  // numbers. Each stream has one lease here.
  bool isSameHolding(std::string_view Stream, int64_t OldFence,
                     int64_t NewFence);
  void checkSettled();
  int64_t loggedTokens(const ledger &Usage) const;
  bool chance(double Probability);
  duration randomTime(duration Max);
  void require(bool Condition, const std::string &Violation);
  bool isUp(const machine &Machine) const;

  std::mt19937_64 Random;
  steady_time Now{std::chrono::seconds(100000)};
  std::vector<machine> Machines;
  fake_platform Platform;
  std::multimap<steady_time, std::function<void()>> Pending;
  bool Faulty = false;
  bool EntryRetiring = false;
  steady_time OutUntil;
  std::vector<std::string> Violations;
  int64_t MeteredTokens = 0;
  int Edits = 0;
  size_t SnapshotStarts = 0;
  size_t CheckedReports = 0;
  size_t CheckedOrders = 0;
  int64_t NewestReport = 0;
  int64_t NewestOrder = 0;
  std::map<int64_t, std::vector<wire::usage_increment>> FigureOfWindow;
};

} // namespace monsoonreel::testing

#endif // MONSOONREEL_TESTING_STEWARD_SITE_H
