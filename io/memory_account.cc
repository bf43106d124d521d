#include "io/memory_account.h"

#include <algorithm>
#include <utility>

#include <QTimer>

namespace monsoonreel {

void memory_account::setLimits(const memory_limits &Bounds) {
  Limits = Bounds;
  Bodies.setLimit(Bounds.LargeBodyBytes);
}

void memory_account::update(memory_holder *Holder, int64_t Bytes) {
  int64_t &Figure = Held[Holder];
  Total += Bytes - std::exchange(Figure, Bytes);
  if (Total <= Limits.HeldBytes || Enforcing || std::exchange(Scheduled, true))
    return;
  QTimer::singleShot(0, &Timers, [this] {
    Scheduled = false;
    enforce();
  });
}

void memory_account::remove(memory_holder *Holder) {
  auto It = Held.find(Holder);
  if (It == Held.end())
    return;
  Total -= It->second;
  Held.erase(It);
}

void memory_account::enforce() {
  if (std::exchange(Enforcing, true))
    return;
  // Each pass sheds another connection. The number of passes is bounded in case
  // one of them still holds something afterwards.
  for (size_t Passes = Held.size(); Passes > 0 && Total > Limits.HeldBytes;
       --Passes) {
    memory_holder *Chosen = choose();
    if (!Chosen)
      break;
    Chosen->shed(held());
  }
  Enforcing = false;
}

int64_t memory_account::leastShedBytes() const {
  auto Connections = static_cast<int64_t>(Held.size());
  return std::min(min_shed_bytes,
                  Limits.HeldBytes / std::max<int64_t>(Connections, 1));
}

memory_holder *memory_account::choose() const {
  int64_t Least = leastShedBytes();
  memory_holder *Chosen = nullptr;
  int64_t Most = 0;
  bool First = false;
  int Candidates = 0;
  for (const auto &[Holder, Bytes] : Held) {
    if (Bytes < Least)
      continue;
    ++Candidates;
    bool HolderFirst = Holder->isShedFirst();
    bool Better = !Chosen || (HolderFirst && !First);
    if (!Better && HolderFirst == First)
      Better = Bytes > Most || (Bytes == Most && Holder->lastProgress() <
                                                     Chosen->lastProgress());
    if (!Better)
      continue;
    Chosen = Holder;
    Most = Bytes;
    First = HolderFirst;
  }
  // What one connection holds is bounded by one request and one answer.
  // Shedding it alone would refuse a request or an answer of permitted size for
  // ever.
  return Candidates > 1 ? Chosen : nullptr;
}

} // namespace monsoonreel
