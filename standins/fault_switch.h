// The faults that a test switches on in a stand-in.
//
//   fault_switch Faults;
//   Faults.apply(*parseFault(R"({"kind":"slow","factor":4})"));
//   Engine.setSlowFactor(Faults.slowFactor());
//
// Faults of different kinds add up; "none" clears all of them.

#ifndef STANDINS_FAULT_SWITCH_H
#define STANDINS_FAULT_SWITCH_H

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::standin {

enum class fault_kind {
  None,
  Silent,     // connections are accepted and never answered
  Slow,       // everything takes Factor times as long
  Crash,      // all connections are closed and new ones refused
  LoseAnswer, // Count requests take effect and get no answer
  Out,        // every request is refused with 503
  Partition,  // connections that come by Zone's port are silent
  Reclaim,    // notice now, crash after Notice
};

struct fault {
  fault_kind Kind = fault_kind::None;
  double Factor = 1.0;
  int Count = 1;
  duration Notice = std::chrono::seconds(4);
  // With Silent: only connections that are open now, or new ones as well.
  bool ExistingOnly = false;
  // With Crash: the process ends.
  bool Exit = false;
  // With LoseAnswer: only requests whose path starts like this.
  std::string PathPrefix;
  std::string Zone;
};

// Empty when Json is no fault.
std::optional<fault> parseFault(std::string_view Json);

class fault_switch {
public:
  void apply(const fault &Fault);

  bool silent() const { return Silent; }
  bool crashed() const { return Crashed; }
  bool out() const { return Out; }
  bool leaving() const { return Leaving; }
  double slowFactor() const { return SlowFactor; }
  bool partitioned(const std::string &Zone) const {
    return PartitionedZones.contains(Zone);
  }
  // Whether the answer to this request is lost. Counts it when it is.
  bool losesAnswer(std::string_view Path);

private:
  bool Silent = false;
  bool Crashed = false;
  bool Out = false;
  bool Leaving = false;
  double SlowFactor = 1.0;
  int AnswersToLose = 0;
  std::string LosePrefix;
  std::set<std::string> PartitionedZones;
};

} // namespace monsoonreel::standin

#endif // STANDINS_FAULT_SWITCH_H
