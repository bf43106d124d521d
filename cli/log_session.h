// The operator stream, read and written from a shell.
//
//   auto Session = openLog(Options);
//   if (!Session)
//     return exit_unreachable;
//   wire::log_record Record;
//   Record.__set_ConfigEdit(Edit);
//   append_outcome Outcome = Session->append(std::move(Record));
//
// A record whose append was not answered is sent again, the same, until it is
// read back or the time is up. The replay counts it once.

#ifndef CLI_LOG_SESSION_H
#define CLI_LOG_SESSION_H

#include <map>
#include <optional>
#include <string>

#include "cli/options.h"
#include "io/platform_client.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

enum class append_status {
  InForce, // read back and valid
  Void,    // read back and void
  Unknown, // not read back in time; it may still take effect
};

struct append_outcome {
  append_status Status = append_status::Unknown;
  log_offset Offset;
  std::string Reason;
};

class log_session {
public:
  explicit log_session(const options &Options);

  // Reads all that there is. False when the platform can't be reached.
  bool replay();
  append_outcome append(wire::log_record Record);
  const ledger &state() const { return State; }
  // Documents that were in force, by version, as far as the log reaches.
  const std::map<int64_t, std::string> &documents() const { return Documents; }

private:
  std::optional<log_records_read> readFrom(log_offset From);
  void apply(const log_records_read &Read);
  void startFromSnapshot(const log_records_read &Read);

  address Platform;
  duration Timeout;
  incarnation Writer;
  int64_t LastSequence = 0;
  ledger State;
  std::map<int64_t, std::string> Documents;
  // Verdicts of this session's own records, by sequence.
  std::map<int64_t, append_outcome> Own;
};

// A session that has replayed the whole stream. Says so on standard error and
// returns nothing when the platform can't be reached.
std::optional<log_session> openLog(const options &Options);

} // namespace monsoonreel::cli

#endif // CLI_LOG_SESSION_H
