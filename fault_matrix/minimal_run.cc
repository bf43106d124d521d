#include "fault_matrix/minimal_run.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <utility>

#include <absl/strings/numbers.h>

namespace monsoonreel::fault_matrix {

namespace {

// Kept after the last fault, when the end is drawn in.
constexpr duration tail_time = std::chrono::seconds(10);

constexpr const char *no_faults = "none";

// No run is made shorter by halves.
constexpr duration shortest_length = std::chrono::seconds(5);

// Finding without its numbers, which differ between runs.
std::string kindOf(const std::string &Finding) {
  std::string Kind;
  for (char Character : Finding) {
    bool IsDigit = std::isdigit(static_cast<unsigned char>(Character)) != 0;
    if (!IsDigit)
      Kind += Character;
    else if (Kind.empty() || Kind.back() != '#')
      Kind += '#';
  }
  return Kind;
}

std::vector<planned_fault> planOf(const std::vector<struck_fault> &Faults) {
  std::vector<planned_fault> Plan;
  Plan.reserve(Faults.size());
  for (const struck_fault &Struck : Faults)
    Plan.push_back(Struck.Fault);
  return Plan;
}

std::optional<fault> faultOf(const std::string &Name) {
  for (fault Fault : allFaults())
    if (toText(Fault) == Name)
      return Fault;
  return std::nullopt;
}

std::optional<planned_fault> parseFault(const std::string &Text) {
  size_t Hash = Text.find('#');
  size_t Equals = Text.find('=');
  if (Hash == std::string::npos || Equals == std::string::npos || Equals < Hash)
    return std::nullopt;
  planned_fault Planned;
  Planned.Step = Text.substr(0, Hash);
  std::string Occurrence = Text.substr(Hash + 1, Equals - Hash - 1);
  std::optional<fault> Fault = faultOf(Text.substr(Equals + 1));
  if (!Fault || !absl::SimpleAtoi(Occurrence, &Planned.Occurrence))
    return std::nullopt;
  Planned.Fault = *Fault;
  return Planned;
}

class minimizer {
public:
  minimizer(const world_options &Options, int MostRuns)
      : Options(Options), MostRuns(MostRuns) {}

  std::optional<minimal_run> run() {
    world World(Options);
    World.run();
    if (World.findings().empty())
      return std::nullopt;
    Best.Seed = Options.Seed;
    Best.Length = Options.Length;
    Best.Faults = World.struck();
    Best.Finding = World.findings().front();
    Best.Runs = 1;
    Options.RandomFaultPeriod = duration::zero();
    drawInEnd();
    for (size_t Size = Best.Faults.size(); Size > 0; Size /= 2)
      leaveOut(Size);
    drawInEnd();
    leaveOut(1);
    return Best;
  }

private:
  // Takes the run for the best one when it still has the finding.
  bool accept(const std::vector<planned_fault> &Plan, duration Length) {
    if (Best.Runs >= MostRuns)
      return false;
    ++Best.Runs;
    Options.Length = Length;
    world World(Options);
    for (const planned_fault &Fault : Plan)
      World.plan(Fault);
    World.run();
    const std::vector<std::string> &Findings = World.findings();
    auto Same = std::find_if(Findings.begin(), Findings.end(),
                             [&](const std::string &Finding) {
                               return kindOf(Finding) == kindOf(Best.Finding);
                             });
    if (Same == Findings.end())
      return false;
    Best.Length = Length;
    Best.Faults = World.struck();
    Best.Finding = *Same;
    return true;
  }

  // Tries the plan without Size faults, at each place.
  void leaveOut(size_t Size) {
    for (size_t First = 0; First < Best.Faults.size();) {
      std::vector<planned_fault> Plan = planOf(Best.Faults);
      auto Begin = Plan.begin() + static_cast<int64_t>(First);
      size_t Left = std::min(Size, Plan.size() - First);
      Plan.erase(Begin, Begin + static_cast<int64_t>(Left));
      if (!accept(Plan, Best.Length))
        First += Size;
    }
  }

  // Ends the run early, by halves and then just after its last fault.
  void drawInEnd() {
    while (Best.Length / 2 >= shortest_length &&
           accept(planOf(Best.Faults), Best.Length / 2)) {
    }
    if (Best.Faults.empty())
      return;
    duration Needed = Best.Faults.back().At - start_time + tail_time;
    if (Needed < Best.Length)
      accept(planOf(Best.Faults), Needed);
  }

  world_options Options;
  int MostRuns;
  minimal_run Best;
};

} // namespace

std::optional<minimal_run> minimizeRun(const world_options &Options,
                                       int MostRuns) {
  return minimizer(Options, MostRuns).run();
}

std::optional<std::vector<planned_fault>> parseFaults(const std::string &Text) {
  std::vector<planned_fault> Faults;
  if (Text == no_faults)
    return Faults;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    std::optional<planned_fault> Fault = parseFault(Part);
    if (!Fault)
      return std::nullopt;
    Faults.push_back(std::move(*Fault));
  }
  return Faults;
}

std::string toText(const std::vector<struck_fault> &Faults) {
  if (Faults.empty())
    return no_faults;
  std::string Text;
  for (const struck_fault &Struck : Faults) {
    const planned_fault &Fault = Struck.Fault;
    Text += (Text.empty() ? "" : ",") + Fault.Step + "#" +
            std::to_string(Fault.Occurrence) + "=" + toText(Fault.Fault);
  }
  return Text;
}

std::string toString(const minimal_run &Run) {
  std::string Millis = std::to_string(toMicros(Run.Length) / 1000);
  std::string Text = "SHORTENED seed " + std::to_string(Run.Seed) + " to " +
                     Millis + " ms and " + std::to_string(Run.Faults.size()) +
                     " faults in " + std::to_string(Run.Runs) + " runs\n    " +
                     Run.Finding + "\n";
  for (const struck_fault &Struck : Run.Faults)
    Text += "    at " + std::to_string(toMicros(Struck.At) / 1000) + " ms, " +
            Struck.Fault.Step + " #" + std::to_string(Struck.Fault.Occurrence) +
            ", " + Struck.Target + ": " + toText(Struck.Fault.Fault) + "\n";
  return Text + "    fault-matrix --seed=" + std::to_string(Run.Seed) +
         " --milliseconds=" + Millis + " --faults=" + toText(Run.Faults) + "\n";
}

} // namespace monsoonreel::fault_matrix
