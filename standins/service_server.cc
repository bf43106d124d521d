#include "standins/service_server.h"

#include <algorithm>

#include "standins/answer_text.h"
#include "standins/steady_clock.h"

namespace monsoonreel::standin {

namespace {

constexpr std::chrono::milliseconds end_check_period{5};

} // namespace

service_server::service_server(service_costs Costs)
    : Costs(Costs), Http(
                        [this](const http_request &Request,
                               std::shared_ptr<http_reply> Reply) {
                          handle(Request, std::move(Reply));
                        },
                        [this] { return records(); }) {
  Http.onFault([this](const fault &Fault) {
    if (Fault.Kind == fault_kind::Crash)
      Waiting.clear();
  });
  QObject::connect(&EndTimer, &QTimer::timeout, [this] { endDue(); });
  EndTimer.setTimerType(Qt::PreciseTimer);
  EndTimer.start(end_check_period);
}

bool service_server::listen(const std::string &Ip, quint16 Port,
                            quint16 ControlPort) {
  return Http.listen(Ip, {{Port, ""}}, ControlPort);
}

void service_server::handle(const http_request &Request,
                            std::shared_ptr<http_reply> Reply) {
  if (Request.Path == "/load") {
    Reply->sendJson(200, {{"running", int(Running.size())},
                          {"waiting", int(Waiting.size())},
                          {"cache_use", 0.0},
                          {"age_ms", 0},
                          {"leaving", Http.faults().leaving()}});
    return;
  }
  if (!Request.header("authorization").empty())
    ++CallerKeysSeen;
  if (static_cast<int>(Waiting.size()) >= Costs.MaxWaiting) {
    ++Refused;
    Reply->sendJson(503, {{"error", "waiting list is full"}},
                    {{"X-Not-Run", "true"}, {"Retry-After", "1"}});
    return;
  }
  std::string_view Body(Request.Body.data(), size_t(Request.Body.size()));
  auto Job = std::make_shared<job>();
  Job->Answer = serviceAnswerFor(Request.Path, Body);
  Job->Receipt = receiptFor(Request.Path, Body);
  Job->IdempotencyKey = Request.header("idempotency-key");
  Job->Reply = std::move(Reply);
  Job->Reply->onGone([WeakJob = std::weak_ptr<job>(Job)] {
    if (auto Job = WeakJob.lock())
      Job->Gone = true;
  });
  Waiting.push_back(std::move(Job));
  startWaiting();
}

void service_server::startWaiting() {
  // A request whose caller left before it began does not run.
  std::erase_if(Waiting, [](const auto &Job) { return Job->Gone; });
  while (static_cast<int>(Running.size()) < Costs.Workers && !Waiting.empty()) {
    execute(Waiting.front());
    Waiting.pop_front();
  }
}

void service_server::execute(const std::shared_ptr<job> &Job) {
  ++Executions[Job->Receipt];
  if (!Job->IdempotencyKey.empty())
    ++ExecutionsByKey[Job->IdempotencyKey];
  auto Time = std::chrono::duration_cast<duration>(Costs.ServiceTime *
                                                   Http.faults().slowFactor());
  Busy += Time;
  Running.emplace(steadyNow() + Time, Job);
}

void service_server::endDue() {
  steady_time Now = steadyNow();
  while (!Running.empty() && Running.begin()->first <= Now) {
    auto Job = Running.begin()->second;
    Running.erase(Running.begin());
    Job->Reply->send(200, "application/json", Job->Answer);
  }
  startWaiting();
}

QJsonObject service_server::records() const {
  QJsonObject Receipts;
  int64_t Total = 0;
  for (const auto &[Receipt, Count] : Executions) {
    Receipts[QString::fromStdString(Receipt)] = Count;
    Total += Count;
  }
  int64_t DoubledKeys = std::count_if(
      ExecutionsByKey.begin(), ExecutionsByKey.end(),
      [](const auto &KeyAndCount) { return KeyAndCount.second > 1; });
  return {{"executions", qint64(Total)},
          {"receipts", Receipts},
          {"doubled_keys", qint64(DoubledKeys)},
          {"refused", qint64(Refused)},
          {"busy_ms", qint64(Busy.count() / 1000)},
          {"caller_keys_seen", qint64(CallerKeysSeen)}};
}

} // namespace monsoonreel::standin
