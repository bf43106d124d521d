#include "cli/site_view.h"

#include <algorithm>
#include <map>

#include "cli/blocking_call.h"
#include "io/clock.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

constexpr duration view_timeout = std::chrono::seconds(2);
constexpr duration look_pause = std::chrono::milliseconds(100);

struct zone_progress {
  int InForce = 0;
  std::vector<std::string> Behind;
  std::vector<std::string> NotReached;
};

void report(const std::vector<node_view> &Views, log_offset Offset,
            output &Output) {
  std::map<std::string, zone_progress> Zones;
  for (const node_view &View : Views) {
    zone_progress &Zone = Zones[View.zone()];
    if (!View.Status)
      Zone.NotReached.push_back(View.Admin.Value);
    else if (View.ledgerOffset() >= Offset.Value)
      ++Zone.InForce;
    else
      Zone.Behind.push_back(View.name());
  }
  for (const auto &[Name, Zone] : Zones) {
    std::string Label = Name.empty() ? "zone unknown" : "zone " + Name;
    Output.line(fmt::format("{}: in force at {} node(s), behind: {}, not "
                            "reached: {}",
                            Label, Zone.InForce, Zone.Behind.size(),
                            Zone.NotReached.size()));
    for (const std::string &Node : Zone.Behind)
      Output.line("  behind: " + Node);
    for (const std::string &Node : Zone.NotReached)
      Output.line("  not reached: " + Node);
    Output.json()["zones"][Name] = {{"in_force", Zone.InForce},
                                    {"behind", Zone.Behind},
                                    {"not_reached", Zone.NotReached}};
  }
}

} // namespace

std::string node_view::zone() const {
  return Status ? Status->value("zone", "") : "";
}

std::string node_view::name() const {
  return Status ? Status->value("name", "") : Admin.Value;
}

int64_t node_view::ledgerOffset() const {
  return Status ? Status->value("ledger_offset", int64_t{0}) : -1;
}

std::vector<node_view> viewNodes(const std::vector<address> &Nodes) {
  std::vector<http_call> Calls;
  Calls.reserve(Nodes.size());
  for (const address &Node : Nodes)
    Calls.push_back({Node, "GET", "/status", "", view_timeout});
  std::vector<http_result> Results = callAllAndWait(Calls);
  std::vector<node_view> Views;
  for (size_t I = 0; I < Nodes.size(); ++I) {
    node_view View{Nodes[I], std::nullopt};
    auto Parsed = nlohmann::json::parse(Results[I].Body, nullptr, false);
    if (Results[I].Status == 200 && Parsed.is_object())
      View.Status = std::move(Parsed);
    Views.push_back(std::move(View));
  }
  return Views;
}

int waitInForce(const options &Options, log_offset Offset, output &Output) {
  if (Options.Nodes.empty()) {
    Output.line("give --nodes to see where it is in force");
    return exit_done;
  }
  steady_time End = steadyNow() + Options.Timeout;
  while (true) {
    std::vector<node_view> Views = viewNodes(Options.Nodes);
    bool Everywhere =
        std::all_of(Views.begin(), Views.end(), [&](const node_view &View) {
          return View.ledgerOffset() >= Offset.Value;
        });
    bool Late = steadyNow() >= End;
    if (Everywhere || Late) {
      report(Views, Offset, Output);
      return Everywhere ? exit_done : exit_not_everywhere;
    }
    pause(look_pause);
  }
}

} // namespace monsoonreel::cli
