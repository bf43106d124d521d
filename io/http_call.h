// Small calls by HTTP: one request, one bounded answer, one timeout.
//
//   http_caller Caller;
//   Caller.call({Platform, "GET", "/vms", "", std::chrono::seconds(2)},
//               [](const http_result &Result) { use(Result.Body); });
//
// A call is sent at most once. The callback comes exactly once, unless the
// caller object is destroyed before.

#ifndef IO_HTTP_CALL_H
#define IO_HTTP_CALL_H

#include <functional>
#include <string>

#include "io/timed_call.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

struct http_call {
  address Address;
  std::string Method;
  std::string Target; // path and query
  std::string Body;
  duration Timeout = std::chrono::seconds(5);
  std::string ContentType = "application/json";
};

struct http_result {
  int Status = 0; // 0: no whole answer came
  std::string Body;
  bool TooLarge = false; // the answer exceeded max_result_bytes
  std::string Error;
};

constexpr size_t max_result_bytes = size_t{32} << 20;
// Calls may cross regions and lost packets; each has its own timeout.
constexpr duration call_connect_timeout = std::chrono::seconds(5);

class http_caller {
public:
  using callback = std::function<void(const http_result &)>;

  void call(const http_call &Call, callback Callback);

private:
  timed_caller Caller{max_result_bytes, call_connect_timeout};
};

} // namespace monsoonreel

#endif // IO_HTTP_CALL_H
