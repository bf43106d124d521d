#include <algorithm>
#include <iostream>

#include <QByteArray>
#include <QList>

#include "cli/blocking_call.h"
#include "cli/commands.h"
#include "monsoonreel/http_status.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

constexpr duration answer_timeout = std::chrono::seconds(2);
constexpr int exit_not_explained = 1;
constexpr int exit_wrong_arguments = 2;

bool isCount(const QByteArray &Text) {
  bool IsNumber = false;
  return Text.toInt(&IsNumber) >= 0 && IsNumber;
}

// "PROMPT,OUTPUT"
bool areTokens(const std::string &Text) {
  QList<QByteArray> Pair = QByteArray::fromStdString(Text).split(',');
  return Pair.size() == 2 && isCount(Pair.front()) && isCount(Pair.back());
}

// "ID:TOKENS,..."
bool areParts(const std::string &Text) {
  QList<QByteArray> Items = QByteArray::fromStdString(Text).split(',');
  return std::all_of(Items.begin(), Items.end(), [](const QByteArray &Item) {
    QList<QByteArray> Pair = Item.split(':');
    return Pair.size() == 2 && !Pair.front().isEmpty() && isCount(Pair.back());
  });
}

// Returns what is wrong with the arguments; empty if nothing is.
std::string findingIn(const explain_options &Asked) {
  QList<QByteArray> Entry = QByteArray::fromStdString(Asked.Entry).split(':');
  if (Entry.size() != 2 || Entry.front().isEmpty() ||
      Entry.back().toUShort() == 0)
    return "give the address of an entry's metrics by --entry HOST:PORT";
  if (Asked.Host.empty())
    return "give the host of the request by --host";
  if (!Asked.Path.starts_with("/"))
    return "give the path of the request by --path; it begins with a slash";
  if (!Asked.Tokens.empty() && !areTokens(Asked.Tokens))
    return "--tokens is PROMPT,OUTPUT";
  if (!Asked.Parts.empty() && !areParts(Asked.Parts))
    return "--parts is ID:TOKENS,...";
  return "";
}

std::string bodyOf(const explain_options &Asked) {
  nlohmann::json Body = {{"host", Asked.Host}, {"path", Asked.Path}};
  auto Add = [&](const char *Field, const std::string &Value) {
    if (!Value.empty())
      Body[Field] = Value;
  };
  Add("key", Asked.Key);
  Add("tokens", Asked.Tokens);
  Add("parts", Asked.Parts);
  // Arguments that are not UTF-8 cannot be valid.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string errorOf(const http_result &Result, const explain_options &Asked) {
  switch (Result.Status) {
  case 0:
    return fmt::format("{} did not answer: {}", Asked.Entry, Result.Error);
  case http_status::not_found:
    return fmt::format("no route for host {} and path {}", Asked.Host,
                       Asked.Path);
  case http_status::unauthorized:
    return Asked.Key.empty() ? "the route needs a key" : "the key is unknown";
  case http_status::too_many_requests:
    return fmt::format("{} was asked too often; try again in a second",
                       Asked.Entry);
  default:
    break;
  }
  auto Body = nlohmann::json::parse(Result.Body, nullptr, false);
  nlohmann::json::json_pointer Place("/error/code");
  std::string Code =
      Body.is_object() && Body.contains(Place) && Body[Place].is_string()
          ? Body[Place].get<std::string>()
          : "none";
  if (Code == "starting")
    return fmt::format("{} has no configuration yet", Asked.Entry);
  return fmt::format("{} answered with status {}, code {}", Asked.Entry,
                     Result.Status, Code);
}

// Returns a field of an upstream as the text of a column.
std::string column(const nlohmann::json &Row, const char *Field) {
  auto It = Row.find(Field);
  if (It == Row.end())
    return "-";
  if (It->is_string())
    return It->get<std::string>();
  return It->is_number_float() ? fmt::format("{:.1f}", It->get<double>())
                               : It->dump();
}

void printTable(const nlohmann::json &Answer) {
  for (const char *Field :
       {"route", "service", "urgency", "rank", "config_version",
        "registry_age_ms", "listed", "asked", "chosen", "refused"})
    if (Answer.contains(Field))
      std::cout << fmt::format("{:<16} {}\n", Field, column(Answer, Field));
  if (Answer.value("sampled", false))
    std::cout << "The choice compares a random sample of the upstreams.\n";
  constexpr const char *Format =
      "{:<20} {:<10} {:>9} {:>9} {:>7} {:>5} {:>8} {:>7} {:>7} {:>7}  {}\n";
  std::cout << "\n"
            << fmt::format(Format, "upstream", "zone", "cost", "first ms",
                           "running", "paced", "ahead", "unread", "cached",
                           "age ms", "excluded");
  for (const nlohmann::json &Row :
       Answer.value("upstreams", nlohmann::json::array()))
    std::cout << fmt::format(
        Format, column(Row, "upstream"), column(Row, "zone"),
        column(Row, "cost"), column(Row, "predicted_ms"),
        column(Row, "running"), column(Row, "paced"),
        column(Row, "unread_before"), column(Row, "unread"),
        column(Row, "cached"), column(Row, "report_age_ms"),
        Row.contains("excluded") ? column(Row, "excluded") : "");
}

} // namespace

int explainRequest(const explain_options &Asked) {
  if (std::string Finding = findingIn(Asked); !Finding.empty()) {
    std::cerr << Finding << "\n";
    return exit_wrong_arguments;
  }
  http_result Result = callAndWait({address(Asked.Entry), "POST", "/explain",
                                    bodyOf(Asked), answer_timeout});
  if (Result.Status != http_status::ok) {
    std::cerr << errorOf(Result, Asked) << "\n";
    return exit_not_explained;
  }
  auto Answer = nlohmann::json::parse(Result.Body, nullptr, false);
  if (!Answer.is_object()) {
    std::cerr << Asked.Entry << " did not answer with a JSON object\n";
    return exit_not_explained;
  }
  if (Asked.Json)
    std::cout << Answer.dump(2) << "\n";
  else
    printTable(Answer);
  return exit_done;
}

} // namespace monsoonreel::cli
