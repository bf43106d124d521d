// What the nodes of a site say about themselves.

#ifndef CLI_SITE_VIEW_H
#define CLI_SITE_VIEW_H

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/options.h"

namespace monsoonreel::cli {

struct node_view {
  address Admin;
  // Nothing when the node was not reached.
  std::optional<nlohmann::json> Status;

  std::string zone() const;
  std::string name() const;
  int64_t ledgerOffset() const; // -1 when the node was not reached
};

// Asks all nodes at once.
std::vector<node_view> viewNodes(const std::vector<address> &Nodes);

// Waits until all nodes have replayed the operator stream up to Offset, and
// says zone by zone where that is so. Returns an exit status.
int waitInForce(const options &Options, log_offset Offset, output &Output);

} // namespace monsoonreel::cli

#endif // CLI_SITE_VIEW_H
