// Sends and handles the membership messages and merges their contents.

#include "monsoonreel/membership.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// A send count above disseminationLimit in a site of any size.
constexpr int already_disseminated = 1 << 20;

// Of two versions of a member with equal incarnation and refutation number, the
// one whose state has the higher precedence wins.
int precedenceOf(wire::member_state::type State) {
  switch (State) {
  case wire::member_state::Alive:
    return 0;
  case wire::member_state::Suspect:
    return 1;
  case wire::member_state::Leaving:
    return 2;
  case wire::member_state::Dead:
    return 3;
  }
  return 0;
}

bool isNewer(const wire::member &Received, const wire::member &Known) {
  auto Order = [](const wire::member &Member) {
    return std::tuple(Member.Incarnation, Member.Refutation,
                      precedenceOf(Member.State));
  };
  return Order(Received) > Order(Known);
}

uint32_t digestOf(const wire::member &Member) {
  std::array<int64_t, 3> Version = {Member.Incarnation, Member.Refutation,
                                    Member.State};
  uint64_t Name = XXH3_64bits(Member.Name.data(), Member.Name.size());
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(Version.data(), sizeof(Version), Name));
}

// Whether the fields are within their bounds, as input from peers is not
// trusted.
bool isPlausible(const wire::member &Member) {
  bool Role = Member.Role == wire::member_role::Entry ||
              Member.Role == wire::member_role::Steward;
  bool State = Member.State >= wire::member_state::Alive &&
               Member.State <= wire::member_state::Dead;
  return Role && State && !Member.Name.empty() && !Member.Address.empty() &&
         Member.Name.size() <= max_member_name_bytes &&
         Member.Zone.size() <= max_member_name_bytes &&
         Member.Address.size() <= max_member_name_bytes;
}

} // namespace

bool membership::onMessage(const peer_message_received &Received,
                           steady_time Now, effect_list &Effects) {
  if (const auto *Beat = std::get_if<wire::heartbeat>(&Received.Message)) {
    if (std::optional<wire::member> Sender = senderOf(*Beat, Received.From))
      onHeartbeat(*Beat, *Sender, Now, Effects);
    return true;
  }
  if (const auto *Ack = std::get_if<wire::heartbeat_ack>(&Received.Message)) {
    if (std::optional<wire::member> Sender = senderOf(*Ack, Received.From))
      onAck(*Ack, *Sender, Now, Effects);
    return true;
  }
  if (const auto *Request =
          std::get_if<wire::probe_request>(&Received.Message)) {
    onProbeRequest(*Request, Now, Effects);
    return true;
  }
  return false;
}

template <typename T>
std::optional<wire::member> membership::senderOf(const T &Message,
                                                 const node_name &From) {
  wire::member Sender = Message.Sender;
  if (Message.__isset.SenderRun) {
    const wire::member_run &Run = Message.SenderRun;
    known_member *Known = findKnown(From.Value);
    if (!Known || Known->Member.Incarnation != Run.Incarnation)
      return std::nullopt;
    Sender = Known->Member;
    Sender.Refutation = Run.Refutation;
    Sender.State = Run.State;
  }
  if (!isPlausible(Sender) || Sender.Name == Self.Name)
    return std::nullopt;
  return Sender;
}

void membership::onHeartbeat(const wire::heartbeat &Beat,
                             const wire::member &Sender, steady_time Now,
                             effect_list &Effects) {
  mergeMembers(Sender, log_offset{Beat.LedgerOffset}, Beat.Gossip, 0, Now,
               Effects);
  if (known_member *Known = findKnown(Sender.Name)) {
    Known->SendsDigest = Beat.__isset.MembersDigest;
    // The sender may have dropped the answer because it could not resolve this
    // node's short form.
    Known->ResolvesShortForm &= !Beat.Retry;
  }
  mergeChanges(Beat.Changes, Now, Effects);
  Loads.merge(Beat.Loads, Now);
  node_name To(Sender.Name);
  address ToAddress(Sender.Address);
  // The sender did not receive an answer. It may have been lost on this node's
  // connection to the sender.
  if (Beat.Retry && isEnabled(mechanism::SilentLinkReset))
    Effects.push_back(reset_link{ToAddress});
  wire::heartbeat_ack Ack;
  Ack.Nonce = Beat.Nonce;
  setSender(To, Ack);
  Ack.LedgerOffset = ledgerOffset().Value;
  bool SendAll = Beat.WantsMembers && Now - LastFullList >= list_answer_period;
  if (SendAll)
    LastFullList = Now;
  Ack.__set_MembersDigest(membersDigest());
  extra_gossip Further = extra_gossip::RandomMember;
  if (Beat.__isset.MembersDigest)
    Further = Beat.MembersDigest == Ack.MembersDigest
                  ? extra_gossip::None
                  : extra_gossip::Difference;
  if (SendAll)
    Ack.Gossip = allMembers();
  else
    setGossip(pickGossip(To, Further, Now), Ack);
  Ack.Loads = Loads.pick(max_gossip_loads, Now);
  if (std::optional<duration> Age = Freshness.age(Now))
    Ack.__set_LogAgeMicros(toMicros(*Age));
  Effects.push_back(send_message{To, ToAddress, std::move(Ack)});
}

void membership::onAck(const wire::heartbeat_ack &Ack,
                       const wire::member &Sender, steady_time Now,
                       effect_list &Effects) {
  // The node that sent a complete list has gossiped its members already. If the
  // joining node sent them all again, they would fill the gossip for minutes.
  bool WholeList = Ack.Gossip.size() > max_gossip_members + 1;
  size_t KnownBefore = Members.size();
  mergeMembers(Sender, log_offset{Ack.LedgerOffset}, Ack.Gossip,
               WholeList ? already_disseminated : 0, Now, Effects);
  if (WholeList && Members.size() > KnownBefore) {
    ListDelay = first_list_delay;
    NextList = Now + ListDelay;
  }
  mergeChanges(Ack.Changes, Now, Effects);
  DigestDiffers =
      Ack.__isset.MembersDigest && Ack.MembersDigest != membersDigest();
  Loads.merge(Ack.Loads, Now);
  if (auto Relay = Relays.find(Ack.Nonce); Relay != Relays.end()) {
    relayAck(Sender, Relay->second, Effects);
    Relays.erase(Relay);
    return;
  }
  auto Found = Probes.find(Ack.Nonce);
  if (Found == Probes.end())
    return;
  const open_probe &Probe = Found->second;
  bool Direct = Ack.OnBehalfOf.empty();
  const std::string &Reached = Direct ? Sender.Name : Ack.OnBehalfOf;
  if (Direct && Ack.__isset.LogAgeMicros)
    Freshness.onPeer(log_offset{Ack.LedgerOffset}, fromMicros(Ack.LogAgeMicros),
                     Probe.SentAt);
  // A node that answered another request for a list within list_answer_period
  // sends no list, so this node requests one again.
  bool Satisfied =
      WholeList || !DigestDiffers || Members.size() <= max_gossip_members;
  if (Direct && Satisfied && ListsWanted > 0)
    --ListsWanted;
  // The nonce belongs to a heartbeat of this run, so the sender knows this run.
  known_member *Known = findKnown(Sender.Name);
  if (Known && Direct && Known->Member.Incarnation == Sender.Incarnation)
    Known->ResolvesShortForm = Ack.__isset.MembersDigest;
  // The address of a dead member may now belong to another process, whose
  // answer does not count for the target.
  if (Probe.Target.empty() || Reached == Probe.Target.Value)
    Probes.erase(Found);
}

void membership::onProbeRequest(const wire::probe_request &Request,
                                steady_time Now, effect_list &Effects) {
  if (!isPlausible(Request.Sender) || !isPlausible(Request.Target) ||
      Relays.size() >= max_relayed_probes || Request.Target.Name == Self.Name)
    return;
  int64_t Nonce = NextNonce++;
  Relays[Nonce] = relayed_probe{Request.Nonce, node_name(Request.Sender.Name),
                                address(Request.Sender.Address), Now};
  sendHeartbeat(Nonce, node_name(Request.Target.Name),
                address(Request.Target.Address), false, Now, Effects);
}

void membership::relayAck(const wire::member &Reached,
                          const relayed_probe &Relay, effect_list &Effects) {
  wire::heartbeat_ack Answer;
  Answer.Nonce = Relay.Nonce;
  Answer.__set_Sender(Self);
  Answer.LedgerOffset = ledgerOffset().Value;
  Answer.OnBehalfOf = Reached.Name;
  Answer.Gossip = {Reached};
  Effects.push_back(
      send_message{Relay.Requester, Relay.RequesterAddress, std::move(Answer)});
}

void membership::mergeMembers(const wire::member &Sender, log_offset Offset,
                              const std::vector<wire::member> &Gossip,
                              int SendCount, steady_time Now,
                              effect_list &Effects) {
  mergeMember(Sender, 0, Now, Effects);
  known_member *Known = findKnown(Sender.Name);
  if (Known && Known->Member.Incarnation == Sender.Incarnation)
    Known->Ledger = std::max(Known->Ledger, Offset);
  for (const wire::member &Member : Gossip)
    mergeMember(Member, SendCount, Now, Effects);
}

void membership::mergeMember(const wire::member &Received, int SendCount,
                             steady_time Now, effect_list &Effects) {
  if (!isPlausible(Received))
    return;
  if (Received.Name == Self.Name) {
    refute(Received);
    return;
  }
  known_member *Known = findKnown(Received.Name);
  if (!Known) {
    // An unknown dead member is not added: nodes that expired it would send it
    // to each other for ever.
    if (Received.State == wire::member_state::Dead || !makeRoom())
      return;
    Members[Received.Name] =
        known_member{Received, Now, SendCount == 0 ? Now : steady_time(),
                     SendCount, log_offset()};
    Effects.push_back(
        log_line{log_level::Info,
                 "member " + Received.Name + " joined at " + Received.Address});
    return;
  }
  if (!isNewer(Received, Known->Member))
    return;
  if (Received.State == wire::member_state::Dead) {
    declareDead(*Known, Now, Effects);
  } else if (Received.State != Known->Member.State) {
    Known->ChangedAt = Now;
  }
  // A restarted process has no log offset and does not know this node.
  if (Received.Incarnation != Known->Member.Incarnation) {
    Known->Ledger = log_offset();
    Known->ResolvesShortForm = false;
  }
  Known->Member = Received;
  Known->UpdatedAt = Now;
  Known->SendCount = 0;
}

void membership::refute(const wire::member &Received) {
  bool ReportedFailed = Received.State == wire::member_state::Suspect ||
                        Received.State == wire::member_state::Dead;
  if (!ReportedFailed || Received.Incarnation != Self.Incarnation ||
      Received.Refutation < Self.Refutation)
    return;
  Self.Refutation = Received.Refutation + 1;
}

void membership::suspect(known_member &Known, steady_time Now,
                         effect_list &Effects) {
  wire::member_state::type &State = Known.Member.State;
  if (State == wire::member_state::Dead || State == wire::member_state::Suspect)
    return;
  // A member that announced that it is leaving will not come back, so it gets
  // no time to refute.
  if (State == wire::member_state::Leaving ||
      !isEnabled(mechanism::SuspicionBeforeDeath)) {
    declareDead(Known, Now, Effects);
    return;
  }
  State = wire::member_state::Suspect;
  Known.ChangedAt = Now;
  Known.UpdatedAt = Now;
  Known.SendCount = 0;
  Effects.push_back(
      log_line{log_level::Warning, "member " + Known.Member.Name +
                                       " does not answer and is suspected"});
  // Informs the suspect, which refutes the suspicion if it is alive.
  beginProbe(node_name(Known.Member.Name), address(Known.Member.Address), Now,
             Effects);
}

void membership::declareDead(known_member &Known, steady_time Now,
                             effect_list &Effects) {
  Known.Member.State = wire::member_state::Dead;
  Known.ChangedAt = Now;
  Known.UpdatedAt = Now;
  Known.SendCount = 0;
  Effects.push_back(
      log_line{log_level::Warning, "member " + Known.Member.Name + " is dead"});
  Effects.push_back(count_metric{"monsoonreel_members_died_total", {}, 1.0});
}

bool membership::makeRoom() {
  if (Members.size() < max_members)
    return true;
  auto Oldest = Members.end();
  for (auto It = Members.begin(); It != Members.end(); ++It) {
    bool Dead = It->second.Member.State == wire::member_state::Dead;
    if (Dead && (Oldest == Members.end() ||
                 It->second.ChangedAt < Oldest->second.ChangedAt))
      Oldest = It;
  }
  if (Oldest == Members.end())
    return false;
  Members.erase(Oldest);
  return true;
}

void membership::sendHeartbeat(int64_t Nonce, const node_name &To,
                               const address &ToAddress, bool Retry,
                               steady_time Now, effect_list &Effects) {
  wire::heartbeat Beat;
  Beat.Nonce = Nonce;
  if (Retry)
    Beat.__set_Sender(Self);
  else
    setSender(To, Beat);
  Beat.LedgerOffset = ledgerOffset().Value;
  Beat.__set_MembersDigest(membersDigest());
  // A receiver that compares digests sends the differences in its answer.
  known_member *Receiver = findKnown(To.Value);
  extra_gossip Further = Receiver && Receiver->SendsDigest
                             ? extra_gossip::None
                             : extra_gossip::RandomMember;
  setGossip(pickGossip(To, Further, Now), Beat);
  Beat.Loads = Loads.pick(max_gossip_loads, Now);
  Beat.Retry = Retry;
  Beat.WantsMembers = ListsWanted > 0;
  Effects.push_back(send_message{To, ToAddress, std::move(Beat)});
}

template <typename T> void membership::setGossip(gossip Picked, T &Message) {
  Message.Gossip = std::move(Picked.Members);
  if (!Picked.Changes.empty())
    Message.__set_Changes(std::move(Picked.Changes));
}

template <typename T>
void membership::setSender(const node_name &To, T &Message) {
  known_member *Receiver = findKnown(To.Value);
  bool Short = Receiver && Receiver->ResolvesShortForm &&
               Receiver->Member.State == wire::member_state::Alive;
  if (!Short) {
    Message.__set_Sender(Self);
    return;
  }
  wire::member_run Run;
  Run.Incarnation = Self.Incarnation;
  Run.Refutation = Self.Refutation;
  Run.State = Self.State;
  Message.__set_SenderRun(Run);
}

log_offset membership::ledgerOffset() const {
  return std::max(Ledger, Freshness.applied());
}

int32_t membership::membersDigest() const {
  uint32_t Digest = digestOf(Self);
  for (const auto &[Name, Known] : Members)
    if (Known.Member.State != wire::member_state::Dead)
      Digest += digestOf(Known.Member);
  return static_cast<int32_t>(Digest);
}

} // namespace monsoonreel
