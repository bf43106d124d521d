// Calls to the platform, and their answers as events.
//
//   platform_client Platform(Address, Sink);
//   Platform.append(append_record{Call, "operator", Record});
//   Platform.read(read_log{"operator", log_offset{17}});
//
// A call is sent once. Whether and when to repeat it is the node's decision.

#ifndef IO_PLATFORM_CLIENT_H
#define IO_PLATFORM_CLIENT_H

#include <optional>
#include <string>

#include "absl/container/flat_hash_set.h"

#include "io/event_sink.h"
#include "io/http_call.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// How long the platform may hold a read back while there is nothing new.
constexpr duration log_poll_wait = std::chrono::seconds(1);
constexpr duration platform_timeout = std::chrono::seconds(5);
constexpr int log_read_records = 256;

// How a call failed, or nothing when it succeeded.
std::optional<platform_error> platformErrorOf(const http_result &Result);

// The records of an answer to a read, or nothing when it is malformed.
std::optional<log_records_read> parseLogRecords(const std::string &Stream,
                                                log_offset From,
                                                const std::string &Json);
std::optional<vm_list_read> parseVmList(const std::string &Json);
// The offset of an appended record, or nothing when the answer is malformed.
std::optional<log_offset> parseAppended(const std::string &Json);

// The calls as HTTP; also used by the command line.
http_call makeAppendCall(const address &Platform, const std::string &Stream,
                         const std::string &Record);
http_call makeReadCall(const address &Platform, const std::string &Stream,
                       log_offset From, int MaxRecords, duration Wait);

class platform_client {
public:
  platform_client(address Platform, event_sink &Sink);

  void append(const append_record &Append);
  void read(const read_log &Read);
  void report(const send_usage_report &Report);
  void order(const send_order &Order);
  void readVms();

private:
  void onRead(const std::string &Stream, log_offset From,
              const http_result &Result);

  address Platform;
  event_sink &Sink;
  http_caller Caller;
  // Streams whose last answer was too large: the next read asks for one record.
  absl::flat_hash_set<std::string> TooLarge;
};

} // namespace monsoonreel

#endif // IO_PLATFORM_CLIENT_H
