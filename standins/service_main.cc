// A stand-in for a plain service.
//
//   standin-service --port 8101 --control_port 9101

#include <cstdint>
#include <string>

#include <QCoreApplication>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standins/service_server.h"

ABSL_FLAG(std::string, ip, "127.0.0.1", "address to listen on");
ABSL_FLAG(uint16_t, port, 8101, "port of the service's own interface");
ABSL_FLAG(uint16_t, control_port, 9101, "port for faults and records");
ABSL_FLAG(int, workers, 4, "requests that run at once");
ABSL_FLAG(int, max_waiting, 64, "requests that wait for a worker");
ABSL_FLAG(int, service_ms, 40, "time that one request takes");

int main(int Argc, char **Argv) {
  using namespace monsoonreel;
  absl::ParseCommandLine(Argc, Argv);
  QCoreApplication App(Argc, Argv);
  standin::service_costs Costs;
  Costs.Workers = absl::GetFlag(FLAGS_workers);
  Costs.MaxWaiting = absl::GetFlag(FLAGS_max_waiting);
  Costs.ServiceTime =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms));
  standin::service_server Server(Costs);
  return standin::runStandin("standin-service",
                             Server.listen(absl::GetFlag(FLAGS_ip),
                                           absl::GetFlag(FLAGS_port),
                                           absl::GetFlag(FLAGS_control_port)));
}
