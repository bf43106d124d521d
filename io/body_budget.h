// Bounds the memory for the large request bodies of all connections together.
//
//   body_budget Budget(Bytes);
//   if (!Budget.reserve(this, Size, [this] { readOn(); }))
//     return; // the callback comes once there is room
//   ...
//   Budget.release(this);
//
// Reservations are granted in the order of the calls. One that exceeds the
// limit is granted when there is no other one.

#ifndef IO_BODY_BUDGET_H
#define IO_BODY_BUDGET_H

#include <cstdint>
#include <deque>
#include <functional>

#include <QObject>

#include "absl/container/flat_hash_map.h"

namespace monsoonreel {

// Bodies up to this size need no reservation; where the server has a limit for
// what its connections hold, see `memory_account`, they count towards it.
constexpr int64_t small_body_bytes = int64_t{64} << 10;

class body_budget {
public:
  explicit body_budget(int64_t LimitBytes) : Limit(LimitBytes) {}

  // Returns whether Owner holds its reservation. If not, OnRoom is called from
  // the event loop once it does.
  bool reserve(const QObject *Owner, int64_t Bytes,
               std::function<void()> OnRoom);
  // Ends the reservation of Owner, or its wait for one.
  void release(const QObject *Owner);
  void setLimit(int64_t Bytes) { Limit = Bytes; }
  int64_t reserved() const { return Used; }

private:
  struct waiting_body {
    const QObject *Owner = nullptr;
    int64_t Bytes = 0;
    std::function<void()> OnRoom;
  };
  bool fits(int64_t Bytes) const { return Used == 0 || Used + Bytes <= Limit; }
  void grant(const QObject *Owner, int64_t Bytes);

  int64_t Limit;
  int64_t Used = 0;
  absl::flat_hash_map<const QObject *, int64_t> Held;
  std::deque<waiting_body> Waiting;
};

} // namespace monsoonreel

#endif // IO_BODY_BUDGET_H
