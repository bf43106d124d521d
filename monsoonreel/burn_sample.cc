#include "monsoonreel/burn_sample.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

namespace monsoonreel {

namespace {

constexpr std::string_view targets_metric = "monsoonreel_targets_total";
constexpr std::string_view start_metric = "process_start_time_seconds";
// The end of the year 9999, in Unix time. Later start times are rejected as
// invalid.
constexpr double latest_start_s = 253402300799.0;

struct metric_line {
  std::map<std::string, std::string> Labels;
  double Value = 0;
};

// Reads one line of Prometheus's text format from left to right.
class line_reader {
public:
  explicit line_reader(std::string_view Line) : Rest(Line) {}

  std::string_view name() {
    size_t End = std::min(Rest.find_first_of("{ \t"), Rest.size());
    return take(End);
  }

  bool labels(std::map<std::string, std::string> &Labels) {
    if (!skip('{'))
      return true;
    while (!skip('}')) {
      std::string Name(take(std::min(Rest.find('='), Rest.size())));
      std::string Value;
      if (Name.empty() || !skip('=') || !quoted(Value))
        return false;
      if (!Labels.emplace(std::move(Name), std::move(Value)).second)
        return false;
      if (!skip(',') && !Rest.starts_with('}'))
        return false;
    }
    return true;
  }

  // Parses the value; a timestamp after it is ignored.
  bool value(double &Value) {
    Rest.remove_prefix(std::min(Rest.find_first_not_of(" \t"), Rest.size()));
    std::string_view Word =
        Rest.substr(0, std::min(Rest.find_first_of(" \t"), Rest.size()));
    auto Result =
        std::from_chars(Word.data(), Word.data() + Word.size(), Value);
    return Result.ec == std::errc() &&
           Result.ptr == Word.data() + Word.size() && std::isfinite(Value) &&
           Value >= 0;
  }

private:
  std::string_view take(size_t Length) {
    std::string_view Taken = Rest.substr(0, Length);
    Rest.remove_prefix(Length);
    return Taken;
  }

  bool skip(char Wanted) {
    if (!Rest.starts_with(Wanted))
      return false;
    Rest.remove_prefix(1);
    return true;
  }

  bool quoted(std::string &Text) {
    if (!skip('"'))
      return false;
    while (!Rest.empty()) {
      char Next = take(1).front();
      if (Next == '"')
        return true;
      if (Next == '\\' && !Rest.empty()) {
        Next = take(1).front();
        Next = Next == 'n' ? '\n' : Next;
      }
      Text += Next;
    }
    return false;
  }

  std::string_view Rest;
};

class sample_reader {
public:
  sample_reader(std::string Source, wall_time At, finding_list &Findings)
      : Source(std::move(Source)), Findings(Findings) {
    Sample.At = At;
  }

  void readLine(std::string_view Line, int Number) {
    line_reader Reader(Line);
    std::string_view Name = Reader.name();
    if (Name != targets_metric && Name != start_metric)
      return;
    metric_line Parsed;
    if (!Reader.labels(Parsed.Labels) || !Reader.value(Parsed.Value))
      return reject(Number, "malformed line");
    if (Name == targets_metric)
      addCount(Parsed, Number);
    else
      addStart(Parsed, Number);
  }

  bool isUsable() const { return Usable; }
  burn_sample take() { return std::move(Sample); }

  void reject(int Line, const std::string &Message) {
    Findings.add({Source, Line, 0, ""}, Message + "; the sample is ignored");
    Usable = false;
  }

private:
  void addCount(const metric_line &Line, int Number) {
    auto Class = Line.Labels.find("class");
    auto Organisation = Line.Labels.find("organisation");
    auto Met = Line.Labels.find("met");
    if (Class == Line.Labels.end() || Organisation == Line.Labels.end() ||
        Met == Line.Labels.end())
      return reject(Number, "a label is missing: class, organisation or met");
    request_counts &Counts = Sample.Counts[{
        class_name(Class->second), organisation_name(Organisation->second)}];
    if (Met->second == "yes")
      Counts.Met += Line.Value;
    else if (Met->second == "no")
      Counts.Missed += Line.Value;
    else
      reject(Number, "the label met must be yes or no");
  }

  void addStart(const metric_line &Line, int Number) {
    if (Line.Value > latest_start_s)
      return reject(Number, "the start time is out of range");
    Sample.StartedAt = wall_time(std::chrono::round<duration>(
        std::chrono::duration<double>(Line.Value)));
  }

  std::string Source;
  finding_list &Findings;
  burn_sample Sample;
  bool Usable = true;
};

} // namespace

std::optional<burn_sample> parseBurnSample(const std::string &Text,
                                           const std::string &Source,
                                           wall_time At,
                                           finding_list &Findings) {
  sample_reader Reader(Source, At, Findings);
  if (Text.empty())
    Reader.reject(0, "the text is empty");
  else if (!Text.ends_with('\n'))
    Reader.reject(0, "the last line of the text is truncated");
  std::string_view Rest = Text;
  for (int Number = 1; Reader.isUsable() && !Rest.empty(); ++Number) {
    size_t End = Rest.find('\n');
    Reader.readLine(Rest.substr(0, End), Number);
    Rest.remove_prefix(End + 1);
  }
  if (!Reader.isUsable())
    return std::nullopt;
  return Reader.take();
}

} // namespace monsoonreel
