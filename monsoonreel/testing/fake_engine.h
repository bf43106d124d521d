// A simulated inference engine in virtual time. It has a batch of bounded size
// and a priority queue, processes prompts one after the other and generates
// tokens more slowly in a larger batch.
//
//   fake_engine Engine(16, After);
//   Engine.start(Id, {.Priority = 0, .PromptTokens = 500, .OutputTokens = 80},
//                OnFirst, OnEnd);

#ifndef MONSOONREEL_TESTING_FAKE_ENGINE_H
#define MONSOONREEL_TESTING_FAKE_ENGINE_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "monsoonreel/types.h"

namespace monsoonreel {

// Time to process one prompt token, and time between two output tokens. Each
// running request adds the fraction `batch_slowdown` to the latter.
constexpr duration prefill_token = std::chrono::microseconds(60);
constexpr duration decode_token = std::chrono::milliseconds(12);
constexpr double batch_slowdown = 0.03;

struct engine_work {
  int Priority = 0;
  int PromptTokens = 0;
  int OutputTokens = 0;
  bool HasFirst = false; // resumed: the first token was delivered before
};

class fake_engine {
public:
  using timer = std::function<void(duration, std::function<void()>)>;
  using first_handler = std::function<void()>;
  // Called with the number of tokens that were generated.
  using end_handler = std::function<void(int)>;

  fake_engine(int Batch, timer After) : Batch(Batch), After(std::move(After)) {}

  void start(int64_t Id, const engine_work &Work, steady_time Now,
             first_handler OnFirst, end_handler OnEnd);
  // Ends the work without calling its handlers, and returns the number of
  // tokens that were generated.
  int cancel(int64_t Id, steady_time Now);
  int running() const { return Running; }
  int waiting() const { return static_cast<int>(Jobs.size()) - Running; }
  void setSlowness(double Value) { Slowness = Value; }
  void setSilent() { Silent = true; }

private:
  struct job {
    engine_work Work;
    uint64_t Order = 0;
    bool Started = false;
    steady_time FirstAt;
    duration Gap{};
    first_handler OnFirst;
    end_handler OnEnd;
  };
  void startNext();
  void run(int64_t Id, job &Job);
  duration gap() const;

  int Batch;
  timer After;
  double Slowness = 1;
  bool Silent = false;
  int Running = 0;
  uint64_t LastOrder = 0;
  steady_time Clock;
  steady_time PrefillFree;
  std::map<int64_t, job> Jobs;
};

} // namespace monsoonreel

#endif // MONSOONREEL_TESTING_FAKE_ENGINE_H
