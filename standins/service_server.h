// A stand-in for a plain service: executes any request once it has a worker.
//
//   service_server Server({.Workers = 4});
//   Server.listen("127.0.0.1", 8101, 9101);
//
// Every execution is counted by the request's receipt, a hash of path and
// body, so that a load tool can see what ran, and how often.

#ifndef STANDINS_SERVICE_SERVER_H
#define STANDINS_SERVICE_SERVER_H

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "monsoonreel/monsoonreel.h"
#include "standins/http_standin.h"

namespace monsoonreel::standin {

struct service_costs {
  int Workers = 4;
  int MaxWaiting = 64;
  duration ServiceTime = std::chrono::milliseconds(40);
};

class service_server {
public:
  explicit service_server(service_costs Costs);
  bool listen(const std::string &Ip, quint16 Port, quint16 ControlPort);

private:
  struct job {
    std::string Receipt;
    std::string IdempotencyKey;
    std::string Answer;
    std::shared_ptr<http_reply> Reply;
    bool Gone = false;
  };

  void handle(const http_request &Request, std::shared_ptr<http_reply> Reply);
  void startWaiting();
  void endDue();
  void execute(const std::shared_ptr<job> &Job);
  QJsonObject records() const;

  service_costs Costs;
  std::multimap<steady_time, std::shared_ptr<job>> Running; // by their end
  std::deque<std::shared_ptr<job>> Waiting;
  std::map<std::string, int> Executions;      // by receipt
  std::map<std::string, int> ExecutionsByKey; // by idempotency key
  int64_t Refused = 0;
  int64_t CallerKeysSeen = 0;
  duration Busy{};
  QTimer EndTimer;
  http_standin Http;
};

} // namespace monsoonreel::standin

#endif // STANDINS_SERVICE_SERVER_H
