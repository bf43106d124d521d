// What the command line's commands have in common: options, exit statuses and
// output.

#ifndef CLI_OPTIONS_H
#define CLI_OPTIONS_H

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

// Exit statuses.
constexpr int exit_done = 0;
constexpr int exit_usage = 1;
constexpr int exit_findings = 2;
// Another edit came first, or the log holds a record that speaks against it.
constexpr int exit_conflict = 3;
// The platform or a node can't be reached; what was asked may have happened.
constexpr int exit_unreachable = 4;
// Done, but not in force everywhere within the time allowed.
constexpr int exit_not_everywhere = 5;

struct options {
  address Platform;
  std::vector<address> Nodes; // admin addresses
  std::string Author;
  duration Timeout = std::chrono::seconds(15);
  bool Json = false;
  int64_t Base = -1; // -1: the version in force
};

// A version of the configuration as an operator writes it; nothing when Text is
// not a whole number of 0 or more.
std::optional<int64_t> parseVersion(const std::string &Text);

// A command's result: its JSON object, or its text for people.
class output {
public:
  explicit output(bool Json) : Json(Json) {}

  // A line for people; left out of JSON output.
  void line(const std::string &Text);
  // The same without an end of line.
  void text(const std::string &Text);
  nlohmann::json &json() { return Object; }
  // Prints the JSON object when that was asked for.
  void finish();

private:
  bool Json;
  nlohmann::json Object = nlohmann::json::object();
};

} // namespace monsoonreel::cli

#endif // CLI_OPTIONS_H
