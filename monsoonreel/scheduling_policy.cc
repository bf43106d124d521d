#include "monsoonreel/scheduling_policy.h"

namespace monsoonreel {

namespace {

class tiered_policy : public scheduling_policy {
public:
  std::unique_ptr<request_queue> makeQueue() const override {
    return makeFairQueue();
  }
  std::unique_ptr<placement_policy> makePlacement() const override {
    return makeLeastWorkPlacement();
  }
  std::unique_ptr<admission_policy> makeAdmission() const override {
    return makeLenientAdmission();
  }
  bool usesTiers() const override { return true; }
};

class tiered_deadline_policy : public tiered_policy {
public:
  std::unique_ptr<admission_policy> makeAdmission() const override {
    return makeDeadlineAdmission();
  }
};

class tiered_target_policy : public tiered_policy {
public:
  std::unique_ptr<admission_policy> makeAdmission() const override {
    return makeTargetAdmission();
  }
};

class least_in_flight_policy : public scheduling_policy {
public:
  std::unique_ptr<request_queue> makeQueue() const override {
    return makeFifoQueue();
  }
  std::unique_ptr<placement_policy> makePlacement() const override {
    return makeLeastInFlightPlacement();
  }
  std::unique_ptr<admission_policy> makeAdmission() const override {
    return makeOpenAdmission();
  }
  bool usesTiers() const override { return false; }
};

class round_robin_policy : public least_in_flight_policy {
public:
  std::unique_ptr<placement_policy> makePlacement() const override {
    return makeRoundRobinPlacement();
  }
};

} // namespace

std::shared_ptr<const scheduling_policy>
makeSchedulingPolicy(const std::string &Name) {
  if (Name == "tiered")
    return std::make_shared<tiered_policy>();
  if (Name == "tiered-deadline")
    return std::make_shared<tiered_deadline_policy>();
  if (Name == "tiered-target")
    return std::make_shared<tiered_target_policy>();
  if (Name == "least-in-flight")
    return std::make_shared<least_in_flight_policy>();
  if (Name == "round-robin-fifo")
    return std::make_shared<round_robin_policy>();
  return nullptr;
}

std::vector<std::string> schedulingPolicyNames() {
  return {"tiered", "tiered-deadline", "tiered-target", "least-in-flight",
          "round-robin-fifo"};
}

} // namespace monsoonreel
