#include "io/signal_watcher.h"

#include <array>
#include <csignal>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace monsoonreel {

namespace {

// Written by the signal handler, read by the event loop.
std::array<int, 2> SignalPipe = {-1, -1};

void writeSignal(int Signal) {
  char Byte = static_cast<char>(Signal);
  // Nothing can be done here about a full pipe, and nothing has to be: the
  // event loop has not read the signals before this one yet.
  [[maybe_unused]] ssize_t Written = ::write(SignalPipe[1], &Byte, 1);
}

} // namespace

signal_watcher::signal_watcher(std::initializer_list<int> Signals,
                               std::function<void(int)> Callback)
    : OnSignal(std::move(Callback)) {
  if (::pipe2(SignalPipe.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    return;
  Notifier =
      std::make_unique<QSocketNotifier>(SignalPipe[0], QSocketNotifier::Read);
  QObject::connect(Notifier.get(), &QSocketNotifier::activated, Notifier.get(),
                   [this] { onReadable(); });
  for (int Signal : Signals)
    std::signal(Signal, writeSignal);
}

signal_watcher::~signal_watcher() {
  Notifier.reset();
  for (int &Descriptor : SignalPipe)
    if (Descriptor >= 0)
      ::close(std::exchange(Descriptor, -1));
}

void signal_watcher::onReadable() {
  char Signal = 0;
  while (::read(SignalPipe[0], &Signal, 1) == 1)
    OnSignal(Signal);
}

} // namespace monsoonreel
