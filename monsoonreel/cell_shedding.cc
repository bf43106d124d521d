// Admission, shedding and expiry of the requests that wait in a cell's queue.

#include "monsoonreel/cell_queue.h"

#include <algorithm>

#include "monsoonreel/invariant.h"

namespace monsoonreel {

admission_view cell_queue::admissionViewOf(const waiting_request &Request,
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
  View.WaitDeadlineLeft = Request.WaitDeadline - Now;
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
      !makeRoomInQueue(Request, Step))
    return false;
  admission_verdict Verdict =
      Admission->judge(admissionViewOf(Request, Step.Now));
  if (Verdict.Admit || Request.Resumed)
    return true;
  // A waiting request of a lower tier is shed first. If it can still be served
  // in time, it does not delay this request, so both keep waiting.
  if (const waiting_request *Lower = shedCandidateBelow(Request.Tier)) {
    if (wouldMissDeadline(*Lower, Step.Now))
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
  admission_view View = admissionViewOf(Request, Step.Now);
  View.WorkAhead -= std::min(View.WorkAhead, Late.Work);
  if (!Admission->judge(View).Admit)
    return false;
  shed(Late.Victim->Key, wire::refusal_reason::TargetUnreachable,
       retryAfter(RetryAfter, Step), Step);
  return true;
}

bool cell_queue::makeRoomInQueue(const waiting_request &Request,
                                 cell_step &Step) {
  const waiting_request *Lower =
      UsesTiers ? shedCandidateBelow(Request.Tier) : nullptr;
  duration Wait =
      Admission->judge(admissionViewOf(Request, Step.Now)).ExpectedWait;
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

bool cell_queue::exceedsGuaranteedPlaces(const class_name &Class) const {
  return Queue->waitingOf(Class) > guaranteedPlaces(Class);
}

const waiting_request *cell_queue::shedCandidateBelow(tier Tier) const {
  return Queue->shedCandidate([&](const class_name &Name) {
    auto Class = Classes.find(Name);
    return Class != Classes.end() && Class->second.Tier > Tier &&
           exceedsGuaranteedPlaces(Name);
  });
}

bool cell_queue::wouldMissDeadline(const waiting_request &Request,
                                   steady_time Now) const {
  admission_view View = admissionViewOf(Request, Now);
  // The queued work includes the request's own.
  View.WorkAhead -= std::min(View.WorkAhead, Request.ExpectedHold);
  // The target may have been missed during the wait, so only the deadline
  // counts.
  View.TargetLeft = duration{};
  return !Admission->judge(View).Admit;
}

duration cell_queue::retryAfter(duration Base, cell_step &Step) {
  // Each refused request gets a later retry time than the one before, spaced by
  // the mean time between slot releases, so that they do not all retry at once.
  duration Gap = Latencies.meanHold() / std::max(1, Cell.concurrency());
  LastRetryAt = std::max(LastRetryAt, Step.Now) + Gap;
  LastRetryAt = std::min(LastRetryAt, Step.Now + max_retry_after);
  return std::clamp(std::max(Base, LastRetryAt - Step.Now), min_retry_after,
                    max_retry_after);
}

void cell_queue::checkShed(const waiting_request &Request, cell_step &Step) {
  if (!UsesTiers)
    return;
  for (const auto &[Name, Class] : Classes)
    if (Class.Tier > Request.Tier)
      invariantHolds(Step.Effects, !exceedsGuaranteedPlaces(Name),
                     "no-higher-tier-shed",
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
    WaitDeadlines.erase({Request->WaitDeadline, Request->Key});
  return Request;
}

void cell_queue::undoAdmission(const waiting_request &Request) {
  if (!Request.Resumed)
    Admitted.undoAdmit(Request.Class, Request.Organisation);
}

void cell_queue::shed(const ask_key &Key, wire::refusal_reason::type Reason,
                      duration RetryAfter, cell_step &Step) {
  std::optional<waiting_request> Request = removeWaiting(Key);
  if (!Request)
    return;
  checkShed(*Request, Step);
  undoAdmission(*Request);
  refuse(*Request, Reason, RetryAfter, Step);
}

void cell_queue::refuseAll(wire::refusal_reason::type Reason, cell_step &Step) {
  while (!WaitDeadlines.empty()) {
    ask_key Key = WaitDeadlines.begin()->second;
    std::optional<waiting_request> Request = removeWaiting(Key);
    if (Request)
      refuse(*Request, Reason, min_retry_after, Step);
  }
}

void cell_queue::expireWaiting(cell_step &Step) {
  while (!WaitDeadlines.empty() && WaitDeadlines.begin()->first <= Step.Now) {
    ask_key Key = WaitDeadlines.begin()->second;
    std::optional<waiting_request> Request = removeWaiting(Key);
    if (!Request)
      continue;
    undoAdmission(*Request);
    refuse(*Request, wire::refusal_reason::DeadlinePassed,
           retryAfter(duration{}, Step), Step);
  }
}

void cell_queue::reviewWaiting(cell_step &Step) {
  if (!UsesTiers)
    return;
  constexpr int MaxReviewed = 16;
  for (int Count = 0; Count < MaxReviewed; ++Count) {
    const waiting_request *Last =
        Queue->shedCandidate([&](const class_name &Class) {
          return exceedsGuaranteedPlaces(Class);
        });
    if (!Last || !wouldMissDeadline(*Last, Step.Now))
      return;
    duration Wait =
        Admission->judge(admissionViewOf(*Last, Step.Now)).ExpectedWait;
    shed(Last->Key, wire::refusal_reason::TargetUnreachable,
         retryAfter(Wait, Step), Step);
  }
}

} // namespace monsoonreel
