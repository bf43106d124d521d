// Accounts for the memory that a server holds for its connections.
//
//   class connection : public memory_holder { ... };
//   memory_account Account({.HeldBytes = 16 << 20, .LargeBodyBytes = 64 <<
//   20}); Account.update(&Connection, Bytes);   // whenever its figure changes
//   Account.remove(&Connection);
//
// When the total exceeds the limit, connections are shed: the one that holds
// most first, and among equal ones the one without progress for the longest.
// This happens from the event loop, because a figure may change within the
// handling of a connection that would be closed; `enforce` sheds at once.
//
// Reservations of large bodies are a part of the account. They have a share of
// their own, so a holder does not include a reserved body in its figure.

#ifndef IO_MEMORY_ACCOUNT_H
#define IO_MEMORY_ACCOUNT_H

#include <cstdint>
#include <limits>

#include <QObject>

#include "absl/container/flat_hash_map.h"

#include "io/body_budget.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// A connection that holds less is not shed: an ordinary request with its answer
// fits. With so many connections that an equal share of the limit is smaller,
// the share takes its place; otherwise many small figures could exceed the
// limit without one that can be shed.
constexpr int64_t min_shed_bytes = int64_t{32} << 10;

struct memory_limits {
  int64_t HeldBytes = std::numeric_limits<int64_t>::max();
  int64_t LargeBodyBytes = std::numeric_limits<int64_t>::max();
};

class memory_holder {
public:
  virtual ~memory_holder() = default;
  // Whether nothing that the caller waits for is lost with the connection: its
  // request has not been handed on, or its answer is not being read.
  virtual bool isShedFirst() const = 0;
  virtual steady_time lastProgress() const = 0;
  // Gives up what is held. Total: what all connections held before.
  virtual void shed(int64_t Total) = 0;
};

class memory_account {
public:
  explicit memory_account(const memory_limits &Bounds)
      : Limits(Bounds), Bodies(Bounds.LargeBodyBytes) {}

  void setLimits(const memory_limits &Bounds);
  // States what Holder holds now.
  void update(memory_holder *Holder, int64_t Bytes);
  void remove(memory_holder *Holder);
  // Sheds until the total is within the limit or nobody can be shed.
  void enforce();
  body_budget &bodies() { return Bodies; }
  // With reserved bodies.
  int64_t held() const { return Total + Bodies.reserved(); }

private:
  // Returns nullptr if nobody can be shed.
  memory_holder *choose() const;
  int64_t leastShedBytes() const;

  memory_limits Limits;
  body_budget Bodies;
  int64_t Total = 0;
  bool Enforcing = false;
  bool Scheduled = false;
  absl::flat_hash_map<memory_holder *, int64_t> Held;
  QObject Timers; // receives delayed calls
};

} // namespace monsoonreel

#endif // IO_MEMORY_ACCOUNT_H
