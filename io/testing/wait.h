// Waiting for conditions in tests that use real sockets.
//
//   ASSERT_TRUE(waitUntil([&] { return Client.received("200 OK"); }));

#ifndef IO_TESTING_WAIT_H
#define IO_TESTING_WAIT_H

#include <functional>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include "io/clock.h"

namespace monsoonreel {

// Runs the event loop until Condition holds. Returns false after Limit.
inline bool waitUntil(const std::function<bool()> &Condition,
                      duration Limit = std::chrono::seconds(10)) {
  steady_time End = steadyNow() + Limit;
  // Wakes the loop for conditions that change without an event.
  QTimer Wake;
  Wake.start(std::chrono::milliseconds(5));
  while (!Condition()) {
    if (steadyNow() > End)
      return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

} // namespace monsoonreel

#endif // IO_TESTING_WAIT_H
