#include "io/explain_handler.h"

#include <optional>

#include <QRandomGenerator>

#include <nlohmann/json.hpp>

#include "io/clock.h"
#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

const http_header_list json_type = {{"Content-Type", "application/json"}};

std::string textOf(const nlohmann::json &Value) {
  // Names that are not UTF-8 must not prevent an answer.
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

void refuse(http_exchange &Exchange, int Status, const std::string &Code) {
  Exchange.answer(Status, json_type, textOf({{"error", {{"code", Code}}}}));
}

double toMs(duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

// Returns nothing unless the body is an object of texts that names a host and a
// path.
std::optional<explained_request> decode(const std::string &Body) {
  auto Object =
      nlohmann::json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Object.is_object())
    return std::nullopt;
  bool IsValid = true;
  auto Text = [&](const char *Field) -> std::optional<std::string> {
    auto It = Object.find(Field);
    if (It == Object.end() || It->is_null())
      return std::nullopt;
    if (It->is_string())
      return It->get<std::string>();
    IsValid = false;
    return std::nullopt;
  };
  auto Host = Text("host");
  auto Path = Text("path");
  if (!Host || !Path)
    return std::nullopt;
  explained_request Asked{*Host, *Path, Text("key"), Text("tokens"),
                          Text("parts")};
  return IsValid ? std::optional(Asked) : std::nullopt;
}

nlohmann::json encode(const explained_upstream &Each, const explanation &Why) {
  nlohmann::json Object = {{"upstream", Each.Name.Value},
                           {"zone", Each.Zone.Value}};
  if (Each.ReportAge)
    Object["report_age_ms"] = toMs(*Each.ReportAge);
  if (!Each.Excluded.empty()) {
    Object["excluded"] = Each.Excluded;
    return Object;
  }
  const placement &Option = Each.Option;
  Object["cost"] = Option.Cost;
  Object["running"] = Option.Use.Running;
  Object["paced"] = Option.Use.PacedStreams;
  Object["unread_before"] = Option.Use.UnreadTokens;
  if (!Why.Rank)
    return Object;
  Object["unread"] = Option.UnreadTokens;
  Object["cached"] = Each.CachedTokens;
  if (Option.FetchFrom)
    Object["fetch_from"] = Option.FetchFrom->Entry.Name.Value;
  if (Why.InMilliseconds) {
    Object["predicted_ms"] = toMs(Option.FirstEvent);
    Object["late"] = Option.IsLate;
  }
  return Object;
}

nlohmann::json encode(const explanation &Why) {
  nlohmann::json Object = {{"route", Why.Route},
                           {"service", Why.Service.Value},
                           {"urgency", toText(Why.Urgency)},
                           {"config_version", Why.ConfigVersion},
                           {"registry_age_ms", toMs(Why.RegistryAge)},
                           {"sampled", Why.IsSampled},
                           {"listed", Why.Listed},
                           {"upstreams", nlohmann::json::array()}};
  if (Why.Rank)
    Object["rank"] = *Why.Rank;
  if (!Why.Asked.empty())
    Object["asked"] = Why.Asked.Value;
  if (!Why.Chosen.empty())
    Object["chosen"] = Why.Chosen.Value;
  if (!Why.Refused.empty())
    Object["refused"] = Why.Refused;
  for (const explained_upstream &Each : Why.Upstreams)
    Object["upstreams"].push_back(encode(Each, Why));
  return Object;
}

} // namespace

bool explain_handler::take(steady_time Now) {
  while (!AnsweredAt.empty() && Now - AnsweredAt.front() >= explanation_window)
    AnsweredAt.pop_front();
  if (AnsweredAt.size() >= max_explanations)
    return false;
  AnsweredAt.push_back(Now);
  return true;
}

void explain_handler::handleRequest(
    const http_request &Request,
    const std::shared_ptr<http_exchange> &Exchange) {
  if (Request.Method != "POST")
    return refuse(*Exchange, http_status::method_not_allowed, "use-post");
  steady_time Now = bootNow();
  if (!take(Now))
    return refuse(*Exchange, http_status::too_many_requests, "too-often");
  auto Asked = decode(Request.Body);
  if (!Asked)
    return refuse(*Exchange, http_status::bad_request, "bad-body");
  explanation Why =
      Node.explain(Dialect.decodeExplained(*Asked), Now, wallNow(),
                   QRandomGenerator::global()->generate64());
  if (Why.Status != http_status::ok)
    return refuse(*Exchange, Why.Status, Why.Code);
  Exchange->answer(http_status::ok, json_type, textOf(encode(Why)));
}

} // namespace monsoonreel
