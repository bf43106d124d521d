#include "monsoonreel/node_builder.h"

#include <utility>

#include "monsoonreel/entry_node.h"
#include "monsoonreel/steward_node.h"

namespace monsoonreel {

entry_node_builder::entry_node_builder(node_identity Identity)
    : Identity(std::move(Identity)) {}

entry_node_builder &entry_node_builder::seeds(std::vector<address> Addresses) {
  Seeds = std::move(Addresses);
  return *this;
}

entry_node_builder &entry_node_builder::policy(std::string Name) {
  Policy = std::move(Name);
  return *this;
}

std::unique_ptr<node> entry_node_builder::build() const {
  return std::make_unique<entry_node>(Identity, Seeds, Policy);
}

steward_node_builder::steward_node_builder(node_identity Identity)
    : Identity(std::move(Identity)) {}

steward_node_builder &
steward_node_builder::seeds(std::vector<address> Addresses) {
  Seeds = std::move(Addresses);
  return *this;
}

steward_node_builder &steward_node_builder::snapshotPeriod(duration Period) {
  SnapshotPeriod = Period;
  return *this;
}

std::unique_ptr<node> steward_node_builder::build() const {
  return std::make_unique<steward_node>(
      Identity, Seeds, SnapshotPeriod.value_or(default_snapshot_period));
}

} // namespace monsoonreel
