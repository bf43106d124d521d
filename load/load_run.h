// One run of a scenario against a running site.
//
//   load_run Run(Settings, Scenario, Site);
//   Run.start([&](const run_report &Report) { std::cout << toTable(Report); });
//
// Sends the planned requests, switches the faults on at their times, waits for
// all answers, then collects the records of the stand-ins.

#ifndef LOAD_LOAD_RUN_H
#define LOAD_LOAD_RUN_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QTimer>

#include "load/load_client.h"
#include "load/run_report.h"

namespace monsoonreel::load {

// The control port of a stand-in is its own port plus this.
constexpr int control_port_distance = 1000;

struct load_settings {
  std::vector<entry_endpoint> Entries;
  std::map<std::string, std::string> Keys; // by organisation
  entry_endpoint PlatformControl;
  duration Length = std::chrono::seconds(30);
  uint64_t Seed = 1;
  // Between the last answer and the collection of the records, so that usage
  // can be reported.
  duration Settle = std::chrono::seconds(0);
};

class load_run {
public:
  using callback = std::function<void(const run_report &)>;

  load_run(load_settings Settings, scenario Scenario, configuration Site);

  void start(callback OnEnd);

private:
  void sendDue();
  void send(size_t Index);
  std::string wireFor(const planned_request &Request) const;
  void finished(const exchange_result &Result);
  request_outcome judge(const exchange_result &Result) const;
  void judgeAnswer(const exchange_result &Result,
                   request_outcome &Outcome) const;
  bool endedAtDeadline(const exchange_result &Result) const;
  void planFaults();
  void applyFault(const planned_fault &Fault) const;
  void finishIfDone();
  void collect();
  void collected();

  load_settings Settings;
  scenario Scenario;
  configuration Site;
  callback OnEnd;
  std::vector<planned_request> Plan;
  std::vector<request_outcome> Outcomes;
  size_t Next = 0;
  size_t Ended = 0;
  steady_time Start;
  QTimer SendTimer;
  QTimer SettleTimer;
  std::vector<std::unique_ptr<QTimer>> FaultTimers;
  load_client Client;
  std::vector<upstream_records> Upstreams;
  QJsonObject Platform;
  size_t RecordsAwaited = 0;
};

} // namespace monsoonreel::load

#endif // LOAD_LOAD_RUN_H
