#include "load/load_run.h"

#include <algorithm>

#include <QJsonDocument>
#include <QJsonObject>

#include "standins/answer_text.h"
#include "standins/steady_clock.h"

namespace monsoonreel::load {

namespace {

using standin::steadyNow;
using std::chrono::milliseconds;

// How much longer than the request's own timeout the caller waits, so that a
// refusal at the deadline still reaches it.
constexpr duration answer_grace = std::chrono::seconds(2);

// A stream that is cut this close to its deadline was cut because of it.
constexpr duration deadline_tolerance = std::chrono::milliseconds(50);

double millis(duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

milliseconds ceilMillis(duration Value) {
  return std::chrono::ceil<milliseconds>(std::max(Value, duration::zero()));
}

// The control port of the stand-in at Address.
entry_endpoint controlOf(const address &Address) {
  size_t Colon = Address.Value.rfind(':');
  int Port = std::stoi(Address.Value.substr(Colon + 1));
  return {Address.Value.substr(0, Colon),
          static_cast<quint16>(Port + control_port_distance)};
}

QJsonObject parseObject(const std::string &Json) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(Json)).object();
}

} // namespace

load_run::load_run(load_settings Given, scenario GivenScenario,
                   configuration GivenSite)
    : Settings(std::move(Given)), Scenario(std::move(GivenScenario)),
      Site(std::move(GivenSite)),
      Plan(planArrivals(Scenario, Settings.Length, Settings.Seed)),
      Outcomes(Plan.size()),
      Client(Settings.Entries,
             [this](const exchange_result &Result) { finished(Result); }) {
  SendTimer.setSingleShot(true);
  SendTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&SendTimer, &QTimer::timeout, [this] { sendDue(); });
  SettleTimer.setSingleShot(true);
  QObject::connect(&SettleTimer, &QTimer::timeout, [this] { collect(); });
}

void load_run::start(callback Callback) {
  OnEnd = std::move(Callback);
  Start = steadyNow();
  planFaults();
  sendDue();
}

// ------------------------------------------------------------------ sending

void load_run::sendDue() {
  duration Passed = steadyNow() - Start;
  while (Next < Plan.size() && Plan[Next].At <= Passed)
    send(Next++);
  if (Next < Plan.size())
    SendTimer.start(ceilMillis(Plan[Next].At - Passed));
  else
    finishIfDone();
}

void load_run::send(size_t Index) {
  const planned_request &Request = Plan[Index];
  duration Timeout = Scenario.Traffic[Request.Traffic].Timeout + answer_grace;
  Client.send(Index, wireFor(Request), Timeout);
}

std::string load_run::wireFor(const planned_request &Request) const {
  const traffic &Traffic = Scenario.Traffic[Request.Traffic];
  const std::string &Organisation =
      Scenario.Organisations[Request.Organisation].Organisation.Value;
  std::string Wire = "POST " + Traffic.Path + " HTTP/1.1\r\nHost: site\r\n";
  auto Key = Settings.Keys.find(Organisation);
  if (Key != Settings.Keys.end())
    Wire += "Authorization: Bearer " + Key->second + "\r\n";
  if (!Request.IdempotencyKey.empty())
    Wire += "Idempotency-Key: " + Request.IdempotencyKey + "\r\n";
  Wire += "X-Service-Class: " + Traffic.Class.Value + "\r\n";
  Wire += "X-Request-Timeout-Ms: " +
          std::to_string(ceilMillis(Traffic.Timeout).count()) + "\r\n";
  Wire += "Content-Type: application/json\r\n";
  Wire += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n\r\n";
  return Wire + Request.Body;
}

// ------------------------------------------------------------------ answers

void load_run::finished(const exchange_result &Result) {
  Outcomes[Result.Request] = judge(Result);
  ++Ended;
  finishIfDone();
}

request_outcome load_run::judge(const exchange_result &Result) const {
  request_outcome Outcome;
  Outcome.Status = Result.Answer.status();
  switch (Result.End) {
  case exchange_end::Answered:
    judgeAnswer(Result, Outcome);
    break;
  case exchange_end::Closed:
    Outcome.Outcome =
        endedAtDeadline(Result) ? outcome::TimedOut : outcome::Broken;
    break;
  case exchange_end::TimedOut:
    Outcome.Outcome = outcome::TimedOut;
    break;
  case exchange_end::NotConnected:
    Outcome.Outcome = outcome::NotConnected;
    break;
  }
  return Outcome;
}

bool load_run::endedAtDeadline(const exchange_result &Result) const {
  const planned_request &Request = Plan[Result.Request];
  duration Timeout = Scenario.Traffic[Request.Traffic].Timeout;
  return Result.Ended - Start >= Request.At + Timeout - deadline_tolerance;
}

void load_run::judgeAnswer(const exchange_result &Result,
                           request_outcome &Outcome) const {
  const planned_request &Request = Plan[Result.Request];
  const traffic &Traffic = Scenario.Traffic[Request.Traffic];
  const answer_reader &Answer = Result.Answer;
  if (Answer.status() != 200) {
    std::string Said = Answer.header("x-outcome");
    Outcome.RefusalCode = parseObject(Answer.body())["error"]
                              .toObject()["code"]
                              .toString()
                              .toStdString();
    Outcome.Outcome = outcome::Rejected;
    if (Said == "unknown")
      Outcome.Outcome = outcome::Unknown;
    else if (Said == "not-run" && Answer.status() != 401)
      Outcome.Outcome = outcome::NotRun;
    return;
  }
  steady_time Planned = Start + Request.At;
  Outcome.FirstTokenMs = millis(Result.Ended - Planned);
  bool Right = false;
  if (Traffic.Model.empty()) {
    Right =
        Answer.body() == standin::serviceAnswerFor(Traffic.Path, Request.Body);
  } else {
    standin::answer_text Expected = standin::answerFor(Request.Body);
    Right = Answer.content() == Expected.text(0) &&
            Answer.isEventStream() == Traffic.Stream &&
            (!Traffic.Stream || Answer.sawDone());
    Outcome.Tokens = Expected.tokens();
  }
  Outcome.Outcome = Right ? outcome::Complete : outcome::Wrong;
  const std::vector<steady_time> &Times = Answer.tokenTimes();
  if (Times.empty())
    return;
  Outcome.FirstTokenMs = millis(Times.front() - Planned);
  for (size_t I = 1; I < Times.size(); ++I)
    Outcome.GapsMs.push_back(millis(Times[I] - Times[I - 1]));
  if (Times.size() > 1)
    Outcome.BetweenTokensMs = millis(Times.back() - Times.front()) /
                              static_cast<double>(Times.size() - 1);
}

// ------------------------------------------------------------------- faults

void load_run::planFaults() {
  for (const planned_fault &Fault : Scenario.Faults) {
    auto At = std::chrono::duration_cast<duration>(Settings.Length * Fault.At);
    FaultTimers.push_back(std::make_unique<QTimer>());
    QTimer &Timer = *FaultTimers.back();
    Timer.setSingleShot(true);
    QObject::connect(&Timer, &QTimer::timeout,
                     [this, &Fault] { applyFault(Fault); });
    Timer.start(ceilMillis(At));
  }
}

void load_run::applyFault(const planned_fault &Fault) const {
  auto Send = [&Fault](const entry_endpoint &Control) {
    callControl(Control, "POST", "/fault", Fault.Json, [](const auto &) {});
  };
  if (Fault.Platform)
    Send(Settings.PlatformControl);
  for (const auto &[Name, Upstream] : Site.Upstreams) {
    bool ByZone = Upstream.Zone.Value == Fault.Zone &&
                  (Upstream.Cheap || !Fault.CheapOnly);
    if (ByZone || Name.Value == Fault.Upstream)
      Send(controlOf(Upstream.Address));
  }
}

// ------------------------------------------------------------------ records

void load_run::finishIfDone() {
  if (Next < Plan.size() || Ended < Plan.size())
    return;
  duration Rest = Settings.Length - (steadyNow() - Start);
  SettleTimer.start(ceilMillis(Rest) + ceilMillis(Settings.Settle));
}

void load_run::collect() {
  RecordsAwaited = Site.Upstreams.size() + 1;
  for (const auto &[Name, Upstream] : Site.Upstreams)
    callControl(controlOf(Upstream.Address), "GET", "/records", "",
                [this, Name = Name](const std::string &Body) {
                  Upstreams.push_back({Name, parseObject(Body)});
                  collected();
                });
  callControl(Settings.PlatformControl, "GET", "/records", "",
              [this](const std::string &Body) {
                Platform = parseObject(Body);
                collected();
              });
}

void load_run::collected() {
  if (--RecordsAwaited > 0)
    return;
  OnEnd(buildReport({Scenario, Site, Settings.Length, Plan, Outcomes,
                     std::move(Upstreams), std::move(Platform)}));
}

} // namespace monsoonreel::load
