// Admission, shedding and expiry of the requests that wait in a cell's queue.

#include "monsoonreel/cell_queue.h"

#include <algorithm>

#include "monsoonreel/invariant.h"

namespace monsoonreel {

admission_view cell_queue::viewOf(const waiting_request &Request,
                                  steady_time Now) const {
  admission_view View;
  View.WorkAhead =
      Queue->workAhead(Request.Tier, Request.Organisation, Request.Weight);
  View.Slots = Upstreams.slots(Request.CheapAllowed, Now);
  View.FreeSlots = Upstreams.freeSlots(Request.CheapAllowed, Now) +
                   preemptible(Request.Tier, Request.CheapAllowed);
  View.MeanHold = Latencies.meanHold();
  View.FirstToken = Latencies.firstToken(Request.Class);
  View.TargetLeft = Request.Target - Now;
  View.GiveUpLeft = Request.GiveUp - Now;
  View.AdmittedRatio = Admitted.ratio(Request.Class, Request.Organisation);
  if (UsesTiers && View.Slots > 0) {
    View.HigherDemand = Demand.above(Request.Tier, View.Slots, Now);
    View.ShareGap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(View.MeanHold) /
        (Shares.shareOf(Request.Class) * View.Slots));
    View.ShareWait = View.ShareGap *
                     static_cast<int64_t>(Queue->waitingOf(Request.Class) + 1);
  }
  return View;
}

bool cell_queue::admit(const waiting_request &Request, cell_step &Step) {
  if (Queue->size() >= static_cast<size_t>(Limits.MaxQueueLength) &&
      !makePlace(Request, Step))
    return false;
  admission_verdict Verdict = Admission->judge(viewOf(Request, Step.Now));
  if (Verdict.Admit || Request.Resumed)
    return true;
  // A lower tier that waits is to be shed first. One that will still be served
  // in time takes nothing from this request, so it stays, and so does this.
  if (const waiting_request *Lower = spareBelow(Request.Tier)) {
    if (isHopeless(*Lower, Step.Now))
      shed(Lower->Key, wire::refusal_reason::TargetUnreachable,
           Verdict.RetryAfter, Step);
    return true;
  }
  if (displaceLate(Request, Verdict.RetryAfter, Step))
    return true;
  checkShed(Request, Step);
  refuse(Request, wire::refusal_reason::TargetUnreachable,
         retryAfter(Verdict.RetryAfter, Step), Step);
  return false;
}

bool cell_queue::displaceLate(const waiting_request &Request,
                              duration RetryAfter, cell_step &Step) {
  if (!UsesTiers)
    return false;
  late_work Late = Queue->lateWork(Request.Tier, Request.Class, Step.Now);
  if (!Late.Victim)
    return false;
  admission_view View = viewOf(Request, Step.Now);
  View.WorkAhead -= std::min(View.WorkAhead, Late.Work);
  if (!Admission->judge(View).Admit)
    return false;
  shed(Late.Victim->Key, wire::refusal_reason::TargetUnreachable,
       retryAfter(RetryAfter, Step), Step);
  return true;
}

bool cell_queue::makePlace(const waiting_request &Request, cell_step &Step) {
  const waiting_request *Lower = UsesTiers ? spareBelow(Request.Tier) : nullptr;
  duration Wait = Admission->judge(viewOf(Request, Step.Now)).ExpectedWait;
  if (Lower) {
    shed(Lower->Key, wire::refusal_reason::QueueFull, retryAfter(Wait, Step),
         Step);
    return true;
  }
  checkShed(Request, Step);
  refuse(Request, wire::refusal_reason::QueueFull, retryAfter(Wait, Step),
         Step);
  return false;
}

size_t cell_queue::guaranteedPlaces(const class_name &Class) const {
  int Slots = Cell.concurrency();
  double Rate =
      Slots / std::chrono::duration<double>(Latencies.meanHold()).count();
  double Served = Shares.shareOf(Class) * Rate *
                  std::chrono::duration<double>(Limits.MaxQueueWait).count();
  return std::max<size_t>(1, static_cast<size_t>(Served));
}

bool cell_queue::holdsSpare(const class_name &Class) const {
  return Queue->waitingOf(Class) > guaranteedPlaces(Class);
}

const waiting_request *cell_queue::spareBelow(tier Tier) const {
  return Queue->shedCandidate([&](const class_name &Name) {
    auto Class = Classes.find(Name);
    return Class != Classes.end() && Class->second.Tier > Tier &&
           holdsSpare(Name);
  });
}

bool cell_queue::isHopeless(const waiting_request &Request,
                            steady_time Now) const {
  admission_view View = viewOf(Request, Now);
  // Its own work is part of what waits.
  View.WorkAhead -= std::min(View.WorkAhead, Request.ExpectedHold);
  // A target that was missed while waiting no longer counts.
  View.TargetLeft = duration{};
  return !Admission->judge(View).Admit;
}

duration cell_queue::retryAfter(duration Base, cell_step &Step) {
  // Each refused request is given a later moment than the one before, at the
  // rate at which slots come free, so that they do not come back together.
  duration Gap = Latencies.meanHold() / std::max(1, Cell.concurrency());
  PromisedUntil = std::max(PromisedUntil, Step.Now) + Gap;
  PromisedUntil = std::min(PromisedUntil, Step.Now + longest_retry_after);
  return std::clamp(std::max(Base, PromisedUntil - Step.Now),
                    shortest_retry_after, longest_retry_after);
}

void cell_queue::checkShed(const waiting_request &Request, cell_step &Step) {
  if (!UsesTiers)
    return;
  for (const auto &[Name, Class] : Classes)
    if (Class.Tier > Request.Tier)
      invariantHolds(Step.Effects, !holdsSpare(Name), "no-higher-tier-shed",
                     describe(Request) + " while " + Name.Value + " waits");
}

void cell_queue::refuse(const waiting_request &Request,
                        wire::refusal_reason::type Reason, duration RetryAfter,
                        cell_step &Step) {
  wire::slot_refuse Refuse;
  Refuse.Ask = Request.Key.Ask;
  Refuse.Reason = Reason;
  Refuse.RetryAfterMicros = toMicros(RetryAfter);
  Step.Replies.push_back({Request.From, Refuse});
}

std::optional<waiting_request> cell_queue::removeWaiting(const ask_key &Key) {
  std::optional<waiting_request> Request = Queue->remove(Key);
  if (Request)
    GiveUps.erase({Request->GiveUp, Request->Key});
  return Request;
}

void cell_queue::withdraw(const waiting_request &Request) {
  if (!Request.Resumed)
    Admitted.withdraw(Request.Class, Request.Organisation);
}

void cell_queue::shed(const ask_key &Key, wire::refusal_reason::type Reason,
                      duration RetryAfter, cell_step &Step) {
  std::optional<waiting_request> Request = removeWaiting(Key);
  if (!Request)
    return;
  checkShed(*Request, Step);
  withdraw(*Request);
  refuse(*Request, Reason, RetryAfter, Step);
}

void cell_queue::refuseAll(wire::refusal_reason::type Reason, cell_step &Step) {
  while (!GiveUps.empty()) {
    ask_key Key = GiveUps.begin()->second;
    std::optional<waiting_request> Request = removeWaiting(Key);
    if (Request)
      refuse(*Request, Reason, shortest_retry_after, Step);
  }
}

void cell_queue::expireWaiting(cell_step &Step) {
  while (!GiveUps.empty() && GiveUps.begin()->first <= Step.Now) {
    ask_key Key = GiveUps.begin()->second;
    std::optional<waiting_request> Request = removeWaiting(Key);
    if (!Request)
      continue;
    withdraw(*Request);
    refuse(*Request, wire::refusal_reason::DeadlinePassed,
           retryAfter(duration{}, Step), Step);
  }
}

void cell_queue::reviewWaiting(cell_step &Step) {
  if (!UsesTiers)
    return;
  constexpr int MaxReviewed = 16;
  for (int Count = 0; Count < MaxReviewed; ++Count) {
    const waiting_request *Last = Queue->shedCandidate(
        [&](const class_name &Class) { return holdsSpare(Class); });
    if (!Last || !isHopeless(*Last, Step.Now))
      return;
    duration Wait = Admission->judge(viewOf(*Last, Step.Now)).ExpectedWait;
    shed(Last->Key, wire::refusal_reason::TargetUnreachable,
         retryAfter(Wait, Step), Step);
  }
}

} // namespace monsoonreel
