// The platform as nodes see it: a log, usage reports and upstream orders.
//
// It believes every caller and checks no fencing number, which is the harder
// case. What it receives is judged by `findings`, against fencing numbers and
// against a second replay of the log.

#ifndef MONSOONREEL_FAULT_MATRIX_FAKE_PLATFORM_H
#define MONSOONREEL_FAULT_MATRIX_FAKE_PLATFORM_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fault_matrix/log_reference.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/types.h"

namespace monsoonreel::fault_matrix {

class fake_platform {
public:
  // Records per read.
  static constexpr size_t max_records_per_read = 200;
  // A reader that is at the end is answered after this time.
  static constexpr duration long_poll = std::chrono::milliseconds(500);

  log_offset append(const std::string &Stream, const wire::log_record &Record);
  log_records_read read(const read_log &Call) const;
  bool hasNews(const read_log &Call) const;

  // Forgets the records before Offset.
  void dropBefore(const std::string &Stream, log_offset Offset);

  void report(const send_usage_report &Report);
  void order(const wire::order_intent &Intent);

  const std::map<int64_t, std::vector<wire::usage_increment>> &reports() const {
    return Reports;
  }
  log_offset end(const std::string &Stream) const;
  const log_reference &reference() const { return Reference; }
  // Each of the brief's promises on reports and orders that was broken.
  const std::vector<std::string> &findings() const { return Findings; }

private:
  std::map<std::string, std::vector<wire::stored_record>> Streams;
  std::map<std::string, log_offset> Horizons; // lowest offsets still kept
  log_reference Reference;
  std::map<int64_t, std::vector<wire::usage_increment>> Reports;
  int64_t HighestReportFence = 0;
  std::map<std::string, int64_t> HighestOrderFence; // by zone
  std::set<std::string> OrderIds;
  std::vector<std::string> Findings;
};

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_FAKE_PLATFORM_H
