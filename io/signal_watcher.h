// Hands signals of the operating system to the event loop.
//
//   signal_watcher Signals({SIGTERM, SIGINT}, [this](int Signal) { drain(); });
//
// One watcher at a time in a process.

#ifndef IO_SIGNAL_WATCHER_H
#define IO_SIGNAL_WATCHER_H

#include <functional>
#include <initializer_list>
#include <memory>

#include <QSocketNotifier>

namespace monsoonreel {

class signal_watcher {
public:
  signal_watcher(std::initializer_list<int> Signals,
                 std::function<void(int)> OnSignal);
  ~signal_watcher();
  signal_watcher(const signal_watcher &) = delete;
  signal_watcher &operator=(const signal_watcher &) = delete;

private:
  void onReadable();

  std::function<void(int)> OnSignal;
  std::unique_ptr<QSocketNotifier> Notifier;
};

} // namespace monsoonreel

#endif // IO_SIGNAL_WATCHER_H
