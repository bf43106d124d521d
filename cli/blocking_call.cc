#include "cli/blocking_call.h"

#include <QEventLoop>
#include <QTimer>

namespace monsoonreel::cli {

std::vector<http_result> callAllAndWait(const std::vector<http_call> &Calls) {
  std::vector<http_result> Results(Calls.size());
  if (Calls.empty())
    return Results;
  http_caller Caller;
  QEventLoop Loop;
  size_t Left = Calls.size();
  for (size_t I = 0; I < Calls.size(); ++I)
    Caller.call(Calls[I], [&, I](const http_result &Result) {
      Results[I] = Result;
      if (--Left == 0)
        Loop.quit();
    });
  Loop.exec();
  return Results;
}

http_result callAndWait(const http_call &Call) {
  return callAllAndWait({Call}).front();
}

void pause(duration Time) {
  QEventLoop Loop;
  QTimer::singleShot(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time), &Loop,
      &QEventLoop::quit);
  Loop.exec();
}

} // namespace monsoonreel::cli
