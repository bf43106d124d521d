#include "standins/engine_model.h"

#include <algorithm>

namespace monsoonreel::standin {

bool engine_model::sequence::before(const sequence &Other) const {
  if (Request.Priority != Other.Request.Priority)
    return Request.Priority < Other.Request.Priority;
  return Arrival < Other.Arrival;
}

engine_model::engine_model(engine_costs Costs)
    : Costs(Costs), Cache(Costs.CacheTokens) {}

bool engine_model::submit(engine_request Request, steady_time Now) {
  if (static_cast<int>(Waiting.size()) >= Costs.MaxWaiting) {
    ++Totals.Refused;
    return false;
  }
  ++Totals.Accepted;
  sequence Sequence;
  Sequence.Request = std::move(Request);
  Sequence.Arrival = ++Arrivals;
  Waiting.push_back(std::move(Sequence));
  if (!StepEnd)
    beginStep(Now);
  return true;
}

void engine_model::cancel(int64_t Id) {
  auto IsIt = [Id](const sequence &S) { return S.Request.Id == Id; };
  for (auto *List : {&Running, &Waiting}) {
    auto Found = std::find_if(List->begin(), List->end(), IsIt);
    if (Found == List->end())
      continue;
    ++Totals.Cancelled;
    Totals.TokensOfCancelled += Found->Made;
    List->erase(Found);
    return;
  }
}

void engine_model::cancelAll() {
  while (!Running.empty())
    cancel(Running.back().Request.Id);
  while (!Waiting.empty())
    cancel(Waiting.back().Request.Id);
}

std::vector<made_token> engine_model::advance(steady_time Now) {
  std::vector<made_token> Made;
  while (StepEnd && *StepEnd <= Now) {
    steady_time End = *StepEnd;
    StepEnd.reset();
    endStep(Made);
    beginStep(End);
  }
  return Made;
}

std::vector<engine_model::sequence>::iterator engine_model::firstWaiting() {
  return std::min_element(
      Waiting.begin(), Waiting.end(),
      [](const sequence &A, const sequence &B) { return A.before(B); });
}

void engine_model::admit() {
  while (!Waiting.empty()) {
    auto Next = firstWaiting();
    if (static_cast<int>(Running.size()) >= Costs.MaxRunning)
      preemptFor(*Next);
    if (static_cast<int>(Running.size()) >= Costs.MaxRunning)
      return;
    Next = firstWaiting();
    sequence Sequence = std::move(*Next);
    Waiting.erase(Next);
    start(std::move(Sequence));
  }
}

void engine_model::start(sequence Sequence) {
  int Cached = Cache.match(Sequence.Request.Prompt);
  // At least one token is read, because its result gives the first new one.
  Cached = std::min(Cached, Sequence.Request.PromptTokens - 1);
  Totals.CachedTokens += Cached;
  Sequence.PrefillLeft =
      Sequence.Request.PromptTokens - Cached + Sequence.nextIndex();
  Running.push_back(std::move(Sequence));
}

void engine_model::preemptFor(const sequence &Candidate) {
  auto Last = std::max_element(
      Running.begin(), Running.end(),
      [](const sequence &A, const sequence &B) { return A.before(B); });
  if (Last->Request.Priority <= Candidate.Request.Priority)
    return;
  ++Totals.Preempted;
  sequence Sequence = std::move(*Last);
  Running.erase(Last);
  Waiting.push_back(std::move(Sequence));
}

void engine_model::beginStep(steady_time Now) {
  admit();
  if (Running.empty())
    return;
  std::sort(Running.begin(), Running.end(),
            [](const sequence &A, const sequence &B) { return A.before(B); });
  int Budget = Costs.PrefillTokensPerStep;
  for (sequence &Sequence : Running) {
    Sequence.PrefillNow = std::min(Budget, Sequence.PrefillLeft);
    Budget -= Sequence.PrefillNow;
  }
  int Prefill = Costs.PrefillTokensPerStep - Budget;
  duration Cost = Costs.StepBase + Costs.StepPerSequence * Running.size() +
                  Costs.PrefillPerToken * Prefill;
  Cost = std::chrono::duration_cast<duration>(Cost * SlowFactor);
  Totals.PrefillTokens += Prefill;
  Totals.Busy += Cost;
  StepEnd = Now + Cost;
}

void engine_model::endStep(std::vector<made_token> &Made) {
  for (auto Place = Running.begin(); Place != Running.end();) {
    sequence &Sequence = *Place;
    bool WasReading = Sequence.PrefillLeft > 0;
    Sequence.PrefillLeft -= Sequence.PrefillNow;
    Sequence.PrefillNow = 0;
    if (Sequence.PrefillLeft > 0) {
      ++Place;
      continue;
    }
    if (WasReading)
      Cache.insert(Sequence.Request.Prompt);
    made_token Token{Sequence.Request.Id, Sequence.nextIndex(), false};
    ++Sequence.Made;
    ++Totals.TokensMade;
    Token.Last = Sequence.nextIndex() >= Sequence.Request.OutputTokens;
    Made.push_back(Token);
    if (Token.Last)
      ++Totals.Finished;
    Place = Token.Last ? Running.erase(Place) : Place + 1;
  }
}

engine_load engine_model::load(steady_time Now) {
  if (!ReportTaken || Now - *ReportTaken >= Costs.LoadLag) {
    ReportTaken = Now;
    Report.Running = static_cast<int>(Running.size());
    Report.Waiting = static_cast<int>(Waiting.size());
    Report.CacheUse = Cache.use();
  }
  engine_load Answer = Report;
  Answer.Age = Now - *ReportTaken;
  return Answer;
}

} // namespace monsoonreel::standin
