// Builds the two kinds of node.
//
//   std::unique_ptr<node> Entry = entry_node_builder(Identity)
//                                     .seeds(Settings.Seeds)
//                                     .policy(Settings.Policy)
//                                     .build();
//   std::unique_ptr<node> Steward =
//       steward_node_builder(Identity).seeds(Settings.Seeds).build();
//
// Seeds are addresses of peers that are known at the start; more are learned
// from them and from the platform's list of VMs.

#ifndef MONSOONREEL_NODE_BUILDER_H
#define MONSOONREEL_NODE_BUILDER_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/node.h"

namespace monsoonreel {

// Builds the node of `monsoonreel-entry`: callers' requests and the queues.
class entry_node_builder {
public:
  explicit entry_node_builder(node_identity Identity);

  entry_node_builder &seeds(std::vector<address> Addresses);
  // One of the names in scheduling_policy.h; "tiered" by default.
  entry_node_builder &policy(std::string Name);

  std::unique_ptr<node> build() const;

private:
  node_identity Identity;
  std::vector<address> Seeds;
  std::string Policy = "tiered";
};

// Builds the node of `monsoonreel-steward`: the platform's log and what is
// done under its leases.
class steward_node_builder {
public:
  explicit steward_node_builder(node_identity Identity);

  steward_node_builder &seeds(std::vector<address> Addresses);
  // The longest time between two snapshots of a stream.
  steward_node_builder &snapshotPeriod(duration Period);

  std::unique_ptr<node> build() const;

private:
  node_identity Identity;
  std::vector<address> Seeds;
  std::optional<duration> SnapshotPeriod;
};

} // namespace monsoonreel

#endif // MONSOONREEL_NODE_BUILDER_H
