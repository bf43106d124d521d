// Preemption of a cell's running slots in favour of higher tiers.

#include "monsoonreel/cell_queue.h"

#include <algorithm>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

bool cell_queue::isPreemptible(const running_slot &Slot, tier Above) {
  return !Slot.Guaranteed && !Slot.Preempting && Slot.Request.Idempotent &&
         Slot.Request.Tier > Above;
}

int cell_queue::preemptible(tier Above, bool Cheap) const {
  if (!UsesTiers || !isEnabled(mechanism::Preemption))
    return 0;
  int Count = 0;
  for (const auto &[Id, Slot] : Running) {
    if (!isPreemptible(Slot, Above))
      continue;
    std::optional<size_t> Index = Upstreams.find(Slot.Upstream);
    if (Index && (Cheap || !Upstreams.at(*Index).Cheap))
      ++Count;
  }
  return Count;
}

bool cell_queue::isUrgent(const waiting_request &Request,
                          steady_time Now) const {
  duration Slack = Request.Target - Now - Latencies.firstToken(Request.Class);
  if (Slack < duration{})
    return false; // the target would be missed even with preemption
  // First tokens often take longer than their median, so twice that time is
  // reserved. Beyond it, the request can still wait for one of the next two
  // slots that are released normally.
  duration Usual = Latencies.firstToken(Request.Class);
  duration Gap = Latencies.meanHold() / std::max(1, Upstreams.slots(true, Now));
  return Slack < Usual * 2 + Gap * 2;
}

cell_queue::running_slot *cell_queue::victimFor(const waiting_request &Request,
                                                int64_t &Id, steady_time Now) {
  running_slot *Victim = nullptr;
  for (auto &[Candidate, Slot] : Running) {
    if (!isPreemptible(Slot, Request.Tier))
      continue;
    std::optional<size_t> Index = Upstreams.find(Slot.Upstream);
    if (!Index || !Upstreams.canServe(*Index, Request, Now))
      continue;
    // Prefers the lowest tier and, within it, the latest start.
    bool Better = !Victim || Slot.Request.Tier > Victim->Request.Tier ||
                  (Slot.Request.Tier == Victim->Request.Tier &&
                   std::pair(Slot.StartedAt, Candidate) >
                       std::pair(Victim->StartedAt, Id));
    if (!Better)
      continue;
    Victim = &Slot;
    Id = Candidate;
  }
  return Victim;
}

size_t cell_queue::waitingUpTo(tier Lowest) const {
  size_t Count = 0;
  for (const auto &[Name, Class] : Classes)
    if (Class.Tier <= Lowest)
      Count += Queue->waitingOf(Name);
  return Count;
}

void cell_queue::preempt(cell_step &Step) {
  if (!UsesTiers || !isEnabled(mechanism::Preemption) || Queue->size() == 0)
    return;
  tier Lowest = lowestTier();
  auto Urgent = [&](const waiting_request &Request) {
    return isUrgent(Request, Step.Now);
  };
  for (int Count = 0; Count < max_preemptions_per_step; ++Count) {
    const waiting_request *Next = Queue->peekAbove(Lowest, Urgent, Step.Now);
    if (!Next || static_cast<size_t>(Preempting) >= Queue->size())
      return;
    // The slots that are already being preempted will go to the first waiting
    // requests.
    if (static_cast<size_t>(Preempting) >= waitingUpTo(Next->Tier))
      return;
    int64_t Id = 0;
    running_slot *Victim = victimFor(*Next, Id, Step.Now);
    if (!Victim)
      return;
    if (!invariantHolds(Step.Effects, Victim->Request.Tier > Next->Tier,
                        "no-higher-tier-preempted", describe(*Next)))
      return;
    Victim->Preempting = true;
    ++Preempting;
    wire::slot_preempt Preempt;
    Preempt.Slot = Id;
    Preempt.Ask = Victim->Request.Key.Ask;
    Step.Replies.push_back({Victim->Request.From, Preempt});
  }
}

} // namespace monsoonreel
