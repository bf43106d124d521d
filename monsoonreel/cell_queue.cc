#include "monsoonreel/cell_queue.h"

#include <algorithm>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Histogram range of the times between two tokens, in microseconds.
constexpr double lowest_gap = 100;
constexpr double highest_gap = 10e6;
// Excluded upstreams beyond this number in a message are ignored.
constexpr size_t max_excluded = 16;

} // namespace

cell_queue::cell_queue(const cell &Cell, const configuration &Configuration,
                       const scheduling_policy &Policy)
    : UsesTiers(Policy.usesTiers()), Queue(Policy.makeQueue()),
      Placement(Policy.makePlacement()), Admission(Policy.makeAdmission()),
      TokenGap(lowest_gap, highest_gap) {
  configure(Cell, Configuration);
}

void cell_queue::configure(const cell &NewCell,
                           const configuration &Configuration) {
  Cell = NewCell;
  Classes = Configuration.Classes;
  Limits = Configuration.Limits;
  Weights.clear();
  for (const auto &[Name, Organisation] : Configuration.Organisations)
    Weights[Name] = Organisation.Weight > 0 ? Organisation.Weight : 1;
  Upstreams.configure(Cell.Upstreams);
  Shares.configure(Classes);
}

waiting_request cell_queue::makeRequest(const slot_peer &From,
                                        const wire::slot_ask &Ask,
                                        steady_time Now) const {
  waiting_request Request;
  Request.Key = {From.Name, Ask.Incarnation, Ask.Ask};
  Request.From = From;
  Request.Class = class_name(Ask.ServiceClass);
  Request.Organisation = organisation_name(Ask.Organisation);
  Request.ArrivedAt = Now;
  Request.Target = Now + fromMicros(Ask.TimeLeftMicros);
  Request.LatestGrant = Request.Target - Latencies.firstTokenP90(Request.Class);
  Request.WaitDeadline =
      Now + std::min(fromMicros(Ask.GiveUpMicros), Limits.MaxQueueWait);
  Request.PromptTokens = std::max(0, Ask.PromptTokens);
  Request.MaxTokens = std::max(0, Ask.ExpectedOutputTokens);
  Request.PrefixHash = static_cast<uint64_t>(Ask.PrefixHash);
  Request.Idempotent = Ask.Idempotent;
  Request.Resumed = Ask.Resumed;
  auto Class = Classes.find(Request.Class);
  // The configured tier of the class applies; a message can't raise it.
  Request.Tier = Class == Classes.end() ? tier{Ask.Tier} : Class->second.Tier;
  Request.CheapAllowed =
      Ask.Idempotent && Class != Classes.end() && Class->second.CheapAllowed;
  auto Weight = Weights.find(Request.Organisation);
  Request.Weight = Weight == Weights.end() ? 1 : Weight->second;
  for (size_t I = 0; I < std::min(Ask.Excluded.size(), max_excluded); ++I)
    Request.Excluded.emplace_back(Ask.Excluded[I]);
  Request.ExpectedHold = expectedHold(Request);
  return Request;
}

duration cell_queue::expectedHold(const waiting_request &Request) const {
  if (TokenGap.weight() <= 0 || Request.PromptTokens == 0)
    return Latencies.hold(Request.Class);
  double Tokens =
      Outputs.expected(Request.Class, Request.Organisation, Request.MaxTokens);
  return Latencies.firstToken(Request.Class) +
         fromMicros(static_cast<int64_t>(Tokens * TokenGap.mean()));
}

// ------------------------------------------------------------------- asking

bool cell_queue::answerRepeated(const slot_peer &From, const ask_key &Key,
                                cell_step &Step) {
  auto Slot = SlotOfAsk.find(Key);
  if (Slot != SlotOfAsk.end()) {
    sendGrant(Slot->second, Running.at(Slot->second), Step);
    return true;
  }
  if (!Queue->find(Key))
    return false;
  sendQueued(From, Key, Step);
  return true;
}

void cell_queue::ask(const slot_peer &From, const wire::slot_ask &Ask,
                     cell_step &Step) {
  waiting_request Request = makeRequest(From, Ask, Step.Now);
  ask_key Key = Request.Key;
  if (answerRepeated(From, Key, Step))
    return;
  if (Request.WaitDeadline <= Step.Now) {
    refuse(Request, wire::refusal_reason::DeadlinePassed, duration{}, Step);
    return;
  }
  if (!Upstreams.anyCanServe(Request, Step.Now)) {
    refuse(Request, wire::refusal_reason::NoUpstream, first_pause, Step);
    return;
  }
  // A resumed request was counted when it first arrived.
  if (!Request.Resumed)
    Admitted.offer(Request.Class, Request.Organisation, Request.Weight,
                   Step.Now);
  if (!admit(Request, Step))
    return;
  if (!Request.Resumed)
    Admitted.admit(Request.Class, Request.Organisation);
  WaitDeadlines.insert({Request.WaitDeadline, Key});
  Demand.add(Request.Tier, Request.ExpectedHold, Step.Now);
  Queue->push(std::move(Request));
  grantAll(Step);
  preempt(Step);
  if (Queue->find(Key))
    sendQueued(From, Key, Step);
}

void cell_queue::sendQueued(const slot_peer &To, const ask_key &Key,
                            cell_step &Step) {
  wire::slot_queued Queued;
  Queued.Ask = Key.Ask;
  Step.Replies.push_back({To, Queued});
}

// ----------------------------------------------------------------- granting

std::optional<waiting_request> cell_queue::takeNext(bool &Guaranteed,
                                                    cell_step &Step) {
  auto Fits = [&](const waiting_request &Request) {
    return Upstreams.hasRoom(Request, Step.Now);
  };
  auto IsWaiting = [&](const class_name &Class) {
    return Queue->waitingOf(Class) > 0;
  };
  Guaranteed = false;
  if (UsesTiers && isEnabled(mechanism::MinimumShare))
    for (const class_name &Class : Shares.due(IsWaiting))
      if (auto Next = Queue->takeOfClass(Class, Fits, Step.Now)) {
        Guaranteed = true;
        return Next;
      }
  return Queue->take(Fits, Step.Now);
}

void cell_queue::grantAll(cell_step &Step) {
  while (Queue->size() > 0) {
    bool Guaranteed = false;
    std::optional<waiting_request> Next = takeNext(Guaranteed, Step);
    if (!Next)
      return;
    WaitDeadlines.erase({Next->WaitDeadline, Next->Key});
    grant(std::move(*Next), Guaranteed, Step);
  }
}

void cell_queue::grant(waiting_request Request, bool Guaranteed,
                       cell_step &Step) {
  std::optional<size_t> Index = Placement->choose(
      {Request.PromptTokens}, Upstreams.candidates(Request, Step.Now));
  if (!invariantHolds(Step.Effects, Index.has_value(), "grant-has-upstream",
                      describe(Request)))
    return;
  checkGrant(Request, *Index, Step);
  running_slot Slot;
  Slot.Upstream = Upstreams.at(*Index).Name;
  Slot.StartedAt = Step.Now;
  Slot.RenewedAt = Step.Now;
  Slot.Guaranteed = Guaranteed;
  Slot.Probe = Upstreams.isProbe(*Index, Step.Now);
  if (UsesTiers)
    countGrant(Request.Class, *Index, Step);
  Upstreams.onGrant(*Index, Request, Step.Now);
  Slot.Request = std::move(Request);
  int64_t Id = ++Step.LastSlot;
  sendGrant(Id, Slot, Step);
  SlotOfAsk[Slot.Request.Key] = Id;
  Running[Id] = std::move(Slot);
}

void cell_queue::checkGrant(const waiting_request &Request, size_t Index,
                            cell_step &Step) {
  invariantHolds(Step.Effects,
                 Upstreams.admits(Index, Step.Now) != admission_state::Leaving,
                 "no-grant-to-leaving", Upstreams.at(Index).Name.Value);
  invariantHolds(Step.Effects,
                 !Upstreams.at(Index).Cheap || Request.CheapAllowed,
                 "cheap-only-where-allowed", describe(Request));
}

void cell_queue::countGrant(const class_name &Granted, size_t Index,
                            cell_step &Step) {
  auto CanServe = [&](const waiting_request &Request) {
    return Upstreams.canServe(Index, Request, Step.Now);
  };
  auto CouldTake = [&](const class_name &Class) {
    return Queue->anyOfClass(Class, CanServe);
  };
  Shares.onGrant(Granted, CouldTake);
  for (const auto &[Name, Class] : Classes)
    if (CouldTake(Name))
      invariantHolds(Step.Effects,
                     Shares.passedOver(Name) <= Shares.passLimit(Name),
                     "class-not-starved", Name.Value);
}

void cell_queue::sendGrant(int64_t Id, const running_slot &Slot,
                           cell_step &Step) {
  wire::slot_grant Grant;
  Grant.Ask = Slot.Request.Key.Ask;
  Grant.Upstream = Slot.Upstream.Value;
  Grant.Slot = Id;
  Grant.Priority = static_cast<int>(Slot.Request.Tier.Value);
  Grant.OwnerIncarnation = Step.Owner.Value;
  Grant.FreshConnection = Slot.Probe;
  Step.Replies.push_back({Slot.Request.From, Grant});
}

// ---------------------------------------------------------------- releasing

bool cell_queue::release(int64_t Id, const slot_report &Report,
                         cell_step &Step) {
  auto Found = Running.find(Id);
  if (Found == Running.end())
    return false;
  running_slot Slot = std::move(Found->second);
  Running.erase(Found);
  SlotOfAsk.erase(Slot.Request.Key);
  if (Slot.Preempting)
    --Preempting;
  if (std::optional<size_t> Index = Upstreams.find(Slot.Upstream))
    Upstreams.onRelease(*Index, Report, Slot.Probe, Step.Now);
  recordOutcome(Slot, Report, Step.Now);
  grantAll(Step);
  preempt(Step);
  return true;
}

void cell_queue::recordOutcome(const running_slot &Slot,
                               const slot_report &Report, steady_time Now) {
  const waiting_request &Request = Slot.Request;
  Queue->charge(Request.Class, Request.Tier, Request.Organisation,
                Request.Weight, Now - Slot.StartedAt - Request.ExpectedHold);
  if (Report.Result != wire::slot_result::Completed)
    return;
  Latencies.observe(Request.Class, Report.FirstToken, Now - Slot.StartedAt);
  Outputs.observe(Request.Class, Request.Organisation, Report.OutputTokens);
  if (Report.OutputTokens > 1)
    TokenGap.add(
        static_cast<double>(toMicros(Report.Total - Report.FirstToken)) /
        (Report.OutputTokens - 1));
}

void cell_queue::cancel(const ask_key &Key, cell_step &Step) {
  // If the grant has already been sent, the asker releases the slot.
  removeWaiting(Key);
  grantAll(Step);
}

void cell_queue::renew(int64_t Slot, steady_time Now) {
  auto Found = Running.find(Slot);
  if (Found != Running.end())
    Found->second.RenewedAt = Now;
}

void cell_queue::expireSlots(cell_step &Step) {
  if (!isEnabled(mechanism::SlotExpiry))
    return;
  std::vector<int64_t> Expired;
  for (const auto &[Id, Slot] : Running)
    if (Step.Now - Slot.RenewedAt > slot_lifetime)
      Expired.push_back(Id);
  for (int64_t Id : Expired)
    release(Id, slot_report{wire::slot_result::NeverSent, {}, {}, 0}, Step);
}

void cell_queue::onLoadReport(const load_report &Report, cell_step &Step) {
  Upstreams.onLoadReport(Report, Step.Now);
  grantAll(Step);
}

void cell_queue::tick(cell_step &Step) {
  Upstreams.onTick(Step.Now);
  expireWaiting(Step);
  if (Step.Now >= NextReview) {
    NextReview = Step.Now + review_period;
    reviewWaiting(Step);
    expireSlots(Step);
  }
  grantAll(Step);
  preempt(Step);
}

duration cell_queue::expectedWait(steady_time Now) const {
  waiting_request Lowest;
  Lowest.Tier = lowestTier();
  Lowest.CheapAllowed = true;
  admission_view View = admissionViewOf(Lowest, Now);
  View.ShareWait = duration::max();
  return Admission->judge(View).ExpectedWait;
}

tier cell_queue::lowestTier() const {
  tier Lowest{};
  for (const auto &[Name, Class] : Classes)
    Lowest = std::max(Lowest, Class.Tier);
  return Lowest;
}

int cell_queue::freeSlots(steady_time Now) const {
  return Upstreams.freeSlots(true, Now);
}

} // namespace monsoonreel
