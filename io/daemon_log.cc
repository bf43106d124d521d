#include "io/daemon_log.h"

#include <memory>

#include "spdlog/async.h"
#include "spdlog/sinks/stdout_sinks.h"
#include "spdlog/spdlog.h"

namespace monsoonreel {

void startDaemonLog(const std::string &NodeName) {
  spdlog::init_thread_pool(max_queued_lines, 1);
  auto Logger = std::make_shared<spdlog::async_logger>(
      "monsoonreel", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l node=" + NodeName +
                      " %v");
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(Logger);
}

spdlog::level::level_enum levelOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return spdlog::level::debug;
  case log_level::Info:
    return spdlog::level::info;
  case log_level::Warning:
    return spdlog::level::warn;
  case log_level::Error:
    break;
  }
  return spdlog::level::err;
}

void stopDaemonLog() { spdlog::shutdown(); }

} // namespace monsoonreel
