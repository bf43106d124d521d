#include "load/run_report.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <QJsonArray>

#include "standins/answer_text.h"

namespace monsoonreel::load {

namespace {

// Until a withdrawn key has to be refused everywhere.
constexpr duration withdrawal_allowance = std::chrono::seconds(5);
// Organisations with fewer requests say too little about fairness.
constexpr int least_requests_for_fairness = 5;

double millis(duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

double seconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

// Puts the report together from one pass over all requests.
class report_builder {
public:
  explicit report_builder(const report_inputs &Inputs) : Inputs(Inputs) {
    Report.Seconds = seconds(Inputs.Length);
  }

  run_report build() {
    addReceipts();
    for (size_t Index = 0; Index < Inputs.Plan.size(); ++Index)
      addRequest(Index);
    addUpstreams();
    addUsage();
    for (auto &[Name, Work] : Classes)
      Report.Classes.push_back(finish(Work));
    return std::move(Report);
  }

private:
  struct tally {
    int Offered = 0;
    int Attained = 0;
  };

  struct class_work {
    class_report Class;
    std::vector<double> Gaps;
    std::map<std::string, tally> Organisations;
  };

  class_work &workOf(const class_name &Name) {
    auto [Place, New] = Classes.try_emplace(Name.Value);
    if (!New)
      return Place->second;
    class_report &Class = Place->second.Class;
    Class.Class = Name.Value;
    if (const service_class *Contract = Inputs.Site.findClass(Name)) {
      Class.FirstTokenTargetMs = millis(Contract->FirstTokenTarget);
      Class.BetweenTokensTargetMs = millis(Contract->BetweenTokensTarget);
      Class.Objective = Contract->Objective;
    }
    return Place->second;
  }

  void addReceipts() {
    for (const upstream_records &Upstream : Inputs.Upstreams) {
      QJsonObject Receipts = Upstream.Records["receipts"].toObject();
      for (auto It = Receipts.begin(); It != Receipts.end(); ++It)
        Executions[It.key().toStdString()] += It.value().toInt();
    }
  }

  // When the organisation's key is withdrawn; the end of time when it isn't.
  duration withdrawnAt(size_t Organisation) const {
    const organisation_name &Name =
        Inputs.Scenario.Organisations[Organisation].Organisation;
    for (const withdrawal &Withdrawal : Inputs.Scenario.Withdrawals)
      if (Withdrawal.Organisation == Name)
        return std::chrono::duration_cast<duration>(Inputs.Length *
                                                    Withdrawal.At);
    return duration::max();
  }

  void addRequest(size_t Index) {
    const planned_request &Request = Inputs.Plan[Index];
    const request_outcome &Outcome = Inputs.Outcomes[Index];
    const traffic &Traffic = Inputs.Scenario.Traffic[Request.Traffic];
    checkExecutions(Request, Outcome, Traffic);
    countServed(Request, Outcome);
    duration Withdrawn = withdrawnAt(Request.Organisation);
    if (Request.At >= Withdrawn) {
      ++Report.Withdrawn;
      if (Request.At > Withdrawn + withdrawal_allowance &&
          Outcome.Outcome == outcome::Complete)
        ++Report.RanAfterWithdrawal;
      return;
    }
    class_work &Work = workOf(Traffic.Class);
    if (!Outcome.RefusalCode.empty())
      ++Report.RefusalCodes[Outcome.RefusalCode];
    countOutcome(Work.Class, Outcome);
    Work.Class.TokensDelivered += Outcome.Tokens;
    Work.Gaps.insert(Work.Gaps.end(), Outcome.GapsMs.begin(),
                     Outcome.GapsMs.end());
    std::string Organisation =
        Inputs.Scenario.Organisations[Request.Organisation].Organisation.Value;
    tally &Tally = Work.Organisations[Organisation];
    ++Tally.Offered;
    if (isAttained(Work.Class, Outcome)) {
      ++Work.Class.Attained;
      ++Tally.Attained;
    }
  }

  void checkExecutions(const planned_request &Request,
                       const request_outcome &Outcome, const traffic &Traffic) {
    if (!Traffic.Model.empty())
      return;
    auto Found =
        Executions.find(standin::receiptFor(Traffic.Path, Request.Body));
    int Runs = Found == Executions.end() ? 0 : Found->second;
    if (Outcome.Outcome == outcome::NotRun && Runs > 0)
      ++Report.FalseNotRun;
    if (!Traffic.Idempotent && Runs > 1)
      ++Report.RanTwice;
  }

  void countServed(const planned_request &Request,
                   const request_outcome &Outcome) {
    if (Outcome.Outcome != outcome::Complete)
      return;
    Report.TokensDelivered += Outcome.Tokens;
    ++Report.Usage.RequestsServed;
    ++ServedBy[Inputs.Scenario.Organisations[Request.Organisation]
                   .Organisation.Value];
  }

  static bool isAttained(const class_report &Class,
                         const request_outcome &Outcome) {
    if (Outcome.Outcome != outcome::Complete)
      return false;
    if (Outcome.FirstTokenMs > Class.FirstTokenTargetMs)
      return false;
    return Class.BetweenTokensTargetMs == 0 ||
           Outcome.BetweenTokensMs <= Class.BetweenTokensTargetMs;
  }

  static void countOutcome(class_report &Class,
                           const request_outcome &Outcome) {
    ++Class.Offered;
    switch (Outcome.Outcome) {
    case outcome::Complete:
      ++Class.Complete;
      Class.FirstTokens.push_back(Outcome.FirstTokenMs);
      break;
    case outcome::Wrong:
      ++Class.Wrong;
      break;
    case outcome::NotRun:
      ++Class.NotRun;
      break;
    case outcome::Unknown:
      ++Class.Unknown;
      break;
    case outcome::Rejected:
      ++Class.Rejected;
      break;
    case outcome::Broken:
      ++Class.Broken;
      break;
    case outcome::NotConnected:
      ++Class.NotConnected;
      [[fallthrough]];
    case outcome::Pending:
    case outcome::TimedOut:
      ++Class.TimedOut;
      break;
    }
  }

  class_report finish(class_work &Work) const {
    class_report &Class = Work.Class;
    std::sort(Class.FirstTokens.begin(), Class.FirstTokens.end());
    Class.FirstTokenMs = percentilesOf(Class.FirstTokens);
    Class.GapMs = percentilesOf(std::move(Work.Gaps));
    Class.GoodputPerSecond = ratio(Class.Attained, Report.Seconds);
    Class.WorstAttainment = 1;
    double Sum = 0;
    int Counted = 0;
    for (const auto &[Name, Tally] : Work.Organisations) {
      if (Tally.Offered < least_requests_for_fairness)
        continue;
      double Attainment = ratio(Tally.Attained, Tally.Offered);
      Sum += Attainment;
      ++Counted;
      if (Attainment > Class.WorstAttainment)
        continue;
      Class.WorstAttainment = Attainment;
      Class.WorstOrganisation = Name;
    }
    Class.MeanAttainment = ratio(Sum, Counted);
    return std::move(Class);
  }

  void addUpstreams() {
    double Busy = 0;
    double CheapBusy = 0;
    for (const upstream_records &Upstream : Inputs.Upstreams) {
      const QJsonObject &Records = Upstream.Records;
      if (Records.isEmpty())
        ++Report.UpstreamsUnreachable;
      Report.TokensMade += Records["tokens_made"].toInteger();
      Report.CallerKeysSeen += Records["caller_keys_seen"].toInt();
      double BusySeconds = Records["busy_ms"].toDouble() / 1000;
      const upstream &Contract = Inputs.Site.Upstreams.at(Upstream.Upstream);
      Report.Cost += BusySeconds * Contract.Cost;
      Busy += BusySeconds;
      CheapBusy += Contract.Cheap ? BusySeconds : 0;
    }
    Report.CheapPart = ratio(CheapBusy, Busy);
  }

  void addUsage() {
    usage_check &Usage = Report.Usage;
    Usage.Conflicts = Inputs.Platform["window_conflicts"].toInt();
    Usage.OldFences = Inputs.Platform["usage_old_fences"].toInt();
    Usage.TokensServed = Report.TokensDelivered;
    std::map<std::string, int64_t> ReportedFor;
    for (const auto &Window : Inputs.Platform["windows"].toArray()) {
      ++Usage.Windows;
      for (const auto &Value : Window.toObject()["figures"].toArray()) {
        QJsonObject Figure = Value.toObject();
        int64_t Requests = Figure["requests"].toInteger();
        Usage.RequestsReported += Requests;
        Usage.TokensReported += Figure["output_tokens"].toInteger();
        ReportedFor[Figure["organisation"].toString().toStdString()] +=
            Requests;
      }
    }
    for (const auto &[Name, Served] : ServedBy)
      if (ReportedFor[Name] < Served)
        ++Usage.OrganisationsShort;
  }

  const report_inputs &Inputs;
  run_report Report;
  std::map<std::string, class_work> Classes;
  std::map<std::string, int> Executions;   // by receipt
  std::map<std::string, int64_t> ServedBy; // by organisation
};

} // namespace

const char *toString(outcome Outcome) {
  switch (Outcome) {
  case outcome::Pending:
    return "pending";
  case outcome::Complete:
    return "complete";
  case outcome::Wrong:
    return "wrong";
  case outcome::NotRun:
    return "not-run";
  case outcome::Unknown:
    return "unknown";
  case outcome::Rejected:
    return "rejected";
  case outcome::Broken:
    return "broken";
  case outcome::TimedOut:
    return "timed-out";
  case outcome::NotConnected:
    return "not-connected";
  }
  return "";
}

percentiles percentilesOf(std::vector<double> Values) {
  if (Values.empty())
    return {};
  std::sort(Values.begin(), Values.end());
  auto At = [&Values](double Part) {
    // The smallest value that at least this part of all does not exceed.
    auto Rank = static_cast<size_t>(Part * static_cast<double>(Values.size()));
    return Values[std::min(Rank, Values.size() - 1)];
  };
  return {At(0.50), At(0.95), At(0.99)};
}

double class_report::attainment() const { return ratio(Attained, Offered); }

double run_report::wastedPart() const {
  return ratio(
      static_cast<double>(std::max<int64_t>(0, TokensMade - TokensDelivered)),
      static_cast<double>(TokensMade));
}

run_report buildReport(const report_inputs &Inputs) {
  return report_builder(Inputs).build();
}

} // namespace monsoonreel::load
