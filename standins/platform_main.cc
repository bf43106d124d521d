// A stand-in for the platform.
//
//   standin-platform --ports north=7000,south=7001 --control_port 9000

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <QCoreApplication>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "standins/platform_server.h"

ABSL_FLAG(std::string, ip, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::vector<std::string>, ports, {"7000"},
          "ports, each as PORT or ZONE=PORT");
ABSL_FLAG(uint16_t, control_port, 9000, "port for faults and records");
ABSL_FLAG(double, appends_per_second, 400, "rate limit of the log");
ABSL_FLAG(int, retention_s, 3600, "how long the log keeps records");
ABSL_FLAG(int, latency_ms, 2, "time until each answer");
ABSL_FLAG(int, vm_lag_ms, 5000, "lag of the list of VMs");
ABSL_FLAG(bool, check_usage_fence, true,
          "usage reports with an old fencing number are refused");
ABSL_FLAG(bool, check_order_fence, true,
          "orders with an old fencing number are refused");
ABSL_FLAG(std::vector<std::string>, vms, {},
          "live VMs, each as NAME@ZONE@IP:PORT");

namespace {

using namespace monsoonreel;

// False when Text is no port.
bool parsePort(const std::string &Text, standin::zone_port &Port) {
  std::vector<std::string> Parts = absl::StrSplit(Text, '=');
  int Number = 0;
  if (Parts.size() > 2 || !absl::SimpleAtoi(Parts.back(), &Number))
    return false;
  Port.Port = static_cast<quint16>(Number);
  if (Parts.size() == 2)
    Port.Zone = Parts[0];
  return true;
}

bool parseVm(const std::string &Text, standin::listed_vm &Vm) {
  std::vector<std::string> Parts = absl::StrSplit(Text, '@');
  if (Parts.size() != 3)
    return false;
  Vm = {Parts[0], Parts[1], Parts[2], false};
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  QCoreApplication App(Argc, Argv);
  standin::platform_settings Settings;
  Settings.Log.AppendsPerSecond = absl::GetFlag(FLAGS_appends_per_second);
  Settings.Log.Retention =
      std::chrono::seconds(absl::GetFlag(FLAGS_retention_s));
  Settings.Latency = std::chrono::milliseconds(absl::GetFlag(FLAGS_latency_ms));
  Settings.VmLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_vm_lag_ms));
  Settings.UsageChecksFence = absl::GetFlag(FLAGS_check_usage_fence);
  Settings.OrdersCheckFence = absl::GetFlag(FLAGS_check_order_fence);
  bool Valid = true;
  for (const std::string &Text : absl::GetFlag(FLAGS_vms))
    Valid &= parseVm(Text, Settings.Vms.emplace_back());
  std::vector<standin::zone_port> Ports;
  for (const std::string &Text : absl::GetFlag(FLAGS_ports))
    Valid &= parsePort(Text, Ports.emplace_back());
  if (!Valid) {
    std::fprintf(stderr, "standin-platform: wrong --ports or --vms\n");
    return 1;
  }
  standin::platform_server Server(std::move(Settings));
  return standin::runStandin("standin-platform",
                             Server.listen(absl::GetFlag(FLAGS_ip), Ports,
                                           absl::GetFlag(FLAGS_control_port)));
}
