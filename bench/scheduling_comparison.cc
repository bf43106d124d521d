// Compares scheduling policies on a small site in virtual time and prints a
// Markdown table.
//
//   scheduling_comparison --seeds 5 --seconds 120
//
// Beside the worst-served organisation stands what refusals that ignore
// organisations would give at the same counts ("by chance"): with few requests
// for each organisation, a smaller figure than that says something about the
// policy, a larger one does not.

#include <cstdio>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/random/binomial_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

#include "monsoonreel/testing/fake_site.h"

ABSL_FLAG(int, seeds, 3, "Seeds whose results are added up");
ABSL_FLAG(int, seconds, 120, "Virtual seconds of each run");
ABSL_FLAG(std::string, fault, "none", "none, burst, straggler or silent");
ABSL_FLAG(std::vector<std::string>, policies,
          std::vector<std::string>({"tiered", "tiered-deadline",
                                    "tiered-target", "alone", "least-in-flight",
                                    "round-robin-fifo"}),
          "Policies to compare");
ABSL_FLAG(std::vector<std::string>, loads,
          std::vector<std::string>({"0.5", "0.9", "1.2", "2"}),
          "Offered work as parts of the capacity");

namespace monsoonreel {
namespace {

site_options optionsFor(const std::string &Policy, double Load, int Seed) {
  site_options Options;
  Options.Policy = Policy;
  Options.Load = Load;
  Options.Seed = static_cast<uint64_t>(Seed);
  std::string Fault = absl::GetFlag(FLAGS_fault);
  Options.FaultAt = std::chrono::seconds(30);
  if (Fault == "burst") {
    Options.BurstClass = class_name("draft");
    Options.BurstFactor = 5;
    Options.BurstFrom = std::chrono::seconds(40);
    Options.BurstTo = std::chrono::seconds(60);
  } else if (Fault == "straggler") {
    Options.FaultyEngine = 3;
    Options.Slowness = 6;
  } else if (Fault == "silent") {
    Options.FaultyEngine = 3;
    Options.Silent = true;
  }
  return Options;
}

struct totals {
  std::map<std::string, served_count> Classes;
  double Goodput = 0;
  double Worst = 1;
  std::vector<site_result> Results;
  int64_t Made = 0;
  int64_t Wasted = 0;
  int Breaches = 0;
};

totals measure(const std::string &Policy, double Load) {
  totals Totals;
  int Seeds = absl::GetFlag(FLAGS_seeds);
  duration Length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    site_result Result = fake_site(optionsFor(Policy, Load, Seed)).run(Length);
    for (const auto &[Name, Count] : Result.Classes) {
      served_count &Sum = Totals.Classes[Name];
      Sum.Offered += Count.Offered;
      Sum.Met += Count.Met;
      Sum.Served += Count.Served;
      Sum.Refused += Count.Refused;
      Sum.RefusalMicros += Count.RefusalMicros;
    }
    Totals.Goodput += Result.goodput() / Seeds;
    Totals.Worst = std::min(Totals.Worst, Result.worstOrganisation());
    Totals.Made += Result.TokensMade;
    Totals.Wasted += Result.TokensWasted;
    Totals.Breaches += Result.Breaches;
    Totals.Results.push_back(std::move(Result));
  }
  return Totals;
}

// A result with the counts of Result in which each request met its target with
// the same chance as every other one of its class.
site_result drawByChance(const site_result &Result,
                         boost::random::mt19937_64 &Random) {
  site_result Drawn = Result;
  for (auto &[Pair, Count] : Drawn.Pairs) {
    double Chance = Result.Classes.at(Pair.first).attainment();
    boost::random::binomial_distribution<int> Met(Count.Offered, Chance);
    Count.Met = Met(Random);
  }
  return Drawn;
}

double worstByChance(const std::vector<site_result> &Results) {
  constexpr int Trials = 100;
  boost::random::mt19937_64 Random(1);
  double Sum = 0;
  for (int I = 0; I < Trials; ++I) {
    double Worst = 1;
    for (const site_result &Result : Results)
      Worst = std::min(Worst, drawByChance(Result, Random).worstOrganisation());
    Sum += Worst;
  }
  return Sum / Trials;
}

double meanRefusalMillis(const totals &Totals) {
  int64_t Micros = 0;
  int Refused = 0;
  for (const auto &[Name, Count] : Totals.Classes) {
    Micros += Count.RefusalMicros;
    Refused += Count.Refused;
  }
  return Refused ? static_cast<double>(Micros) / Refused / 1000 : 0;
}

void printRow(const std::string &Policy, const std::string &Load) {
  totals Totals = measure(Policy, std::stod(Load));
  std::printf("| %s | %s |", Load.c_str(), Policy.c_str());
  for (const char *Name : {"chat", "draft", "summary", "batch"})
    std::printf(" %.3f |", Totals.Classes[Name].attainment());
  for (const char *Name : {"chat", "draft", "summary", "batch"}) {
    const served_count &Count = Totals.Classes[Name];
    std::printf(" %.2f%s",
                Count.Offered ? double(Count.Served) / Count.Offered : 1.0,
                std::string(Name) == "batch" ? " |" : " /");
  }
  std::printf(" %.2f | %.2f | %.2f | %.1f%% | %.0f | %d |\n", Totals.Goodput,
              Totals.Worst, worstByChance(Totals.Results),
              Totals.Made ? 100.0 * static_cast<double>(Totals.Wasted) /
                                static_cast<double>(Totals.Made)
                          : 0.0,
              meanRefusalMillis(Totals), Totals.Breaches);
  std::fflush(stdout);
}

} // namespace
} // namespace monsoonreel

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  std::printf(
      "| load | policy | chat met | draft met | summary met | batch met "
      "| served c/d/s/b | goodput /s | worst organisation | by chance "
      "| wasted tokens | refused after ms | breaches |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
      "--- | --- | --- |\n");
  for (const std::string &Load : absl::GetFlag(FLAGS_loads))
    for (const std::string &Policy : absl::GetFlag(FLAGS_policies))
      monsoonreel::printRow(Policy, Load);
  return 0;
}
