// What a run showed, for each class and as a whole.
//
//   run_report Report = buildReport(Inputs);
//   std::cout << toTable(Report);
//
// Latencies count from the time at which a request was planned to be sent.

#ifndef LOAD_RUN_REPORT_H
#define LOAD_RUN_REPORT_H

#include <map>
#include <string>
#include <vector>

#include <QJsonObject>

#include "load/arrival_schedule.h"
#include "load/scenario.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::load {

enum class outcome {
  Pending,
  Complete,     // whole, and the right answer
  Wrong,        // whole, and not the right answer
  NotRun,       // refused, and said not to have run
  Unknown,      // refused, and said to be of unknown outcome
  Rejected,     // another refusal, such as of a key
  Broken,       // the connection closed before the whole answer had come
  TimedOut,     // no whole answer in the request's time
  NotConnected, // no entry took the connection
};

const char *toString(outcome Outcome);

// How one planned request went.
struct request_outcome {
  outcome Outcome = outcome::Pending;
  int Status = 0;
  double FirstTokenMs = 0;    // or the whole answer, when it is not streamed
  double BetweenTokensMs = 0; // mean over the answer
  int Tokens = 0;
  std::vector<double> GapsMs;
  std::string RefusalCode; // the router's own, when it refused
};

struct percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

percentiles percentilesOf(std::vector<double> Values);

struct class_report {
  std::string Class;
  double FirstTokenTargetMs = 0;
  double BetweenTokensTargetMs = 0;
  double Objective = 0;
  int Offered = 0;
  int Attained = 0; // complete and within the targets
  int Complete = 0;
  int Wrong = 0;
  int NotRun = 0;
  int Unknown = 0;
  int Rejected = 0;
  int Broken = 0;
  int TimedOut = 0;     // with those that got no connection
  int NotConnected = 0; // of those, the ones that no entry took
  percentiles FirstTokenMs;
  percentiles GapMs;
  std::vector<double> FirstTokens; // sorted
  double GoodputPerSecond = 0;
  int64_t TokensDelivered = 0;
  std::string WorstOrganisation;
  double WorstAttainment = 0;
  double MeanAttainment = 0; // over organisations

  double attainment() const;
};

struct usage_check {
  int Windows = 0;
  int Conflicts = 0; // a window came again with other figures
  int OldFences = 0;
  int64_t RequestsServed = 0; // whole answers that callers got
  int64_t RequestsReported = 0;
  int64_t TokensServed = 0;
  int64_t TokensReported = 0;
  // Organisations with fewer requests reported than served.
  int OrganisationsShort = 0;
};

struct run_report {
  double Seconds = 0;
  std::vector<class_report> Classes;
  std::map<std::string, int> RefusalCodes; // of all classes
  int64_t TokensMade = 0;
  int64_t TokensDelivered = 0;
  double Cost = 0;      // busy seconds of upstreams, times their cost
  double CheapPart = 0; // of the busy seconds
  int FalseNotRun = 0;  // said "not run" and ran
  int RanTwice = 0;     // not idempotent, and ran more than once
  int CallerKeysSeen = 0;
  int Withdrawn = 0;            // requests of a withdrawn key
  int RanAfterWithdrawal = 0;   // of those, answered after the allowed time
  int UpstreamsUnreachable = 0; // records that could not be had
  usage_check Usage;

  double wastedPart() const;
};

// The records of the stand-in that plays an upstream.
struct upstream_records {
  upstream_name Upstream;
  QJsonObject Records; // empty when it could not be reached
};

struct report_inputs {
  const scenario &Scenario;
  const configuration &Site;
  duration Length;
  const std::vector<planned_request> &Plan;
  const std::vector<request_outcome> &Outcomes; // as many as in Plan
  std::vector<upstream_records> Upstreams;
  QJsonObject Platform;
};

run_report buildReport(const report_inputs &Inputs);

std::string toTable(const run_report &Report);
QJsonObject toJson(const run_report &Report);
// The distribution of first token times by class, as a picture.
std::string toSvg(const run_report &Report);

} // namespace monsoonreel::load

#endif // LOAD_RUN_REPORT_H
