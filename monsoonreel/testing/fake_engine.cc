#include "monsoonreel/testing/fake_engine.h"

#include <algorithm>

namespace monsoonreel {

namespace {

duration times(duration Value, double Factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(Value) * Factor);
}

} // namespace

duration fake_engine::gap() const {
  return times(decode_token, Slowness * (1 + batch_slowdown * Running));
}

void fake_engine::start(int64_t Id, const engine_work &Work, steady_time Now,
                        first_handler OnFirst, end_handler OnEnd) {
  Clock = Now;
  job Job;
  Job.Work = Work;
  Job.Order = ++LastOrder;
  Job.OnFirst = std::move(OnFirst);
  Job.OnEnd = std::move(OnEnd);
  Jobs[Id] = std::move(Job);
  startNext();
}

void fake_engine::startNext() {
  while (Running < Batch && !Silent) {
    auto Best = Jobs.end();
    for (auto It = Jobs.begin(); It != Jobs.end(); ++It) {
      if (It->second.Started)
        continue;
      auto Rank = std::pair(It->second.Work.Priority, It->second.Order);
      if (Best == Jobs.end() ||
          Rank < std::pair(Best->second.Work.Priority, Best->second.Order))
        Best = It;
    }
    if (Best == Jobs.end())
      return;
    run(Best->first, Best->second);
  }
}

void fake_engine::run(int64_t Id, job &Job) {
  Job.Started = true;
  ++Running;
  duration Prefill = times(prefill_token, Slowness * Job.Work.PromptTokens);
  PrefillFree = std::max(PrefillFree, Clock) + Prefill;
  Job.Gap = gap();
  Job.FirstAt = PrefillFree + Job.Gap;
  uint64_t Order = Job.Order;
  auto Find = [this, Id, Order]() -> job * {
    auto Found = Jobs.find(Id);
    bool Same = Found != Jobs.end() && Found->second.Order == Order;
    return Same && !Silent ? &Found->second : nullptr;
  };
  duration ToFirst = Job.FirstAt - Clock;
  After(ToFirst, [Find] {
    if (job *Alive = Find(); Alive && !Alive->Work.HasFirst)
      Alive->OnFirst();
  });
  duration ToEnd = ToFirst + Job.Gap * std::max(0, Job.Work.OutputTokens - 1);
  steady_time EndAt = Clock + ToEnd;
  After(ToEnd, [this, Find, Id, EndAt] {
    job *Alive = Find();
    if (!Alive)
      return;
    end_handler OnEnd = std::move(Alive->OnEnd);
    int Tokens = Alive->Work.OutputTokens;
    Jobs.erase(Id);
    --Running;
    Clock = EndAt;
    OnEnd(Tokens);
    startNext();
  });
}

int fake_engine::cancel(int64_t Id, steady_time Now) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return 0;
  const job &Job = Found->second;
  int Made = 0;
  if (Job.Started && Now >= Job.FirstAt && Job.Gap > duration{})
    Made = std::min(Job.Work.OutputTokens,
                    1 + static_cast<int>((Now - Job.FirstAt) / Job.Gap));
  if (Job.Started)
    --Running;
  Jobs.erase(Found);
  Clock = Now;
  startNext();
  return Made;
}

} // namespace monsoonreel
