// Health, metrics and status for operators.
//
//   admin_port Admin(Source);
//   if (!Admin.listen(Settings.Admin))
//     return 1;
//
// GET /healthz, /readyz, /metrics, /status; POST /drain.

#ifndef IO_ADMIN_PORT_H
#define IO_ADMIN_PORT_H

#include <string>

#include "io/http_server.h"

namespace monsoonreel {

class admin_source {
public:
  virtual ~admin_source() = default;
  // Whether the process should get new work.
  virtual bool isReady() const = 0;
  virtual std::string metricsText() = 0;
  virtual std::string statusJson() const = 0;
  // Ends what runs and then the process.
  virtual void drain() = 0;
};

class admin_port : public http_handler {
public:
  explicit admin_port(admin_source &Source);

  bool listen(const address &At);
  uint16_t port() const { return Server.port(); }
  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override;

private:
  admin_source &Source;
  http_server Server;
};

} // namespace monsoonreel

#endif // IO_ADMIN_PORT_H
