// Small calls by HTTP over kept connections: one request, one answer, one
// timeout.
//
//   timed_caller Caller;
//   call_id Call = Caller.call(Address, Bytes, seconds(1),
//                              [](const timed_result &R) { use(R.Body); });
//
// The result tells whether a call without an answer may have taken effect. The
// callback comes once, unless the call is cancelled.

#ifndef IO_TIMED_CALL_H
#define IO_TIMED_CALL_H

#include <functional>
#include <string>

#include "io/channel_pool.h"

namespace monsoonreel {

// Larger answers are refused, unless another limit is chosen.
constexpr size_t max_timed_answer_bytes = size_t{16} << 20;

struct timed_result {
  int Status = 0; // 0: no whole answer came
  http_header_list Headers;
  std::string Body;
  // Without an answer: nothing of the call was sent.
  bool NeverSent = false;
  bool TooLarge = false; // the answer exceeded the limit
  std::string Error;
};

class timed_caller {
public:
  using callback = std::function<void(const timed_result &)>;

  explicit timed_caller(size_t MaxAnswerBytes = max_timed_answer_bytes,
                        duration ConnectTimeout = connect_timeout)
      : MaxAnswerBytes(MaxAnswerBytes), Channels(ConnectTimeout) {}

  call_id call(const address &To, std::string_view Bytes, duration Timeout,
               callback Callback);
  void cancel(call_id Call) { Channels.cancel(Call); }

private:
  class handler;
  size_t MaxAnswerBytes;
  channel_pool Channels;
};

} // namespace monsoonreel

#endif // IO_TIMED_CALL_H
