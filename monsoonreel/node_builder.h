// Builders of entry and steward nodes.
//
//   std::unique_ptr<node> Entry = entry_node_builder(Identity)
//                                     .seeds(Settings.Seeds)
//                                     .policy(Settings.Policy)
//                                     .build();
//   std::unique_ptr<node> Steward =
//       steward_node_builder(Identity).seeds(Settings.Seeds).build();
//
// Seeds are the addresses of peers that a node contacts first. It discovers
// further peers from them and from the platform's list of VMs.

#ifndef MONSOONREEL_NODE_BUILDER_H
#define MONSOONREEL_NODE_BUILDER_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/node.h"

namespace monsoonreel {

// Builds the node of `monsoonreel-entry`, which serves callers' requests and
// runs the queues.
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

// Builds the node of `monsoonreel-steward`, which follows the platform's log
// and performs the tasks that need a lease.
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
