#include "io/body_budget.h"

#include <algorithm>
#include <utility>

#include <QTimer>

namespace monsoonreel {

bool body_budget::reserve(const QObject *Owner, int64_t Bytes,
                          std::function<void()> OnRoom) {
  if (Held.contains(Owner))
    return true;
  bool IsWaiting = std::any_of(
      Waiting.begin(), Waiting.end(),
      [&](const waiting_body &Body) { return Body.Owner == Owner; });
  if (IsWaiting)
    return false;
  if (Waiting.empty() && fits(Bytes)) {
    grant(Owner, Bytes);
    return true;
  }
  Waiting.push_back({Owner, Bytes, std::move(OnRoom)});
  return false;
}

void body_budget::grant(const QObject *Owner, int64_t Bytes) {
  Held[Owner] = Bytes;
  Used += Bytes;
}

void body_budget::release(const QObject *Owner) {
  std::erase_if(Waiting,
                [&](const waiting_body &Body) { return Body.Owner == Owner; });
  if (auto It = Held.find(Owner); It != Held.end()) {
    Used -= It->second;
    Held.erase(It);
  }
  while (!Waiting.empty() && fits(Waiting.front().Bytes)) {
    waiting_body Next = std::move(Waiting.front());
    Waiting.pop_front();
    grant(Next.Owner, Next.Bytes);
    // Not from within the handling of another connection.
    QTimer::singleShot(0, Next.Owner, std::move(Next.OnRoom));
  }
}

} // namespace monsoonreel
