#include "monsoonreel/fair_queue.h"

#include <algorithm>
#include <tuple>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

double inSeconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

// With the fairness mechanism disabled, all requests count as one
// organisation's.
organisation_name shareName(const organisation_name &Organisation) {
  return isEnabled(mechanism::OrganisationFairness) ? Organisation
                                                    : organisation_name();
}

} // namespace

void fair_queue::setVirtualTime(tier_state &State,
                                const organisation_name &Organisation,
                                share &Share, double VirtualTime) {
  for (auto &[Key, Lane] : State.Lanes)
    if (Lane.Backlogged.erase({Share.VirtualTime, Organisation}) > 0)
      Lane.Backlogged.insert({VirtualTime, Organisation});
  Share.VirtualTime = VirtualTime;
}

void fair_queue::dropIdle(tier_state &State) {
  if (State.Shares.size() <= max_idle_organisations)
    return;
  absl::erase_if(State.Shares, [&](const auto &Entry) {
    return Entry.second.Waiting == 0 && Entry.second.VirtualTime <= State.Clock;
  });
}

void fair_queue::push(waiting_request Request) {
  tier_state &State = Tiers[Request.Tier];
  dropIdle(State);
  organisation_name Name = shareName(Request.Organisation);
  share &Share = State.Shares[Name];
  Share.Weight = Request.Weight;
  if (Share.Waiting == 0)
    setVirtualTime(State, Name, Share,
                   std::max(Share.VirtualTime, State.Clock));
  ++Share.Waiting;
  Share.Work += Request.ExpectedHold;
  ++State.Waiting;
  State.Work += Request.ExpectedHold;
  ++WaitingByClass[Request.Class];

  auto Stored = std::make_unique<stored>();
  Stored->Request = std::move(Request);
  Stored->Sequence = ++LastSequence;
  const waiting_request &Kept = Stored->Request;
  lane &Lane = State.Lanes[{Kept.Class, Kept.CheapAllowed}];
  request_order &Order = Lane.ByOrganisation[Name];
  if (Order.empty())
    Lane.Backlogged.insert({Share.VirtualTime, Name});
  Order.emplace(deadline_key(Kept.LatestGrant, Stored->Sequence), &Kept);
  ask_key Key = Kept.Key;
  Requests[Key] = std::move(Stored);
}

fair_queue::choice fair_queue::nextInLane(const lane &Lane,
                                          const request_filter &Fits,
                                          steady_time From) {
  int Tries = 0;
  for (const auto &[VirtualTime, Organisation] : Lane.Backlogged) {
    const request_order &Order = Lane.ByOrganisation.at(Organisation);
    auto It = Order.lower_bound(deadline_key(From, 0));
    for (; It != Order.end() && Tries < max_fit_tries; ++It, ++Tries)
      if (Fits(*It->second))
        return {VirtualTime, It->second->LatestGrant, It->second};
    if (Tries >= max_fit_tries)
      break;
  }
  return {};
}

fair_queue::choice fair_queue::nextFrom(const tier_state &State,
                                        const class_name *Class,
                                        const request_filter &Fits,
                                        steady_time From) {
  choice Best;
  for (const auto &[Key, Lane] : State.Lanes) {
    if (Class && Key.first != *Class)
      continue;
    choice Next = nextInLane(Lane, Fits, From);
    if (!Next.Request)
      continue;
    if (!Best.Request || std::tie(Next.VirtualTime, Next.LatestGrant) <
                             std::tie(Best.VirtualTime, Best.LatestGrant))
      Best = Next;
  }
  return Best;
}

const waiting_request *fair_queue::nextInTier(const tier_state &State,
                                              const class_name *Class,
                                              const request_filter &Fits,
                                              steady_time Now) {
  if (const waiting_request *OnTime = nextFrom(State, Class, Fits, Now).Request)
    return OnTime;
  return nextFrom(State, Class, Fits, steady_time::min()).Request;
}

std::optional<waiting_request> fair_queue::grant(const waiting_request *Next) {
  if (!Next)
    return std::nullopt;
  tier_state &State = Tiers[Next->Tier];
  organisation_name Name = shareName(Next->Organisation);
  share &Share = State.Shares[Name];
  State.Clock = std::max(State.Clock, Share.VirtualTime);
  setVirtualTime(State, Name, Share,
                 Share.VirtualTime +
                     inSeconds(Next->ExpectedHold) / Share.Weight);
  return remove(Next->Key);
}

std::optional<waiting_request> fair_queue::take(const request_filter &Fits,
                                                steady_time Now) {
  const waiting_request *Next = nullptr;
  if (isEnabled(mechanism::TierOrder)) {
    for (auto It = Tiers.begin(); It != Tiers.end() && !Next; ++It)
      Next = nextInTier(It->second, nullptr, Fits, Now);
  } else {
    for (auto It = Tiers.rbegin(); It != Tiers.rend() && !Next; ++It)
      Next = nextInTier(It->second, nullptr, Fits, Now);
  }
  return grant(Next);
}

std::optional<waiting_request>
fair_queue::takeOfClass(const class_name &Class, const request_filter &Fits,
                        steady_time Now) {
  const waiting_request *Next = nullptr;
  for (auto It = Tiers.begin(); It != Tiers.end() && !Next; ++It)
    Next = nextInTier(It->second, &Class, Fits, Now);
  return grant(Next);
}

const waiting_request *fair_queue::peekAbove(tier Below,
                                             const request_filter &Fits,
                                             steady_time Now) const {
  for (const auto &[Tier, State] : Tiers) {
    if (Tier >= Below)
      return nullptr;
    if (const waiting_request *Next = nextInTier(State, nullptr, Fits, Now))
      return Next;
  }
  return nullptr;
}

std::optional<waiting_request> fair_queue::remove(const ask_key &Key) {
  auto Found = Requests.find(Key);
  if (Found == Requests.end())
    return std::nullopt;
  std::unique_ptr<stored> Stored = std::move(Found->second);
  Requests.erase(Found);
  waiting_request &Request = Stored->Request;
  organisation_name Name = shareName(Request.Organisation);
  tier_state &State = Tiers[Request.Tier];
  share &Share = State.Shares[Name];
  --Share.Waiting;
  Share.Work -= Request.ExpectedHold;
  --State.Waiting;
  State.Work -= Request.ExpectedHold;
  auto OfClass = WaitingByClass.find(Request.Class);
  if (--OfClass->second == 0)
    WaitingByClass.erase(OfClass);

  auto Lane = State.Lanes.find({Request.Class, Request.CheapAllowed});
  auto Order = Lane->second.ByOrganisation.find(Name);
  Order->second.erase(deadline_key(Request.LatestGrant, Stored->Sequence));
  if (Order->second.empty()) {
    Lane->second.Backlogged.erase({Share.VirtualTime, Name});
    Lane->second.ByOrganisation.erase(Order);
    if (Lane->second.ByOrganisation.empty())
      State.Lanes.erase(Lane);
  }
  return std::move(Request);
}

const waiting_request *fair_queue::find(const ask_key &Key) const {
  auto Found = Requests.find(Key);
  return Found == Requests.end() ? nullptr : &Found->second->Request;
}

const waiting_request *fair_queue::shedCandidate(
    const std::function<bool(const class_name &)> &Sheds) const {
  bool LowestFirst = isEnabled(mechanism::TierOrder);
  const waiting_request *Worst = nullptr;
  for (const auto &[Tier, State] : Tiers) {
    if (Worst && !LowestFirst)
      break;
    double TierBacklog = 0;
    for (const auto &[Key, Lane] : State.Lanes) {
      if (!Sheds(Key.first))
        continue;
      for (const auto &[Name, Order] : Lane.ByOrganisation) {
        double Backlog =
            static_cast<double>(Order.size()) / State.Shares.at(Name).Weight;
        if (Backlog <= TierBacklog)
          continue;
        TierBacklog = Backlog;
        Worst = Order.rbegin()->second;
      }
    }
  }
  return Worst;
}

late_work fair_queue::lateInOrder(const request_order &Order, steady_time Now) {
  late_work Late;
  int Tries = 0;
  for (const auto &[Key, Request] : Order) {
    if (Key.first >= Now || ++Tries > max_late_tries)
      break;
    Late.Work += Request->ExpectedHold;
    if (!Request->Resumed)
      Late.Victim = Request;
  }
  return Late;
}

late_work fair_queue::lateWork(tier Tier, const class_name &Class,
                               steady_time Now) const {
  late_work Sum;
  auto State = Tiers.find(Tier);
  if (State == Tiers.end())
    return Sum;
  double MostBacklog = 0;
  for (const auto &[Key, Lane] : State->second.Lanes)
    for (const auto &[Name, Order] : Lane.ByOrganisation) {
      late_work Late = lateInOrder(Order, Now);
      Sum.Work += Late.Work;
      const share &Share = State->second.Shares.at(Name);
      double Backlog = static_cast<double>(Share.Waiting) / Share.Weight;
      if (!Late.Victim || Key.first != Class || Backlog <= MostBacklog)
        continue;
      MostBacklog = Backlog;
      Sum.Victim = Late.Victim;
    }
  return Sum;
}

void fair_queue::charge(const class_name & /*Class*/, tier Tier,
                        const organisation_name &Organisation, double Weight,
                        duration Used) {
  auto State = Tiers.find(Tier);
  if (State == Tiers.end())
    return;
  organisation_name Name = shareName(Organisation);
  auto Share = State->second.Shares.find(Name);
  if (Share == State->second.Shares.end())
    return;
  setVirtualTime(State->second, Name, Share->second,
                 Share->second.VirtualTime + inSeconds(Used) / Weight);
}

size_t fair_queue::waitingOf(const class_name &Class) const {
  auto Found = WaitingByClass.find(Class);
  return Found == WaitingByClass.end() ? 0 : Found->second;
}

bool fair_queue::anyInLane(const lane &Lane, const request_filter &Fits) {
  int Tries = 0;
  for (const auto &[Organisation, Order] : Lane.ByOrganisation)
    for (const auto &[Key, Request] : Order) {
      if (Fits(*Request))
        return true;
      if (++Tries >= max_any_tries)
        return false;
    }
  return false;
}

bool fair_queue::anyOfClass(const class_name &Class,
                            const request_filter &Fits) const {
  for (const auto &[Tier, State] : Tiers)
    for (const auto &[Key, Lane] : State.Lanes)
      if (Key.first == Class && anyInLane(Lane, Fits))
        return true;
  return false;
}

duration fair_queue::workAhead(tier Tier, const organisation_name &Organisation,
                               double Weight) const {
  duration Ahead{};
  auto It = Tiers.begin();
  for (; It != Tiers.end() && It->first < Tier; ++It)
    Ahead += It->second.Work;
  if (It == Tiers.end() || It->first != Tier || It->second.Waiting == 0)
    return Ahead;
  const tier_state &State = It->second;
  organisation_name Name = shareName(Organisation);
  auto Own = State.Shares.find(Name);
  duration OwnWork = Own == State.Shares.end() ? duration{} : Own->second.Work;
  duration Mean = State.Work / static_cast<int64_t>(State.Waiting);
  // While this organisation's requests are served, each other organisation is
  // granted slot time in proportion to its weight.
  double Rounds = inSeconds(OwnWork + Mean) / Weight;
  Ahead += OwnWork;
  for (const auto &[Other, Share] : State.Shares) {
    if (Other == Name || Share.Waiting == 0)
      continue;
    auto Part = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Rounds * Share.Weight));
    Ahead += std::min(Share.Work, Part);
  }
  return Ahead;
}

std::string describe(const waiting_request &Request) {
  return "class " + Request.Class.Value + " tier " +
         std::to_string(Request.Tier.Value);
}

std::unique_ptr<request_queue> makeFairQueue() {
  return std::make_unique<fair_queue>();
}

} // namespace monsoonreel
