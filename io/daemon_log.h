// The log of a daemon: structured lines on standard output that never block.
//
//   startDaemonLog("entry-1");
//   ...
//   stopDaemonLog();             // writes what is left
//
// Lines go through a bounded queue to a thread of their own. When whoever reads
// them does not keep up, the oldest lines in the queue are dropped.

#ifndef IO_DAEMON_LOG_H
#define IO_DAEMON_LOG_H

#include <cstddef>
#include <string>

#include "monsoonreel/monsoonreel.h"
#include "spdlog/common.h"

namespace monsoonreel {

// About a quarter of a megabyte, and several seconds of lines.
constexpr size_t max_queued_lines = 1024;

void startDaemonLog(const std::string &NodeName);
void stopDaemonLog();

// The library's level of a line.
spdlog::level::level_enum levelOf(log_level Level);

} // namespace monsoonreel

#endif // IO_DAEMON_LOG_H
