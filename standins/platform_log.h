// The platform's append-only log: named streams of records with offsets.
//
//   platform_log Log(Limits);
//   append_result Result = Log.append("operator", Bytes, Now);
//   log_slice Slice = Log.read("operator", 1, 100, Now);
//
// Offsets start at 1 in each stream and have no gaps. Records are dropped when
// they are older than the retention time. Appends over the rate are refused.

#ifndef STANDINS_PLATFORM_LOG_H
#define STANDINS_PLATFORM_LOG_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::standin {

struct log_limits {
  duration Retention = std::chrono::hours(1);
  double AppendsPerSecond = 400;
  int MaxRecordBytes = 1 << 20;
};

struct append_result {
  enum class status { Appended, OverRate, TooLarge };
  status Status = status::Appended;
  int64_t Offset = 0;
};

struct log_entry {
  int64_t Offset = 0;
  std::string Bytes;
  steady_time Written;
};

struct log_slice {
  int64_t Horizon = 1; // the lowest offset that is kept
  int64_t End = 1;     // one more than the highest offset
  std::vector<log_entry> Records;
};

class platform_log {
public:
  explicit platform_log(log_limits Limits);

  append_result append(const std::string &Stream, std::string Bytes,
                       steady_time Now);
  // Records from From on, or from the horizon when From was dropped.
  log_slice read(const std::string &Stream, int64_t From, int Max,
                 steady_time Now);

private:
  struct stream {
    int64_t Horizon = 1;
    std::deque<log_entry> Records;
  };

  bool takeToken(steady_time Now);
  void dropOld(stream &Stream, steady_time Now) const;

  log_limits Limits;
  std::map<std::string, stream> Streams;
  double Tokens;
  steady_time Refilled;
};

} // namespace monsoonreel::standin

#endif // STANDINS_PLATFORM_LOG_H
