// The scheduling policies of the queues, by their names in the settings.
//
//   std::shared_ptr<const scheduling_policy> Policy =
//       makeSchedulingPolicy("tiered");
//   if (!Policy)
//     ... there is no such policy ...
//
//   tiered            tiers, fairness between organisations, minimum shares,
//                     admission by the caller's deadline and leniently by
//                     the class's target, preemption, least-work placement
//   tiered-deadline   the same with admission by the caller's deadline alone
//   tiered-target     the same with admission strictly by both
//   least-in-flight   arrival order, the upstream with the fewest requests
//   round-robin-fifo  arrival order, the upstreams in turn
//
// All but the first are baselines for measurements.

#ifndef MONSOONREEL_SCHEDULING_POLICY_H
#define MONSOONREEL_SCHEDULING_POLICY_H

#include <memory>
#include <string>
#include <vector>

#include "monsoonreel/admission.h"
#include "monsoonreel/placement.h"
#include "monsoonreel/request_queue.h"

namespace monsoonreel {

class scheduling_policy {
public:
  virtual ~scheduling_policy() = default;
  virtual std::unique_ptr<request_queue> makeQueue() const = 0;
  virtual std::unique_ptr<placement_policy> makePlacement() const = 0;
  virtual std::unique_ptr<admission_policy> makeAdmission() const = 0;
  // Whether the queue uses tiers: minimum shares, preemption and shedding by
  // tier.
  virtual bool usesTiers() const = 0;
};

// Returns nullptr for an unknown name.
std::shared_ptr<const scheduling_policy>
makeSchedulingPolicy(const std::string &Name);
std::vector<std::string> schedulingPolicyNames();

} // namespace monsoonreel

#endif // MONSOONREEL_SCHEDULING_POLICY_H
