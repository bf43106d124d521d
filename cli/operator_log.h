// The platform's operator log as the command line uses it: replay it, append
// to it, and learn what became of the record.
//
//   operator_log Log(Platform);
//   if (auto Error = Log.catchUp())
//     fail(*Error);
//   wire::log_record Record;
//   Record.__set_KeyWithdraw(Withdraw);
//   tl::expected<ledger_change, std::string> Change = Log.append(Record);
//
// An append whose answer is lost is sent again with the same writer and
// sequence, so it takes effect once. What counts is the replay: the record's
// verdict there says whether it is in force.

#ifndef CLI_OPERATOR_LOG_H
#define CLI_OPERATOR_LOG_H

#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "io/http_call.h"
#include "io/platform_client.h"
#include "monsoonreel/ledger.h"

namespace monsoonreel {

class operator_log {
public:
  explicit operator_log(address Platform);

  // Replays everything up to the log's end. Returns an error, or nothing.
  std::optional<std::string> catchUp();

  // Appends the record and replays until it was read back.
  tl::expected<ledger_change, std::string> append(wire::log_record Record);

  const ledger &state() const { return Ledger; }

private:
  // Reads once. Returns whether there may be more; Change is set when the
  // awaited record was replayed.
  tl::expected<bool, std::string> readOnce(duration Wait,
                                           std::optional<ledger_change> *Own);
  std::optional<std::string> startFromSnapshot(const log_records_read &Read);

  address Platform;
  ledger Ledger;
  incarnation Writer;
  int64_t Sequence = 0;
};

// Makes one call and waits for its end.
http_result callAndWait(const http_call &Call);

} // namespace monsoonreel

#endif // CLI_OPERATOR_LOG_H
