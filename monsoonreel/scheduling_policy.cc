#include "monsoonreel/scheduling_policy.h"

#include <algorithm>
#include <array>

namespace monsoonreel {

namespace {

// The components of a named policy.
struct policy_parts {
  const char *Name;
  std::unique_ptr<request_queue> (*MakeQueue)();
  std::unique_ptr<placement_policy> (*MakePlacement)();
  std::unique_ptr<admission_policy> (*MakeAdmission)();
  bool UsesTiers;
};

constexpr std::array<policy_parts, 5> Policies = {{
    {"tiered", makeFairQueue, makeLeastWorkPlacement, makeLenientAdmission,
     true},
    {"tiered-deadline", makeFairQueue, makeLeastWorkPlacement,
     makeDeadlineAdmission, true},
    {"tiered-target", makeFairQueue, makeLeastWorkPlacement,
     makeTargetAdmission, true},
    {"least-in-flight", makeFifoQueue, makeLeastInFlightPlacement, makeAdmitAll,
     false},
    {"round-robin-fifo", makeFifoQueue, makeRoundRobinPlacement, makeAdmitAll,
     false},
}};

class composed_policy : public scheduling_policy {
public:
  explicit composed_policy(const policy_parts &Parts) : Parts(Parts) {}

  std::unique_ptr<request_queue> makeQueue() const override {
    return Parts.MakeQueue();
  }
  std::unique_ptr<placement_policy> makePlacement() const override {
    return Parts.MakePlacement();
  }
  std::unique_ptr<admission_policy> makeAdmission() const override {
    return Parts.MakeAdmission();
  }
  bool usesTiers() const override { return Parts.UsesTiers; }

private:
  policy_parts Parts;
};

} // namespace

std::shared_ptr<const scheduling_policy>
makeSchedulingPolicy(const std::string &Name) {
  const auto *Found =
      std::find_if(Policies.begin(), Policies.end(),
                   [&](const policy_parts &P) { return Name == P.Name; });
  if (Found == Policies.end())
    return nullptr;
  return std::make_shared<composed_policy>(*Found);
}

std::vector<std::string> schedulingPolicyNames() {
  std::vector<std::string> Names;
  Names.reserve(Policies.size());
  for (const policy_parts &Parts : Policies)
    Names.emplace_back(Parts.Name);
  return Names;
}

} // namespace monsoonreel
