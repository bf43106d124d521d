#include "load/arrival_schedule.h"

#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace monsoonreel::load {

namespace {

// The distributions of Boost give the same numbers with every compiler.
using engine = boost::random::mt19937_64;

constexpr int bytes_per_token = 4;
// Different shared prompt beginnings per organisation and kind of request.
constexpr int prefixes_per_organisation = 3;

// Pseudo-random text that depends on Seed only.
std::string filler(uint64_t Seed, int Tokens) {
  constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz";
  engine Random(Seed);
  boost::random::uniform_int_distribution<size_t> Letter(0, Letters.size() - 1);
  std::string Text;
  for (int I = 0; I < Tokens; ++I) {
    for (int J = 1; J < bytes_per_token; ++J)
      Text += Letters[Letter(Random)];
    Text += ' ';
  }
  return Text;
}

QJsonObject message(const char *Role, const std::string &Content) {
  return {{"role", Role}, {"content", QString::fromStdString(Content)}};
}

std::string compact(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

double rateAt(const scenario &Scenario, const traffic &Traffic, double Part) {
  double Rate = Scenario.RequestsPerSecond * Scenario.Load * Traffic.Share;
  for (const burst &Burst : Scenario.Bursts)
    if (Burst.Class == Traffic.Class && Part >= Burst.At &&
        Part < Burst.At + Burst.Length)
      Rate *= Burst.Factor;
  return Rate;
}

class planner {
public:
  planner(const scenario &Scenario, duration Length, uint64_t Seed)
      : Scenario(Scenario), Length(Length), Seed(Seed) {
    std::vector<double> Weights;
    for (const caller_share &Share : Scenario.Organisations)
      Weights.push_back(Share.Weight);
    PickOrganisation =
        boost::random::discrete_distribution<size_t, double>(Weights);
  }

  std::vector<planned_request> plan() {
    for (size_t Index = 0; Index < Scenario.Traffic.size(); ++Index)
      planTraffic(Index);
    std::stable_sort(Plan.begin(), Plan.end(),
                     [](const auto &A, const auto &B) { return A.At < B.At; });
    return std::move(Plan);
  }

private:
  // Each kind of request has a stream of random numbers of its own, so that a
  // change to one kind leaves the others as they are.
  void planTraffic(size_t Index) {
    engine Random(Seed * 1000003 + Index);
    const traffic &Traffic = Scenario.Traffic[Index];
    double Highest = 0;
    for (int Percent = 0; Percent < 100; ++Percent)
      Highest = std::max(Highest, rateAt(Scenario, Traffic, Percent / 100.0));
    if (Highest <= 0)
      return;
    // Thinning: candidates at the highest rate, kept in proportion to the rate
    // at their time.
    boost::random::exponential_distribution<double> Gap(Highest);
    boost::random::uniform_int_distribution<uint32_t> Draw;
    double Seconds = std::chrono::duration<double>(Length).count();
    double At = 0;
    while ((At += Gap(Random)) < Seconds) {
      double Keep = rateAt(Scenario, Traffic, At / Seconds) / Highest;
      if (Draw(Random) <= Keep * static_cast<double>(UINT32_MAX))
        add(Index, At, Random);
    }
  }

  void add(size_t Index, double At, engine &Random) {
    planned_request Request;
    Request.At =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(At));
    Request.Traffic = Index;
    Request.Organisation = PickOrganisation(Random);
    std::string Name = std::to_string(Seed) + "-" + std::to_string(Index) +
                       "-" + std::to_string(++Count);
    Request.Body = body(Index, Request.Organisation, Name, Random);
    if (Scenario.Traffic[Index].Keyed)
      Request.IdempotencyKey = "load-" + Name;
    Plan.push_back(std::move(Request));
  }

  std::string body(size_t Index, size_t Organisation, const std::string &Name,
                   engine &Random) const {
    const traffic &Traffic = Scenario.Traffic[Index];
    if (Traffic.Model.empty())
      return compact({{"reference", QString::fromStdString(Name)}});
    boost::random::uniform_int_distribution<int> PickPrefix(
        0, prefixes_per_organisation - 1);
    uint64_t PrefixSeed = Organisation * 1000 + Index * 10 +
                          static_cast<uint64_t>(PickPrefix(Random));
    int Rest = std::max(1, Traffic.PromptTokens - Traffic.PrefixTokens);
    QJsonArray Messages = {
        message("system", filler(PrefixSeed, Traffic.PrefixTokens)),
        message("user", Name + " " + filler(Random(), Rest))};
    return compact({{"model", QString::fromStdString(Traffic.Model)},
                    {"stream", Traffic.Stream},
                    {"max_tokens", Traffic.MaxTokens},
                    {"messages", Messages}});
  }

  const scenario &Scenario;
  duration Length;
  uint64_t Seed;
  boost::random::discrete_distribution<size_t, double> PickOrganisation;
  std::vector<planned_request> Plan;
  int64_t Count = 0;
};

} // namespace

std::vector<planned_request> planArrivals(const scenario &Scenario,
                                          duration Length, uint64_t Seed) {
  return planner(Scenario, Length, Seed).plan();
}

} // namespace monsoonreel::load
