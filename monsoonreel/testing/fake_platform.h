// A platform in memory for tests: streams with offsets and retention, usage
// reports and orders, with answers that get lost.
//
//   fake_platform Platform;
//   Platform.LoseAnswer = true;
//   std::optional<event_body> Answer = Platform.carryOut(Effect);
//
// An effect takes effect when it is carried out, also when its answer is lost.

#ifndef MONSOONREEL_TESTING_FAKE_PLATFORM_H
#define MONSOONREEL_TESTING_FAKE_PLATFORM_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"

namespace monsoonreel::testing {

class fake_platform {
public:
  // The answer to an effect that is a call to the platform. Nothing for other
  // effects, and when the answer is lost.
  std::optional<event_body> carryOut(const effect &Effect);

  log_offset append(const std::string &Stream, const wire::log_record &Record);
  log_offset appendBytes(const std::string &Stream, std::string Bytes);
  // Drops all records before Horizon.
  void dropBefore(const std::string &Stream, log_offset Horizon);
  log_records_read read(const std::string &Stream, log_offset From) const;
  const std::vector<std::string> &records(const std::string &Stream) {
    return Streams[Stream].Records;
  }

  bool Out = false;        // takes nothing, answers nothing
  bool LoseAnswer = false; // takes effect, answers nothing
  // Whether an old fencing number is refused.
  bool ChecksFence = false;

  // Every report and order that took effect.
  std::vector<send_usage_report> Reports;
  std::vector<wire::order_intent> Orders;
  std::vector<vm_entry> Vms;

private:
  struct stream {
    std::vector<std::string> Records;
    log_offset Horizon{1};
  };

  std::map<std::string, stream> Streams;
};

} // namespace monsoonreel::testing

#endif // MONSOONREEL_TESTING_FAKE_PLATFORM_H
