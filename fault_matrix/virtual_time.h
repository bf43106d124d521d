// A queue of actions in virtual time.
//
//   virtual_time Time;
//   Time.after(std::chrono::milliseconds(3), [&] { deliver(); });
//   Time.runUntil(End);
//
// Actions at the same time run in the order in which they were added, so a run
// depends on nothing but its seed.

#ifndef MONSOONREEL_FAULT_MATRIX_VIRTUAL_TIME_H
#define MONSOONREEL_FAULT_MATRIX_VIRTUAL_TIME_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "monsoonreel/types.h"

namespace monsoonreel::fault_matrix {

class virtual_time {
public:
  using action = std::function<void()>;

  // Time since the start of the run.
  duration now() const { return Now; }

  void after(duration Delay, action Action) {
    Actions.emplace(std::pair(Now + Delay, LastNumber++), std::move(Action));
  }

  void runUntil(duration End) {
    while (!Actions.empty() && Actions.begin()->first.first <= End) {
      auto Next = Actions.extract(Actions.begin());
      Now = Next.key().first;
      Next.mapped()();
    }
    Now = End;
  }

private:
  duration Now{};
  uint64_t LastNumber = 0;
  std::map<std::pair<duration, uint64_t>, action> Actions;
};

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_VIRTUAL_TIME_H
