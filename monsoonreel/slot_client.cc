#include "monsoonreel/slot_client.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/incarnation.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Interval at which pending asks are checked for timeouts.
constexpr duration ask_review_period = std::chrono::milliseconds(50);
// The high bits of an ask's number are those of the process's incarnation.
// Hence a late answer to an earlier incarnation matches no ask of this one, and
// an owner does not take an ask of this incarnation for a repeated ask of an
// earlier one. Both parts together fit in 7 bytes of a message.
constexpr int ask_number_bits = 24;
constexpr int ask_run_bits = 24;
// Bits of the owner's incarnation in grants, releases and renewals, where it
// takes 3 bytes. If a release reaches another incarnation with the same number
// that has granted the same slot, that slot is released too early and the
// upstream gets one request too many.
constexpr int owner_run_bits = 20;
// Part of the prefix's hash that an ask carries, in 4 bytes. Collisions are
// harmless, because the hash is only a hint for choosing an upstream.
constexpr uint64_t ask_prefix_mask = (uint64_t{1} << 27) - 1;

template <typename T> bool contains(const std::vector<T> &List, const T &Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

// Whether two loads of one cell are equal apart from their ages.
bool haveSameFigures(const wire::pool_load &A, const wire::pool_load &B) {
  return A.Owner == B.Owner && A.QueueWaitMicros == B.QueueWaitMicros &&
         A.FreeSlots == B.FreeSlots;
}

wire::slot_ask makeAsk(int64_t Id, const cell_name &Cell,
                       const slot_request &Request, steady_time Now) {
  wire::slot_ask Ask;
  Ask.Ask = Id;
  Ask.Pool = Cell.Value;
  Ask.ServiceClass = Request.Class.Value;
  Ask.Tier = static_cast<int32_t>(Request.Tier.Value);
  Ask.Organisation = Request.Organisation.Value;
  Ask.TimeLeftMicros = toMicros(Request.Target - Now);
  Ask.GiveUpMicros = toMicros(Request.WaitDeadline - Now);
  Ask.PromptTokens = Request.PromptTokens;
  Ask.ExpectedOutputTokens = Request.MaxTokens;
  Ask.PrefixHash = static_cast<int64_t>(Request.PrefixHash & ask_prefix_mask);
  Ask.Idempotent = Request.Idempotent;
  Ask.Resumed = Request.Resumed;
  for (const upstream_name &Name : Request.Excluded)
    Ask.Excluded.push_back(Name.Value);
  return Ask;
}

} // namespace

slot_client::slot_client(node_identity Self, slot_owner Owner)
    : Self(std::move(Self)), Owner(std::move(Owner)),
      LastAsk(incarnationHash(this->Self.Incarnation, ask_run_bits)
              << ask_number_bits) {}

// ------------------------------------------------------------ configuration

void slot_client::setConfiguration(const configuration &Configuration,
                                   steady_time Now, effect_list &Effects,
                                   slot_outcome_list &Outcomes) {
  Map = pool_map::fromConfiguration(Configuration);
  Names = short_names::fromConfiguration(Configuration, Map);
  Upstreams = Configuration.Upstreams;
  refreshOwners();
  client_step Step{Now, Effects, Outcomes};
  slot_reply_list Replies;
  Owner.setConfiguration(Configuration, Map, Now, Replies, Effects);
  deliver(Replies, Step);
}

void slot_client::setPeers(std::vector<slot_peer> Live) {
  Peers.clear();
  for (slot_peer &Peer : Live) {
    node_name Name = Peer.Name;
    Peers[std::move(Name)] = std::move(Peer);
  }
  Peers[Self.Name] = {Self.Name, Self.Address, Self.Zone};
  refreshOwners();
}

void slot_client::refreshOwners() {
  std::map<zone_name, std::vector<cell_name>> Cells;
  for (const auto &[Name, Cell] : Map.all())
    Cells[Cell.Zone].push_back(Name);
  std::map<zone_name, std::vector<node_name>> Entries;
  for (const auto &[Name, Peer] : Peers)
    Entries[Peer.Zone].push_back(Name);
  std::map<zone_name, cell_owners> Before = std::move(Owners);
  Owners.clear();
  for (auto &[Zone, CellsOfZone] : Cells) {
    std::vector<node_name> &EntriesOfZone = Entries[Zone];
    auto Known = Before.find(Zone);
    bool Same = Known != Before.end() && Known->second.cells() == CellsOfZone &&
                Known->second.entries() == EntriesOfZone;
    if (Same)
      Owners.insert(Before.extract(Known));
    else
      Owners.emplace(
          Zone, cell_owners(std::move(CellsOfZone), std::move(EntriesOfZone)));
  }
}

void slot_client::onLoads(const std::vector<wire::pool_load> &Updates,
                          steady_time Now) {
  for (const wire::pool_load &Load : Updates) {
    cell_name Name(Load.Pool);
    // Unknown cells are ignored, which bounds the table.
    if (!Map.find(Name))
      continue;
    steady_time MeasuredAt =
        Now - std::max(fromMicros(Load.AgeMicros), duration{});
    auto [Place, New] = Loads.try_emplace(Name);
    cell_load &Known = Place->second;
    Known.ReceivedAt = Now;
    duration Error =
        haveSameFigures(Known.Latest, Load) ? load_age_error : duration{};
    if (!New && MeasuredAt <= Known.MeasuredAt + Error)
      continue; // a copy or an older load; asks sent since then still count
    Known.Latest = Load;
    Known.MeasuredAt = MeasuredAt;
    Known.FreeSlots = Load.FreeSlots;
  }
}

std::vector<wire::pool_load> slot_client::loads(steady_time Now) const {
  return Owner.loads(Now);
}

const upstream *slot_client::findUpstream(const upstream_name &Name) const {
  auto Found = Upstreams.find(Name);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

// ------------------------------------------------------------ choosing a cell

std::vector<const cell *>
slot_client::usableCells(const std::vector<const cell *> &Cells,
                         const pending_ask &Ask) const {
  std::vector<const cell *> Usable;
  for (const cell *Cell : Cells) {
    if (contains(Ask.ExcludedCells, Cell->Name))
      continue;
    if (!Ask.Request.Idempotent && !Cell->hasReliable())
      continue;
    Usable.push_back(Cell);
  }
  return Usable;
}

duration slot_client::expectedWait(const cell &Cell, steady_time Now) const {
  auto Load = Loads.find(Cell.Name);
  if (Load == Loads.end() || Now - Load->second.ReceivedAt > load_lifetime)
    return duration{};
  if (Load->second.FreeSlots > 0)
    return -fromMicros(Load->second.FreeSlots);
  return fromMicros(Load->second.Latest.QueueWaitMicros);
}

bool slot_client::hasReportedFreeSlots(const cell &Cell,
                                       steady_time Now) const {
  return expectedWait(Cell, Now) < duration{};
}

const cell *slot_client::chooseOutside(const pending_ask &Ask, uint64_t Random,
                                       steady_time Now) const {
  std::vector<const cell *> Reachable;
  for (const cell *Cell :
       usableCells(Map.cellsOutside(Ask.Request.Pool, Self.Zone), Ask))
    if (hasEntries(Cell->Zone))
      Reachable.push_back(Cell);
  if (Reachable.empty())
    return nullptr;
  const cell *First = Reachable[Random % Reachable.size()];
  const cell *Second = Reachable[(Random >> 32) % Reachable.size()];
  return expectedWait(*First, Now) <= expectedWait(*Second, Now) ? First
                                                                 : Second;
}

const cell *slot_client::chooseCell(const pending_ask &Ask, uint64_t Random,
                                    steady_time Now) const {
  std::vector<const cell *> Home = Map.cellsOf(Ask.Request.Pool, Self.Zone);
  // A non-idempotent request leaves its zone only when the zone has no cell of
  // the pool.
  bool MaySpill = Ask.Request.Idempotent || Home.empty();
  Home = usableCells(Home, Ask);
  if (Home.empty())
    return MaySpill ? chooseOutside(Ask, Random, Now) : nullptr;
  // The prefix selects the first cell, so that requests with the same prefix
  // share one cell's cache.
  uint64_t Start = Ask.Request.PrefixHash ? Ask.Request.PrefixHash : Random;
  duration Slack = Ask.Request.PrefixHash ? affinity_slack : duration{};
  size_t First = Start % Home.size();
  const cell *Chosen = Home[First];
  if (Home.size() > 1) {
    size_t Step = 1 + (Random >> 32) % (Home.size() - 1);
    const cell *Other = Home[(First + Step) % Home.size()];
    if (expectedWait(*Chosen, Now) > expectedWait(*Other, Now) + Slack)
      Chosen = Other;
  }
  duration Wait = expectedWait(*Chosen, Now);
  if (!MaySpill || Wait < spillover_wait)
    return Chosen;
  const cell *Outside = chooseOutside(Ask, Random, Now);
  bool Better = Outside && expectedWait(*Outside, Now) * 2 < Wait;
  return Better ? Outside : Chosen;
}

bool slot_client::hasEntries(const zone_name &Zone) const {
  auto Found = Owners.find(Zone);
  return Found != Owners.end() && !Found->second.entries().empty();
}

bool slot_client::chooseOwner(const cell &Cell, pending_ask &Ask) const {
  for (const node_name &Name :
       Owners.at(Cell.Zone).preferenceOrder(Cell.Name)) {
    if (contains(Ask.TriedOwners, Name))
      continue;
    Ask.Owner = Peers.at(Name);
    return true;
  }
  // If no other entry in the cell's zone answers, this entry acts as the owner.
  if (Cell.Zone != Self.Zone || contains(Ask.TriedOwners, Self.Name))
    return false;
  Ask.Owner = {Self.Name, Self.Address, Self.Zone};
  return true;
}

// --------------------------------------------------------------------- asking

void slot_client::ask(const slot_request &Request, steady_time Now,
                      uint64_t Random, effect_list &Effects,
                      slot_outcome_list &Outcomes) {
  client_step Step{Now, Effects, Outcomes};
  cancel(Request.Request, Now, Effects, Outcomes);
  pending_ask Ask;
  Ask.Request = Request;
  Ask.Refusal = {Request.Request, wire::refusal_reason::NoUpstream,
                 first_pause};
  sendNextAsk(std::move(Ask), Random, Step);
}

void slot_client::sendNextAsk(pending_ask Ask, uint64_t Random,
                              client_step &Step) {
  while (Ask.Count < max_asks_per_request) {
    const cell *Cell = Map.find(Ask.Cell);
    if (!Cell || contains(Ask.ExcludedCells, Ask.Cell)) {
      Cell = chooseCell(Ask, Random, Step.Now);
      if (!Cell)
        break;
      Ask.Cell = Cell->Name;
      Ask.TriedOwners.clear();
    }
    if (chooseOwner(*Cell, Ask)) {
      send(std::move(Ask), Step);
      return;
    }
    Ask.ExcludedCells.push_back(Ask.Cell);
  }
  Step.Outcomes.emplace_back(Ask.Refusal);
}

wire::slot_ask slot_client::messageOf(int64_t Id, const pending_ask &Ask,
                                      steady_time Now) const {
  wire::slot_ask Message = makeAsk(Id, Ask.Cell, Ask.Request, Now);
  if (!Ask.NamesInFull)
    Names.shorten(Message);
  return Message;
}

void slot_client::send(pending_ask Ask, client_step &Step) {
  ++Ask.Count;
  Ask.SentAt = Step.Now;
  Ask.Queued = false;
  int64_t Id = ++LastAsk;
  auto Load = Loads.find(Ask.Cell);
  if (Load != Loads.end() && Load->second.FreeSlots > 0)
    --Load->second.FreeSlots;
  slot_peer To = Ask.Owner;
  wire::slot_ask Message = messageOf(Id, Ask, Step.Now);
  AskByRequest[Ask.Request.Request] = Id;
  Asks[Id] = std::move(Ask);
  sendTo(To, Message, Step);
}

std::optional<slot_client::pending_ask> slot_client::takeAsk(int64_t Id) {
  auto Found = Asks.find(Id);
  if (Found == Asks.end())
    return std::nullopt;
  pending_ask Ask = std::move(Found->second);
  Asks.erase(Found);
  AskByRequest.erase(Ask.Request.Request);
  return Ask;
}

void slot_client::sendCancel(int64_t Id, const pending_ask &Ask,
                             client_step &Step) {
  wire::slot_cancel Cancel;
  Cancel.Ask = Id;
  sendTo(Ask.Owner, Cancel, Step);
}

void slot_client::cancel(request_id Request, steady_time Now,
                         effect_list &Effects, slot_outcome_list &Outcomes) {
  auto Id = AskByRequest.find(Request);
  if (Id == AskByRequest.end())
    return;
  client_step Step{Now, Effects, Outcomes};
  int64_t AskId = Id->second;
  if (std::optional<pending_ask> Ask = takeAsk(AskId))
    sendCancel(AskId, *Ask, Step);
}

void slot_client::release(request_id Request, const slot_report &Report,
                          steady_time Now, effect_list &Effects,
                          slot_outcome_list &Outcomes) {
  auto Found = Held.find(Request);
  if (Found == Held.end())
    return;
  held_slot Slot = std::move(Found->second);
  Held.erase(Found);
  wire::slot_release Release;
  Release.Slot = Slot.Slot;
  Release.OwnerIncarnation = Slot.OwnerIncarnation;
  Release.Result = Report.Result;
  Release.FirstTokenMicros = toMicros(Report.FirstToken);
  Release.TotalMicros = toMicros(Report.Total);
  Release.OutputTokens = Report.OutputTokens;
  client_step Step{Now, Effects, Outcomes};
  sendTo(Slot.Owner, Release, Step);
}

// ----------------------------------------------------------------------- time

void slot_client::onTick(steady_time Now, uint64_t Random, effect_list &Effects,
                         slot_outcome_list &Outcomes) {
  client_step Step{Now, Effects, Outcomes};
  slot_reply_list Replies;
  Owner.onTick(Now, Replies, Effects);
  deliver(Replies, Step);
  if (Now >= NextReview) {
    NextReview = Now + ask_review_period;
    onLoads(Owner.loads(Now), Now);
    reviewAsks(Random, Step);
  }
  if (Now >= NextRenewal) {
    NextRenewal = Now + renewal_period;
    renewSlots(Step);
  }
}

void slot_client::reviewAsks(uint64_t Random, client_step &Step) {
  std::vector<int64_t> Expired;
  std::vector<int64_t> TimedOut;
  std::vector<int64_t> Repeated;
  for (const auto &[Id, Ask] : Asks) {
    duration Age = Step.Now - Ask.SentAt;
    if (Step.Now >= Ask.Request.WaitDeadline)
      Expired.push_back(Id);
    else if (Ask.Owner.Name == Self.Name)
      continue;
    else if (!Peers.contains(Ask.Owner.Name) ||
             (!Ask.Queued && Age >= ask_timeout))
      TimedOut.push_back(Id);
    else if (Ask.Queued && Age >= ask_repeat_period)
      Repeated.push_back(Id);
  }
  for (int64_t Id : Expired) {
    // The entry's own slot owner answers synchronously, so earlier iterations
    // may have ended this ask.
    std::optional<pending_ask> Ask = takeAsk(Id);
    if (!Ask)
      continue;
    sendCancel(Id, *Ask, Step);
    Step.Outcomes.emplace_back(
        slot_refused{Ask->Request.Request, wire::refusal_reason::DeadlinePassed,
                     Ask->Refusal.RetryAfter});
  }
  for (int64_t Id : TimedOut) {
    std::optional<pending_ask> Ask = takeAsk(Id);
    if (!Ask)
      continue;
    sendCancel(Id, *Ask, Step);
    Ask->TriedOwners.push_back(Ask->Owner.Name);
    sendNextAsk(std::move(*Ask), Random, Step);
  }
  for (int64_t Id : Repeated) {
    auto Found = Asks.find(Id);
    if (Found == Asks.end())
      continue;
    pending_ask &Ask = Found->second;
    Ask.SentAt = Step.Now;
    Ask.Queued = false;
    sendTo(Ask.Owner, messageOf(Id, Ask, Step.Now), Step);
  }
}

void slot_client::renewSlots(client_step &Step) {
  std::map<std::pair<node_name, int64_t>,
           std::pair<slot_peer, wire::slot_renew>>
      ByOwner;
  for (const auto &[Request, Slot] : Held) {
    auto &[Peer, Renew] = ByOwner[{Slot.Owner.Name, Slot.OwnerIncarnation}];
    Peer = Slot.Owner;
    Renew.OwnerIncarnation = Slot.OwnerIncarnation;
    Renew.Slots.push_back(Slot.Slot);
  }
  for (const auto &[Key, Entry] : ByOwner)
    sendTo(Entry.first, Entry.second, Step);
}

void slot_client::onLoadReport(const load_report &Report, steady_time Now,
                               effect_list &Effects,
                               slot_outcome_list &Outcomes) {
  client_step Step{Now, Effects, Outcomes};
  slot_reply_list Replies;
  Owner.onLoadReport(Report, Now, Replies, Effects);
  deliver(Replies, Step);
}

void slot_client::drain(steady_time Now, effect_list &Effects,
                        slot_outcome_list &Outcomes) {
  client_step Step{Now, Effects, Outcomes};
  slot_reply_list Replies;
  Owner.drain(Now, Replies, Effects);
  deliver(Replies, Step);
}

slot_client::builder &slot_client::builder::self(node_identity Value) {
  Self = std::move(Value);
  return *this;
}

slot_client::builder &slot_client::builder::policy(std::string Value) {
  Policy = std::move(Value);
  return *this;
}

slot_client slot_client::builder::build() {
  slot_owner Owner = slot_owner::builder()
                         .name(Self.Name)
                         .incarnation(incarnation{
                             incarnationHash(Self.Incarnation, owner_run_bits)})
                         .policy(makeSchedulingPolicy(Policy))
                         .build();
  slot_client Client(Self, std::move(Owner));
  Client.setPeers({});
  return Client;
}

} // namespace monsoonreel
