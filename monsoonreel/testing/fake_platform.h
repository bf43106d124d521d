// An in-memory platform for tests: streams with offsets and retention, usage
// reports and orders. Its answers can be dropped.
//
//   fake_platform Platform;
//   Platform.LoseAnswer = true;
//   std::optional<event_body> Answer = Platform.carryOut(Effect);
//
// A call takes effect when it is carried out, even if its answer is lost.

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
  // Carries out an effect and returns the platform's answer. Returns nothing if
  // the effect is not a call to the platform or the answer is lost.
  std::optional<event_body> carryOut(const effect &Effect);

  log_offset append(const std::string &Stream, const wire::log_record &Record);
  log_offset appendBytes(const std::string &Stream, std::string Bytes);
  // Drops all records before Horizon.
  void dropBefore(const std::string &Stream, log_offset Horizon);
  log_records_read read(const std::string &Stream, log_offset From) const;
  const std::vector<std::string> &records(const std::string &Stream) {
    return Streams[Stream].Records;
  }

  bool Out = false;        // calls have no effect and no answer
  bool LoseAnswer = false; // calls take effect, but have no answer
  // Whether usage reports with an old fencing number are refused.
  bool ChecksFence = false;

  // All reports and orders that took effect.
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
