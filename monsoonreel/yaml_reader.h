// Reads values out of a YAML map and collects everything that is wrong.
//
//   finding_list Findings;
//   yaml_map Root(Document, "site.yaml", "", Findings);
//   std::string Name = Root.text("name");
//   int Tier = Root.integer("tier", 0, max_tier);
//   Root.rejectUnknown();
//
// A reader given a list of fields adds to it what it accepts at each key, so
// that the documentation is made of the same calls as the check.
//
// A reader returns the default value when the value is missing or wrong, and
// adds a finding with its line, column and dotted path, so that one run reports
// all findings.

#ifndef MONSOONREEL_YAML_READER_H
#define MONSOONREEL_YAML_READER_H

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>
#include <yaml-cpp/yaml.h>

#include "monsoonreel/finding.h"
#include "monsoonreel/types.h"
#include "monsoonreel/yaml_field.h"

namespace monsoonreel {

// Parses Text; a syntax error becomes a finding and an empty result.
std::optional<YAML::Node> loadYaml(const std::string &Text,
                                   const std::string &File,
                                   finding_list &Findings);

// A time as `yaml_map::time` reads it, such as "350ms".
std::string timeText(duration Value);

class yaml_map {
public:
  yaml_map(const YAML::Node &Node, std::string File, std::string Path,
           finding_list &Findings);

  // Adds what is read from here on to Target. Each list is then visited at
  // least once.
  void recordFields(std::vector<yaml_field> &Target) { Fields = &Target; }

  bool has(const std::string &Key) const;

  // Without a default the key must be present.
  std::string text(const std::string &Key,
                   const std::optional<std::string> &Default = std::nullopt);
  // One of Choices; Default is one of them.
  std::string choice(const std::string &Key,
                     const std::vector<std::string> &Choices,
                     const std::string &Default);
  int integer(const std::string &Key, int Least, int Most,
              std::optional<int> Default = std::nullopt);
  double number(const std::string &Key, double Least, double Most,
                std::optional<double> Default = std::nullopt);
  bool flag(const std::string &Key, std::optional<bool> Default = std::nullopt);
  // A number with a unit: us, ms, s, min or h, such as "350ms".
  duration time(const std::string &Key, duration Least, duration Most,
                std::optional<duration> Default = std::nullopt);
  // ip:port
  address endpoint(const std::string &Key,
                   const std::optional<address> &Default = std::nullopt);
  // A missing list is empty.
  std::vector<std::string> texts(const std::string &Key);
  // Calls Visit for each map of a list; a missing list is empty.
  void maps(const std::string &Key,
            const std::function<void(yaml_map &)> &Visit);
  // The map below Key; empty when it is missing.
  yaml_map map(const std::string &Key);

  // Adds a finding at the value of Key, or at the map itself.
  void reject(const std::string &Key, const std::string &Message);
  // Adds a finding for each key that nobody has read. Call it last.
  void rejectUnknown();

private:
  input_place placeOf(const YAML::Node &Node, const std::string &Path) const;
  std::string pathOf(const std::string &Key) const;
  // What a value may be: its kind, such as "a number", its bounds and default.
  template <typename T> struct value_range {
    std::string Kind;
    std::string Example; // added to the finding of a wrong value
    T Least;
    T Most;
    std::optional<T> Default;
  };
  // The value of Key as Parse reads it, when it lies within Range.
  template <typename T, typename Parser>
  T ranged(const std::string &Key, const value_range<T> &Range, Parser Parse);
  // The scalar of Key. Adds a finding when it is missing without a default.
  std::optional<std::string> scalar(const std::string &Key, bool HasDefault);
  void record(const std::string &Key, const std::string &Accepts,
              const std::optional<std::string> &Default);

  YAML::Node Node;
  std::string File;
  std::string Path;
  finding_list &Findings;
  std::vector<yaml_field> *Fields = nullptr;
  std::vector<std::string> Read;
};

// Reads a whole document: Read takes its root map and returns the result, which
// counts only when there is no finding. Unknown keys of the root are findings.
template <typename Read>
auto readYamlDocument(const std::string &Text, const std::string &File,
                      Read Reader)
    -> tl::expected<decltype(Reader(std::declval<yaml_map &>())),
                    finding_list> {
  finding_list Findings;
  decltype(Reader(std::declval<yaml_map &>())) Result;
  if (auto Node = loadYaml(Text, File, Findings)) {
    yaml_map Root(*Node, File, "", Findings);
    Result = Reader(Root);
    Root.rejectUnknown();
  }
  if (!Findings.empty())
    return tl::unexpected(std::move(Findings));
  return Result;
}

// What Reader accepts, in the order in which it reads.
template <typename Read> std::vector<yaml_field> fieldsOf(Read Reader) {
  finding_list Ignored;
  std::vector<yaml_field> Fields;
  yaml_map Root(YAML::Node(YAML::NodeType::Map), "", "", Ignored);
  Root.recordFields(Fields);
  Reader(Root);
  return Fields;
}

} // namespace monsoonreel

#endif // MONSOONREEL_YAML_READER_H
