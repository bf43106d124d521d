// The scheduler and cost model of a stand-in model engine.
//
//   engine_model Engine(Costs);
//   Engine.submit({.Id = 1, .Prompt = Text, .PromptTokens = 90,
//                  .OutputTokens = 40}, Now);
//   for (const made_token &Token : Engine.advance(Now))
//     send(Token);
//   wakeAt(Engine.nextStep());
//
// Continuous batching: every step reads a limited number of prompt tokens and
// makes one token for each sequence whose prompt has been read. A step takes
// longer with every sequence and prompt token in it. Waiting requests start in
// order of priority, then arrival; a request of a higher priority takes the
// place of a running one of a lower priority, whose prompt then has to be read
// again.

#ifndef STANDINS_ENGINE_MODEL_H
#define STANDINS_ENGINE_MODEL_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/monsoonreel.h"
#include "standins/prefix_cache.h"

namespace monsoonreel::standin {

struct engine_costs {
  duration StepBase = std::chrono::milliseconds(20);
  duration StepPerSequence = std::chrono::microseconds(1500);
  duration PrefillPerToken = std::chrono::microseconds(60);
  int PrefillTokensPerStep = 512;
  int MaxRunning = 8;
  int MaxWaiting = 64;
  int CacheTokens = 32768;
  // Age that a load report reaches before it is taken anew.
  duration LoadLag = std::chrono::milliseconds(500);
};

struct engine_request {
  int64_t Id = 0;
  std::string Prompt;
  int PromptTokens = 0;
  int OutputTokens = 0;
  int FirstToken = 0; // tokens that the caller has already
  int Priority = 0;   // 0 is the highest
};

struct made_token {
  int64_t Id = 0;
  int Index = 0;
  bool Last = false;
};

struct engine_load {
  int Running = 0;
  int Waiting = 0;
  double CacheUse = 0;
  duration Age{};
};

// Totals since the start.
struct engine_totals {
  int64_t Accepted = 0;
  int64_t Finished = 0;
  int64_t Cancelled = 0;
  int64_t Refused = 0;
  int64_t Preempted = 0;
  int64_t TokensMade = 0;
  int64_t TokensOfCancelled = 0; // made for requests that were cancelled
  int64_t PrefillTokens = 0;
  int64_t CachedTokens = 0;
  duration Busy{};
};

class engine_model {
public:
  explicit engine_model(engine_costs Costs);

  // Returns false, and does nothing, when the waiting list is full.
  bool submit(engine_request Request, steady_time Now);
  void cancel(int64_t Id);
  void cancelAll();
  // Ends all steps that are due and returns their tokens in order.
  std::vector<made_token> advance(steady_time Now);
  // The end of the step that runs, if one does.
  std::optional<steady_time> nextStep() const { return StepEnd; }
  // All later steps take this many times as long.
  void setSlowFactor(double Factor) { SlowFactor = Factor; }
  // The lagging report.
  engine_load load(steady_time Now);
  const engine_totals &totals() const { return Totals; }

private:
  struct sequence {
    engine_request Request;
    int64_t Arrival = 0;
    int PrefillLeft = 0;
    int Made = 0;
    int PrefillNow = 0; // in the step that runs

    int nextIndex() const { return Request.FirstToken + Made; }
    // Whether this one starts before Other.
    bool before(const sequence &Other) const;
  };

  void admit();
  void start(sequence Sequence);
  void preemptFor(const sequence &Waiting);
  void beginStep(steady_time Now);
  void endStep(std::vector<made_token> &Made);
  std::vector<sequence>::iterator firstWaiting();

  engine_costs Costs;
  prefix_cache Cache;
  std::vector<sequence> Running;
  std::vector<sequence> Waiting;
  std::optional<steady_time> StepEnd;
  double SlowFactor = 1.0;
  int64_t Arrivals = 0;
  engine_totals Totals;
  engine_load Report;
  std::optional<steady_time> ReportTaken;
};

} // namespace monsoonreel::standin

#endif // STANDINS_ENGINE_MODEL_H
