#include "monsoonreel/yaml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "monsoonreel/address.h"

namespace monsoonreel {

namespace {

struct time_unit {
  const char *Suffix;
  duration Length;
};

constexpr std::array<time_unit, 5> TimeUnits = {{
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"min", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"h", std::chrono::hours(1)},
}};

std::optional<double> parseNumber(const std::string &Text) {
  double Value = 0;
  auto Result = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size() ||
      !std::isfinite(Value))
    return std::nullopt;
  return Value;
}

std::optional<int> parseInteger(const std::string &Text) {
  std::optional<double> Value = parseNumber(Text);
  if (!Value || *Value != std::floor(*Value) ||
      *Value < std::numeric_limits<int>::min() ||
      *Value > std::numeric_limits<int>::max())
    return std::nullopt;
  return static_cast<int>(*Value);
}

std::optional<duration> parseTime(const std::string &Text) {
  size_t UnitStart = Text.find_first_not_of("0123456789.");
  if (UnitStart == std::string::npos)
    return std::nullopt;
  auto Number = parseNumber(Text.substr(0, UnitStart));
  std::string Suffix = Text.substr(UnitStart);
  const auto *Unit =
      std::find_if(TimeUnits.begin(), TimeUnits.end(),
                   [&](const time_unit &U) { return Suffix == U.Suffix; });
  if (!Number || Unit == TimeUnits.end())
    return std::nullopt;
  double Micros = *Number * static_cast<double>(Unit->Length.count());
  // Longer times, over 31 years, are considered invalid and would overflow in
  // sums.
  constexpr double max_micros = 1e15;
  if (Micros > max_micros)
    return std::nullopt;
  return duration(static_cast<int64_t>(Micros));
}

std::string describe(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

std::string describe(duration Value) { return timeText(Value); }

std::string describe(int Value) { return std::to_string(Value); }

std::string describe(bool Value) { return Value ? "true" : "false"; }

template <typename T>
std::optional<std::string> describeDefault(const std::optional<T> &Default) {
  return Default ? std::optional(describe(*Default)) : std::nullopt;
}

} // namespace

std::string timeText(duration Value) {
  if (Value % std::chrono::seconds(1) == duration::zero())
    return std::to_string(Value / std::chrono::seconds(1)) + "s";
  if (Value % std::chrono::milliseconds(1) == duration::zero())
    return std::to_string(Value / std::chrono::milliseconds(1)) + "ms";
  return std::to_string(Value.count()) + "us";
}

std::optional<YAML::Node> loadYaml(const std::string &Text,
                                   const std::string &File,
                                   finding_list &Findings) {
  try {
    return YAML::Load(Text);
  } catch (const YAML::Exception &E) {
    Findings.add({File, E.mark.line + 1, E.mark.column + 1, ""}, E.msg);
    return std::nullopt;
  }
}

yaml_map::yaml_map(const YAML::Node &Node, std::string File, std::string Path,
                   finding_list &Findings)
    : Node(Node), File(std::move(File)), Path(std::move(Path)),
      Findings(Findings) {
  if (Node.IsDefined() && !Node.IsNull() && !Node.IsMap())
    Findings.add(placeOf(Node, this->Path), "must be a map");
}

bool yaml_map::has(const std::string &Key) const {
  return Node.IsMap() && Node[Key].IsDefined();
}

std::string yaml_map::text(const std::string &Key,
                           const std::optional<std::string> &Default) {
  record(Key, "a text", Default);
  auto Value = scalar(Key, Default.has_value());
  if (!Value)
    return Default.value_or("");
  if (Value->empty())
    reject(Key, "must not be empty");
  return *Value;
}

template <typename T, typename Parser>
T yaml_map::ranged(const std::string &Key, const value_range<T> &Range,
                   Parser Parse) {
  std::string Accepts = Range.Kind + " from " + describe(Range.Least) + " to " +
                        describe(Range.Most);
  record(Key, Accepts, describeDefault(Range.Default));
  T Fallback = Range.Default.value_or(Range.Least);
  auto Text = scalar(Key, Range.Default.has_value());
  if (!Text)
    return Fallback;
  std::optional<T> Value = Parse(*Text);
  if (Value && *Value >= Range.Least && *Value <= Range.Most)
    return *Value;
  reject(Key, "must be " + Accepts + Range.Example);
  return Fallback;
}

int yaml_map::integer(const std::string &Key, int Least, int Most,
                      std::optional<int> Default) {
  value_range<int> Range{"a whole number", "", Least, Most, Default};
  return ranged(Key, Range, parseInteger);
}

double yaml_map::number(const std::string &Key, double Least, double Most,
                        std::optional<double> Default) {
  value_range<double> Range{"a number", "", Least, Most, Default};
  return ranged(Key, Range, parseNumber);
}

std::string yaml_map::choice(const std::string &Key,
                             const std::vector<std::string> &Choices,
                             const std::string &Default) {
  std::string Accepts = "one of:";
  for (const std::string &Choice : Choices)
    Accepts += " " + Choice;
  record(Key, Accepts, Default);
  auto Value = scalar(Key, true);
  if (!Value)
    return Default;
  if (std::find(Choices.begin(), Choices.end(), *Value) != Choices.end())
    return *Value;
  reject(Key, "must be " + Accepts);
  return Default;
}

bool yaml_map::flag(const std::string &Key, std::optional<bool> Default) {
  record(Key, "true or false", describeDefault(Default));
  auto Text = scalar(Key, Default.has_value());
  if (!Text)
    return Default.value_or(false);
  if (*Text == "true" || *Text == "false")
    return *Text == "true";
  reject(Key, "must be true or false");
  return Default.value_or(false);
}

duration yaml_map::time(const std::string &Key, duration Least, duration Most,
                        std::optional<duration> Default) {
  value_range<duration> Range{"a time", ", such as 350ms or 2s", Least, Most,
                              Default};
  return ranged(Key, Range, parseTime);
}

address yaml_map::endpoint(const std::string &Key,
                           const std::optional<address> &Default) {
  record(Key, "an IP address and a port",
         Default ? std::optional(Default->Value) : std::nullopt);
  auto Text = scalar(Key, Default.has_value());
  if (!Text)
    return Default.value_or(address());
  if (!isAddress(*Text))
    reject(Key, "must be an IP address and a port, such as 127.0.0.1:7400");
  return address(*Text);
}

std::vector<std::string> yaml_map::texts(const std::string &Key) {
  record(Key, "a list of texts", "");
  Read.push_back(Key);
  std::vector<std::string> Values;
  if (!has(Key))
    return Values;
  if (!Node[Key].IsSequence()) {
    reject(Key, "must be a list");
    return Values;
  }
  for (const auto &Item : Node[Key]) {
    if (Item.IsScalar() && !Item.Scalar().empty())
      Values.push_back(Item.Scalar());
    else
      Findings.add(placeOf(Item, pathOf(Key)), "must be a list of texts");
  }
  return Values;
}

void yaml_map::maps(const std::string &Key,
                    const std::function<void(yaml_map &)> &Visit) {
  Read.push_back(Key);
  if (Fields && !has(Key)) {
    finding_list Ignored;
    yaml_map Map(YAML::Node(YAML::NodeType::Map), File, pathOf(Key) + "[]",
                 Ignored);
    Map.recordFields(*Fields);
    Visit(Map);
  }
  if (!has(Key))
    return;
  if (!Node[Key].IsSequence()) {
    reject(Key, "must be a list");
    return;
  }
  int Index = 0;
  for (const auto &Item : Node[Key]) {
    yaml_map Map(Item, File, pathOf(Key) + "[" + std::to_string(Index++) + "]",
                 Findings);
    Visit(Map);
    Map.rejectUnknown();
  }
}

yaml_map yaml_map::map(const std::string &Key) {
  Read.push_back(Key);
  YAML::Node Below = has(Key) ? Node[Key] : YAML::Node(YAML::NodeType::Map);
  yaml_map Map(Below, File, pathOf(Key), Findings);
  Map.Fields = Fields;
  return Map;
}

void yaml_map::record(const std::string &Key, const std::string &Accepts,
                      const std::optional<std::string> &Default) {
  if (Fields)
    Fields->push_back({pathOf(Key), Accepts, Default});
}

void yaml_map::reject(const std::string &Key, const std::string &Message) {
  Findings.add(placeOf(has(Key) ? Node[Key] : Node, pathOf(Key)), Message);
}

void yaml_map::rejectUnknown() {
  if (!Node.IsMap())
    return;
  for (const auto &Entry : Node) {
    std::string Key = Entry.first.IsScalar() ? Entry.first.Scalar() : "?";
    if (std::find(Read.begin(), Read.end(), Key) == Read.end())
      Findings.add(placeOf(Entry.first, pathOf(Key)), "unknown key");
  }
}

input_place yaml_map::placeOf(const YAML::Node &Where,
                              const std::string &WherePath) const {
  YAML::Mark Mark = Where.IsDefined() ? Where.Mark() : YAML::Mark();
  return {File, Mark.line + 1, Mark.column + 1, WherePath};
}

std::string yaml_map::pathOf(const std::string &Key) const {
  if (Path.empty() || Key.empty())
    return Path + Key;
  return Path + "." + Key;
}

std::optional<std::string> yaml_map::scalar(const std::string &Key,
                                            bool HasDefault) {
  Read.push_back(Key);
  if (!has(Key)) {
    if (!HasDefault)
      reject(Key, "is missing");
    return std::nullopt;
  }
  if (Node[Key].IsScalar())
    return Node[Key].Scalar();
  reject(Key, "must be a single value");
  return std::nullopt;
}

} // namespace monsoonreel
