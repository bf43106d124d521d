// A stand-in for a model engine.
//
//   standin-engine --port 8001 --control_port 9001

#include <cstdint>
#include <string>

#include <QCoreApplication>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standins/engine_server.h"

ABSL_FLAG(std::string, ip, "127.0.0.1", "address to listen on");
ABSL_FLAG(uint16_t, port, 8001, "port of the engine's own interface");
ABSL_FLAG(uint16_t, control_port, 9001, "port for faults and records");
ABSL_FLAG(int, max_running, 8, "sequences in one batch");
ABSL_FLAG(int, max_waiting, 64, "requests that wait for a place in the batch");
ABSL_FLAG(int, step_base_us, 20000, "cost of a step, in microseconds");
ABSL_FLAG(int, step_per_sequence_us, 1500,
          "cost of each sequence in a step, in microseconds");
ABSL_FLAG(int, prefill_per_token_us, 60,
          "cost of reading a prompt token, in microseconds");
ABSL_FLAG(int, cache_tokens, 32768, "limit of the prefix cache");
ABSL_FLAG(int, load_lag_ms, 500, "age that a load report reaches");

int main(int Argc, char **Argv) {
  using namespace monsoonreel;
  absl::ParseCommandLine(Argc, Argv);
  QCoreApplication App(Argc, Argv);
  standin::engine_costs Costs;
  Costs.MaxRunning = absl::GetFlag(FLAGS_max_running);
  Costs.MaxWaiting = absl::GetFlag(FLAGS_max_waiting);
  Costs.StepBase = duration(absl::GetFlag(FLAGS_step_base_us));
  Costs.StepPerSequence = duration(absl::GetFlag(FLAGS_step_per_sequence_us));
  Costs.PrefillPerToken = duration(absl::GetFlag(FLAGS_prefill_per_token_us));
  Costs.CacheTokens = absl::GetFlag(FLAGS_cache_tokens);
  Costs.LoadLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
  standin::engine_server Server(Costs);
  return standin::runStandin("standin-engine",
                             Server.listen(absl::GetFlag(FLAGS_ip),
                                           absl::GetFlag(FLAGS_port),
                                           absl::GetFlag(FLAGS_control_port)));
}
