#include "monsoonreel/burn_counter.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace monsoonreel {

namespace {

// Tolerance for comparing process start times, which entries export as rounded
// numbers of seconds.
constexpr duration start_time_tolerance = std::chrono::milliseconds(10);

int64_t toSeconds(duration Value) {
  return std::chrono::round<std::chrono::seconds>(Value).count();
}

// Whether a counter decreased or disappeared between two samples.
bool anyCounterDecreased(const burn_sample &Before, const burn_sample &After) {
  return std::any_of(Before.Counts.begin(), Before.Counts.end(),
                     [&](const auto &Entry) {
                       auto Found = After.Counts.find(Entry.first);
                       return Found == After.Counts.end() ||
                              Found->second.Met < Entry.second.Met ||
                              Found->second.Missed < Entry.second.Missed;
                     });
}

// Whether both samples come from the same process, or nullopt when one of them
// has no process start time.
std::optional<bool> sameProcess(const burn_sample &Before,
                                const burn_sample &After) {
  if (!Before.StartedAt || !After.StartedAt)
    return std::nullopt;
  return std::chrono::abs(*After.StartedAt - *Before.StartedAt) <=
         start_time_tolerance;
}

request_counts valueIn(const burn_sample &Sample, const burn_key &Key) {
  auto Found = Sample.Counts.find(Key);
  return Found == Sample.Counts.end() ? request_counts() : Found->second;
}

} // namespace

std::string toText(wall_time Time) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Text.data(), Length};
}

double time_range::fractionWithin(const time_range &Other) const {
  if (length() <= duration::zero())
    return To > Other.From && To <= Other.To ? 1.0 : 0.0;
  duration Shared = std::min(To, Other.To) - std::max(From, Other.From);
  return std::max(0.0, static_cast<double>(Shared.count()) /
                           static_cast<double>(length().count()));
}

burn_counter::burn_counter(time_range Range,
                           const std::vector<duration> &Windows,
                           duration MaxGap)
    : Range(Range), MaxGap(MaxGap) {
  this->Windows.reserve(Windows.size());
  for (duration Window : Windows)
    this->Windows.push_back({Range.To - Window, Range.To});
}

void burn_counter::add(const std::string &Entry, const burn_sample &Sample,
                       finding_list &Findings) {
  auto [Found, IsNew] = Entries.try_emplace(Entry);
  entry_state &State = Found->second;
  if (!IsNew)
    return addGrowth(State, Sample, Findings);
  State.Coverage = {Entry, 1, 0, Sample.At, Sample.At};
  State.Previous = Sample;
  if (!Sample.StartedAt || *Sample.StartedAt < Range.From)
    return;
  State.Coverage.First = std::min(*Sample.StartedAt, Sample.At);
  for (const auto &[Key, Counts] : Sample.Counts)
    addCounts(Key, Counts, {State.Coverage.First, Sample.At});
}

void burn_counter::addGrowth(entry_state &State, const burn_sample &Sample,
                             finding_list &Findings) {
  const burn_sample &Before = State.Previous;
  input_place Place{State.Coverage.Entry, 0, 0, toText(Sample.At)};
  bool Decreased = anyCounterDecreased(Before, Sample);
  std::optional<bool> Same = sameProcess(Before, Sample);
  if (Decreased && Same.value_or(false)) {
    Findings.add(Place, "counters decreased without a restart, so the samples "
                        "are out of order; the sample is ignored");
    return;
  }
  // A time before the previous sample's would count an interval twice, so the
  // growth is attributed to the previous sample's time.
  wall_time At = std::max(Sample.At, Before.At);
  if (Sample.At < Before.At)
    Findings.add(Place, "the clock went back by " +
                            std::to_string(toSeconds(Before.At - Sample.At)) +
                            " s since the previous sample");
  if (At - Before.At > MaxGap)
    Findings.add(Place, "gap of " + std::to_string(toSeconds(At - Before.At)) +
                            " s since the previous sample; the growth "
                            "between them is spread evenly");
  bool Restarted = Same ? !*Same : Decreased;
  for (const auto &[Key, Counts] : Sample.Counts) {
    request_counts Base = Restarted ? request_counts() : valueIn(Before, Key);
    addCounts(Key, {Counts.Met - Base.Met, Counts.Missed - Base.Missed},
              {Before.At, At});
  }
  State.Coverage.Restarts += Restarted ? 1 : 0;
  ++State.Coverage.Samples;
  State.Coverage.Last = At;
  State.Previous = Sample;
  State.Previous.At = At;
}

void burn_counter::addCounts(const burn_key &Key, const request_counts &Growth,
                             const time_range &Between) {
  if (Growth.total() <= 0)
    return;
  class_totals &Class = Classes[Key.Class];
  burn_totals &Totals = Class.Organisations[Key.Organisation];
  Totals.Windows.resize(Windows.size());
  Totals.Whole += Between.fractionWithin(Range) * Growth;
  for (size_t I = 0; I < Windows.size(); ++I)
    Totals.Windows[I] += Between.fractionWithin(Windows[I]) * Growth;
  Class.Timeline.resize(timeline_steps);
  for (int I = stepOf(Between.From); I <= stepOf(Between.To); ++I) {
    wall_time Begin = Range.From + I * stepLength();
    wall_time End = I + 1 == timeline_steps ? Range.To : Begin + stepLength();
    Class.Timeline[I] += Between.fractionWithin({Begin, End}) * Growth;
  }
}

duration burn_counter::stepLength() const {
  return std::max(Range.length() / timeline_steps, duration(1));
}

int burn_counter::stepOf(wall_time Time) const {
  int64_t Step = (Time - Range.From) / stepLength();
  return static_cast<int>(std::clamp<int64_t>(Step, 0, timeline_steps - 1));
}

void burn_counter::finish(finding_list &Findings) const {
  for (const auto &[Name, State] : Entries) {
    const entry_coverage &Coverage = State.Coverage;
    input_place Place{Name, 0, 0, ""};
    if (Coverage.First == Coverage.Last)
      Findings.add(Place, "has samples of one time only, so no growth can be "
                          "computed");
    if (Coverage.First - Range.From > MaxGap)
      Findings.add(Place, "no sample before " + toText(Coverage.First));
    if (Range.To - Coverage.Last > MaxGap)
      Findings.add(Place, "no sample after " + toText(Coverage.Last));
  }
}

std::vector<entry_coverage> burn_counter::entries() const {
  std::vector<entry_coverage> Result;
  Result.reserve(Entries.size());
  for (const auto &[Name, State] : Entries)
    Result.push_back(State.Coverage);
  return Result;
}

} // namespace monsoonreel
