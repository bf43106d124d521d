#include <algorithm>
#include <iostream>

#include "cli/blocking_call.h"
#include "cli/commands.h"
#include "cli/site_view.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

void printNode(const node_view &View, output &Output) {
  Output.json()["nodes"].push_back(
      {{"admin", View.Admin.Value},
       {"reached", View.Status.has_value()},
       {"status", View.Status.value_or(nlohmann::json())}});
  if (!View.Status)
    return Output.line(fmt::format("{:<22} not reached", View.Admin.Value));
  const nlohmann::json &Status = *View.Status;
  Output.line(fmt::format(
      "{:<22} {:<8} {:<12} zone={} ledger={} version={} draining={}",
      View.Admin.Value, Status.value("role", ""), View.name(), View.zone(),
      View.ledgerOffset(), Status.value("configuration_offset", int64_t{0}),
      Status.value("draining", false)));
  const nlohmann::json Leases =
      Status.value("leases", nlohmann::json::object());
  for (const auto &[Name, Lease] : Leases.items())
    Output.line(fmt::format("{:<22}   lease {} held by {} fence {}", "", Name,
                            Lease.value("holder", ""),
                            Lease.value("fence", int64_t{0})));
}

} // namespace

int showStatus(const options &Options) {
  if (Options.Nodes.empty()) {
    std::cerr << "give the nodes' admin addresses by --nodes\n";
    return exit_usage;
  }
  output Output(Options.Json);
  std::vector<node_view> Views = viewNodes(Options.Nodes);
  for (const node_view &View : Views)
    printNode(View, Output);
  Output.finish();
  bool AllReached =
      std::all_of(Views.begin(), Views.end(), [](const node_view &View) {
        return View.Status.has_value();
      });
  return AllReached ? exit_done : exit_unreachable;
}

int drainNode(const options &Options, const std::string &Admin) {
  http_result Result =
      callAndWait({address(Admin), "POST", "/drain", "", Options.Timeout});
  if (Result.Status != 202) {
    std::cerr << Admin << " can't be reached: " << Result.Error << "\n";
    return exit_unreachable;
  }
  output Output(Options.Json);
  Output.line(Admin + " is draining; it ends when what it runs has ended");
  Output.json()["draining"] = Admin;
  Output.finish();
  return exit_done;
}

} // namespace monsoonreel::cli
