#include "load/scenario.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "monsoonreel/yaml_reader.h"

namespace monsoonreel::load {

namespace {

constexpr double max_rate = 1e5;
constexpr int max_tokens = 100000;
constexpr double max_factor = 1000;
constexpr duration longest_timeout = std::chrono::hours(1);
constexpr int max_notice_ms = 3600000;

traffic readTraffic(yaml_map &Map) {
  traffic Traffic;
  Traffic.Class = class_name(Map.text("class"));
  Traffic.Path = Map.text("path");
  Traffic.Model = Map.text("model", "");
  Traffic.Share = Map.number("share", 0.0, 1.0);
  Traffic.PromptTokens = Map.integer("prompt_tokens", 1, max_tokens, 64);
  Traffic.PrefixTokens = Map.integer("prefix_tokens", 0, max_tokens, 0);
  Traffic.MaxTokens = Map.integer("max_tokens", 1, max_tokens, 64);
  Traffic.Stream = Map.flag("stream", false);
  Traffic.Keyed = Map.flag("keyed", false);
  Traffic.Idempotent = Map.flag("idempotent", true);
  Traffic.Timeout = Map.time("timeout", std::chrono::milliseconds(1),
                             longest_timeout, Traffic.Timeout);
  return Traffic;
}

std::string faultJson(yaml_map &Map) {
  QJsonObject Fault;
  Fault["kind"] = QString::fromStdString(Map.text("kind"));
  if (Map.has("factor"))
    Fault["factor"] = Map.number("factor", 0.0, max_factor);
  if (Map.has("count"))
    Fault["count"] = Map.integer("count", 1, max_tokens);
  if (Map.has("notice_ms"))
    Fault["notice_ms"] = Map.integer("notice_ms", 0, max_notice_ms);
  if (Map.has("existing_only"))
    Fault["existing_only"] = Map.flag("existing_only");
  if (Map.has("cut_off"))
    Fault["zone"] = QString::fromStdString(Map.text("cut_off"));
  if (Map.has("answers_to"))
    Fault["path"] = QString::fromStdString(Map.text("answers_to"));
  return QJsonDocument(Fault).toJson(QJsonDocument::Compact).toStdString();
}

planned_fault readFault(yaml_map &Map) {
  planned_fault Fault;
  Fault.At = Map.number("at", 0.0, 1.0);
  Fault.Upstream = Map.text("upstream", "");
  Fault.Zone = Map.text("zone", "");
  Fault.CheapOnly = Map.flag("cheap", false);
  Fault.Platform = Map.flag("platform", false);
  Fault.Json = faultJson(Map);
  int Targets = int(!Fault.Upstream.empty()) + int(!Fault.Zone.empty()) +
                int(Fault.Platform);
  if (Targets != 1)
    Map.reject("kind", "needs one of upstream, zone and platform");
  return Fault;
}

burst readBurst(yaml_map &Map) {
  burst Burst;
  Burst.Class = class_name(Map.text("class"));
  Burst.At = Map.number("at", 0.0, 1.0);
  Burst.Length = Map.number("for", 0.0, 1.0);
  Burst.Factor = Map.number("factor", 0.0, max_factor);
  return Burst;
}

// Adds each map of a list to Items.
template <typename Item, typename Reader>
void readList(yaml_map &Root, const std::string &Key, std::vector<Item> &Items,
              Reader Read) {
  Root.maps(Key, [&](yaml_map &Map) {
    Items.push_back(Read(Map));
    Map.rejectUnknown();
  });
}

scenario readScenario(yaml_map &Root) {
  scenario Scenario;
  Scenario.RequestsPerSecond =
      Root.number("requests_per_second", 0.1, max_rate);
  Scenario.Load = Root.number("load", 0.0, max_factor, 1.0);
  readList(Root, "traffic", Scenario.Traffic, readTraffic);
  readList(Root, "organisations", Scenario.Organisations, [](yaml_map &Map) {
    return caller_share{organisation_name(Map.text("name")),
                        Map.number("weight", 0.0, max_factor, 1.0)};
  });
  readList(Root, "bursts", Scenario.Bursts, readBurst);
  readList(Root, "faults", Scenario.Faults, readFault);
  readList(Root, "withdrawals", Scenario.Withdrawals, [](yaml_map &Map) {
    return withdrawal{Map.number("at", 0.0, 1.0),
                      organisation_name(Map.text("organisation"))};
  });
  if (Scenario.Traffic.empty() || Scenario.Organisations.empty())
    Root.reject("traffic", "needs traffic and organisations");
  return Scenario;
}

} // namespace

tl::expected<scenario, finding_list> parseScenario(const std::string &Document,
                                                   const std::string &File) {
  return readYamlDocument(Document, File, readScenario);
}

} // namespace monsoonreel::load
