#include "io/http_call.h"

#include <utility>

#include "io/request_text.h"

namespace monsoonreel {

void http_caller::call(const http_call &Call, callback Callback) {
  std::string Bytes = requestText({Call.Method,
                                   Call.Target,
                                   Call.Address,
                                   {{"Content-Type", Call.ContentType}},
                                   Call.Body});
  Caller.call(Call.Address, Bytes, Call.Timeout,
              [Done = std::move(Callback)](const timed_result &Timed) {
                http_result Result;
                Result.Status = Timed.Status;
                Result.Body = Timed.Body;
                Result.TooLarge = Timed.TooLarge;
                Result.Error = Timed.Error;
                Done(Result);
              });
}

} // namespace monsoonreel
