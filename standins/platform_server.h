// The stand-in of the platform behind HTTP: log, usage reports, orders, list
// of VMs and weight store.
//
//   platform_server Server(Settings);
//   Server.listen("127.0.0.1", {{7000, "north"}, {7001, "south"}}, 9000);
//
// With one port for each zone, a zone can be cut off from the platform.

#ifndef STANDINS_PLATFORM_SERVER_H
#define STANDINS_PLATFORM_SERVER_H

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/http_standin.h"
#include "standins/platform_log.h"
#include "standins/platform_records.h"

namespace monsoonreel::standin {

struct platform_settings {
  log_limits Log;
  bool UsageChecksFence = true;
  bool OrdersCheckFence = true;
  duration VmLag = std::chrono::seconds(5);
  // Until each answer; the slow fault multiplies it.
  duration Latency = std::chrono::milliseconds(2);
  double WeightsPerSecond = 2.0;
  std::vector<listed_vm> Vms;
};

class platform_server {
public:
  explicit platform_server(platform_settings Settings);
  bool listen(const std::string &Ip, const std::vector<zone_port> &Ports,
              quint16 ControlPort);

private:
  using reply_ptr = std::shared_ptr<http_reply>;

  struct waiting_read {
    std::string Stream;
    int64_t From = 1;
    int Max = 0;
    steady_time Until;
    reply_ptr Reply;
  };

  void handle(const http_request &Request, const reply_ptr &Reply);
  void route(const http_request &Request, const reply_ptr &Reply);
  void handleAppend(const std::string &Stream, const http_request &Request,
                    http_reply &Reply);
  void handleRead(const std::string &Stream, const http_request &Request,
                  const reply_ptr &Reply);
  void handleUsage(const http_request &Request, http_reply &Reply);
  void handleOrder(const http_request &Request, http_reply &Reply);
  void handleVms(http_reply &Reply);
  void handleWeights(http_reply &Reply);
  void handleFault(const fault &Fault);
  bool answerRead(const waiting_read &Read, bool EvenIfEmpty);
  void answerReads(const std::string &Stream);
  void endOldReads();
  QJsonObject records() const;

  platform_settings Settings;
  platform_log Log;
  usage_reports Reports;
  order_book Orders;
  vm_list Vms;
  std::list<waiting_read> Reads;
  std::map<std::string, int64_t> Appends; // by stream
  int64_t AppendsOverRate = 0;
  int64_t AppendedBytes = 0;
  double WeightTokens;
  steady_time WeightsRefilled;
  QTimer ReadTimer;
  http_standin Http;
};

} // namespace monsoonreel::standin

#endif // STANDINS_PLATFORM_SERVER_H
