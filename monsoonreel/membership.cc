#include "monsoonreel/membership.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "monsoonreel/host.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

membership::membership(node_identity Identity, wire::member_role::type Role,
                       std::vector<address> Seeds)
    : Seeds(std::move(Seeds)), Loads(Identity.Name.Value) {
  Self.Name = std::move(Identity.Name.Value);
  Self.Role = Role;
  Self.Zone = std::move(Identity.Zone.Value);
  Self.Address = std::move(Identity.Address.Value);
  Self.Incarnation = Identity.Incarnation.Value;
  Self.State = wire::member_state::Alive;
  Self.Capacity = Identity.Capacity;
  // Answers to an earlier run of this node must not match the nonces of this
  // run.
  NextNonce += (Identity.Incarnation.Value & 0xffffff) << 24;
}

void membership::onTick(steady_time Now, uint64_t Random, log_offset Applied,
                        effect_list &Effects) {
  RandomSeed ^= Random;
  Ledger = std::max(Ledger, Applied);
  Freshness.onApplied(Ledger);
  forgetProbesAfterPause(Now);
  checkProbes(Now, Effects);
  if (Now >= NextExpiry) {
    NextExpiry = Now + expiry_period;
    expireMembers(Now, Effects);
  }
  if (LeavingUnsent)
    sendLeaving(Now, Effects);
  if (Now >= NextList)
    requestMissingMembers(Now, Effects);
  if (Now >= NextNear) {
    NextNear = Now + heartbeat_period;
    probeNext(Near, true, Now, Effects);
  }
  if (Now >= NextFar) {
    NextFar = Now + far_heartbeat_period;
    probeNext(Far, false, Now, Effects);
  }
  if (Now >= NextLostZones) {
    NextLostZones = Now + heartbeat_period;
    probeLostZones(Now, Effects);
  }
  if (Now >= NextReconnect) {
    // A node without live peers looks for members more often.
    NextReconnect =
        Now + (liveCount() > 1 ? reconnect_period : heartbeat_period);
    probeUnconnected(Now, Effects);
  }
  LastTick = Now;
  Started = true;
}

// When many nodes start at once, their first member lists lack the nodes that
// started later, and gossiping that many changes takes minutes. The seeds have
// the most complete lists, but they may be down and have to answer all nodes,
// so half of the requests go to other members.
void membership::requestMissingMembers(steady_time Now, effect_list &Effects) {
  if (Started) {
    if (DigestDiffers) {
      ListsWanted = std::max(ListsWanted, 1);
      if (Seeds.empty() || draw() % 2 == 0)
        probeNext(Near, true, Now, Effects);
      else
        probeSeed(Seeds[draw() % Seeds.size()], Now, Effects);
    }
    ListDelay = std::min(2 * ListDelay, longest_list_delay);
  }
  NextList = Now + ListDelay;
}

void membership::probeSeed(const address &Seed, steady_time Now,
                           effect_list &Effects) {
  if (Seed.Value == Self.Address)
    return;
  auto Known =
      std::find_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.Member.Address == Seed.Value &&
               Entry.second.Member.State != wire::member_state::Dead;
      });
  beginProbe(node_name(Known == Members.end() ? std::string() : Known->first),
             Seed, Now, Effects);
}

void membership::forgetProbesAfterPause(steady_time Now) {
  if (!Started || Now - LastTick < heartbeat_period)
    return;
  // This process was paused and could not receive answers. No member may be
  // suspected because of that, and suspects get the full timeout again.
  Probes.clear();
  for (auto &[Name, Known] : Members)
    if (Known.Member.State == wire::member_state::Suspect)
      Known.ChangedAt = Now;
}

void membership::probeNext(probe_schedule &Schedule, bool InOwnZone,
                           steady_time Now, effect_list &Effects) {
  std::vector<node_name> Candidates;
  for (const auto &[Name, Known] : Members) {
    bool Near = Known.Member.Zone == Self.Zone;
    if (Near == InOwnZone && Known.Member.State != wire::member_state::Dead)
      Candidates.emplace_back(Name);
  }
  std::optional<node_name> Next = Schedule.next(Candidates, draw());
  if (!Next)
    return;
  const wire::member &Target = Members.find(Next->Value)->second.Member;
  beginProbe(*Next, address(Target.Address), Now, Effects);
}

void membership::beginProbe(const node_name &Target,
                            const address &TargetAddress, steady_time Now,
                            effect_list &Effects) {
  int64_t Nonce = NextNonce++;
  Probes[Nonce] = open_probe{Target, TargetAddress, Now};
  sendHeartbeat(Nonce, Target, TargetAddress, false, Now, Effects);
}

// Zones fail or are partitioned as a whole. When one seems lost, all nodes
// together probe its remaining members, which is faster than waiting for each
// node's round-robin order.
void membership::probeLostZones(steady_time Now, effect_list &Effects) {
  struct zone_state {
    size_t Unresponsive = 0;
    std::vector<const wire::member *> Others;
  };
  std::map<std::string, zone_state> Zones;
  for (const auto &[Name, Known] : Members) {
    wire::member_state::type State = Known.Member.State;
    zone_state &Zone = Zones[Known.Member.Zone];
    bool DiedRecently = State == wire::member_state::Dead &&
                        Now - Known.ChangedAt < lost_zone_window;
    if (State == wire::member_state::Suspect || DiedRecently)
      ++Zone.Unresponsive;
    else if (State != wire::member_state::Dead)
      Zone.Others.push_back(&Known.Member);
  }
  std::vector<const wire::member *> Candidates;
  for (const auto &[Name, Zone] : Zones)
    if (Zone.Unresponsive >= lost_zone_threshold && Name != Self.Zone)
      Candidates.insert(Candidates.end(), Zone.Others.begin(),
                        Zone.Others.end());
  // Each node sends only its share of the probes, so that the nodes of a large
  // site don't all probe at the same time.
  if (draw() % liveCount() >= lost_zone_probes * Candidates.size())
    return;
  const wire::member &Target = *Candidates[draw() % Candidates.size()];
  beginProbe(node_name(Target.Name), address(Target.Address), Now, Effects);
}

// Probes one address that has no live member, from the seeds, the VM list and
// the dead members.
void membership::probeUnconnected(steady_time Now, effect_list &Effects) {
  if (!isEnabled(mechanism::ReconnectProbe) && liveCount() > 1)
    return;
  std::vector<std::pair<node_name, address>> Candidates;
  absl::flat_hash_set<std::string> LiveAddresses = {Self.Address};
  for (const auto &[Name, Known] : Members)
    if (Known.Member.State != wire::member_state::Dead)
      LiveAddresses.insert(Known.Member.Address);
  for (const auto &[Name, Known] : Members)
    if (Known.Member.State == wire::member_state::Dead &&
        !LiveAddresses.contains(Known.Member.Address))
      Candidates.emplace_back(node_name(Name), address(Known.Member.Address));
  for (const std::vector<address> *List : {&Seeds, &ListedAddresses})
    for (const address &Address : *List)
      if (!LiveAddresses.contains(Address.Value))
        Candidates.emplace_back(node_name(), Address);
  if (Candidates.empty())
    return;
  const auto &[Name, Address] = Candidates[draw() % Candidates.size()];
  beginProbe(Name, Address, Now, Effects);
}

void membership::checkProbes(steady_time Now, effect_list &Effects) {
  std::vector<int64_t> Late;
  std::vector<int64_t> Unanswered;
  for (const auto &[Nonce, Probe] : Probes) {
    if (Now - Probe.SentAt >= probe_timeout)
      Unanswered.push_back(Nonce);
    else if (Now - Probe.SentAt >= direct_probe_timeout && !Probe.Escalated)
      Late.push_back(Nonce);
  }
  for (int64_t Nonce : Late)
    escalate(Nonce, Now, Effects);
  for (int64_t Nonce : Unanswered) {
    open_probe Probe = Probes[Nonce];
    Probes.erase(Nonce);
    if (known_member *Known = findKnown(Probe.Target.Value))
      suspect(*Known, Now, Effects);
  }
  std::erase_if(Relays, [&](const auto &Entry) {
    return Now - Entry.second.SentAt >= probe_timeout;
  });
}

// The connection may be broken without an error while the member is alive.
// Tries a new connection and requests indirect probes from other members.
void membership::escalate(int64_t Nonce, steady_time Now,
                          effect_list &Effects) {
  open_probe &Probe = Probes[Nonce];
  Probe.Escalated = true;
  if (isEnabled(mechanism::SilentLinkReset)) {
    Effects.push_back(reset_link{Probe.TargetAddress});
    sendHeartbeat(Nonce, Probe.Target, Probe.TargetAddress, true, Now, Effects);
  }
  known_member *Target = findKnown(Probe.Target.Value);
  if (!Target || !isEnabled(mechanism::IndirectProbe))
    return;
  std::vector<const wire::member *> Others;
  for (const auto &[Name, Known] : Members)
    if (Known.Member.State == wire::member_state::Alive &&
        Name != Probe.Target.Value)
      Others.push_back(&Known.Member);
  for (size_t Requested = 0;
       Requested < indirect_probe_count && !Others.empty(); ++Requested) {
    size_t Chosen = draw() % Others.size();
    wire::probe_request Request;
    Request.Nonce = Nonce;
    Request.Sender = Self;
    Request.Target = Target->Member;
    Effects.push_back(send_message{node_name(Others[Chosen]->Name),
                                   address(Others[Chosen]->Address), Request});
    Others.erase(Others.begin() + static_cast<ptrdiff_t>(Chosen));
  }
}

void membership::expireMembers(steady_time Now, effect_list &Effects) {
  for (auto &[Name, Known] : Members)
    if (Known.Member.State == wire::member_state::Suspect &&
        Now - Known.ChangedAt >= suspicion_timeout)
      declareDead(Known, Now, Effects);
  std::erase_if(Members, [&](const auto &Entry) {
    return Entry.second.Member.State == wire::member_state::Dead &&
           Now - Entry.second.ChangedAt >= dead_member_retention;
  });
  if (Now - VmListAt >= vm_mark_retention)
    LeavingMarks.clear();
}

void membership::onVmList(const vm_list_read &List, steady_time Now) {
  VmListAt = Now;
  LeavingMarks.clear();
  ListedAddresses.clear();
  for (const vm_entry &Vm : List.Vms) {
    if (ListedAddresses.size() >= max_members)
      break;
    if (hasPort(Vm.Address))
      ListedAddresses.push_back(Vm.Address);
    else
      ListedAddresses.push_back(withPortOf(Vm.Address, address(Self.Address)));
    if (!Vm.Leaving)
      continue;
    LeavingMarks.insert(Vm.Name.Value);
    LeavingMarks.insert(Vm.Address.Value);
  }
}

bool membership::isMarkedLeaving(const wire::member &Member) const {
  if (LeavingMarks.empty())
    return false;
  return LeavingMarks.contains(Member.Name) ||
         LeavingMarks.contains(Member.Address) ||
         LeavingMarks.contains(hostOf(address(Member.Address)));
}

void membership::announceLeaving() {
  LeavingUnsent = Self.State != wire::member_state::Leaving;
  Self.State = wire::member_state::Leaving;
}

// Notifies a few members immediately; gossip spreads the change further.
void membership::sendLeaving(steady_time Now, effect_list &Effects) {
  LeavingUnsent = false;
  for (size_t Sent = 0; Sent < leaving_fanout; ++Sent)
    probeNext(Near, true, Now, Effects);
}

std::vector<wire::member> membership::aliveIf(wire::member_role::type Role,
                                              const zone_name *Zone) const {
  std::vector<wire::member> Unmarked;
  std::vector<wire::member> All;
  auto Consider = [&](const wire::member &Member) {
    bool TakesWork = Member.State == wire::member_state::Alive ||
                     Member.State == wire::member_state::Suspect;
    if (!TakesWork || Member.Role != Role ||
        (Zone && Member.Zone != Zone->Value))
      return;
    All.push_back(Member);
    if (!isMarkedLeaving(Member))
      Unmarked.push_back(Member);
  };
  Consider(Self);
  for (const auto &[Name, Known] : Members)
    Consider(Known.Member);
  std::vector<wire::member> &Result = Unmarked.empty() ? All : Unmarked;
  std::sort(Result.begin(), Result.end(),
            [](const wire::member &Left, const wire::member &Right) {
              return Left.Name < Right.Name;
            });
  return std::move(Result);
}

std::vector<wire::member> membership::alive(wire::member_role::type Role,
                                            const zone_name &Zone) const {
  return aliveIf(Role, &Zone);
}

std::vector<wire::member>
membership::alive(wire::member_role::type Role) const {
  return aliveIf(Role, nullptr);
}

std::vector<wire::member> membership::livePeers() const {
  std::vector<wire::member> Peers;
  for (const auto &[Name, Known] : Members)
    if (Known.Member.State != wire::member_state::Dead)
      Peers.push_back(Known.Member);
  return Peers;
}

const wire::member *membership::find(const node_name &Name) const {
  if (Name.Value == Self.Name)
    return &Self;
  auto Found = Members.find(Name.Value);
  return Found == Members.end() ? nullptr : &Found->second.Member;
}

bool membership::mayBeRunning(incarnation Incarnation) const {
  if (Incarnation.Value == Self.Incarnation)
    return true;
  return std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
    const wire::member &Member = Entry.second.Member;
    return Member.Incarnation == Incarnation.Value &&
           Member.State != wire::member_state::Dead;
  });
}

size_t membership::countLostSince(wire::member_role::type Role,
                                  steady_time Since) const {
  return static_cast<size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        const known_member &Known = Entry.second;
        bool IsLost = Known.Member.State == wire::member_state::Leaving ||
                      Known.Member.State == wire::member_state::Dead;
        return IsLost && Known.Member.Role == Role && Known.ChangedAt >= Since;
      }));
}

size_t membership::liveCount() const {
  return 1 + static_cast<size_t>(std::count_if(
                 Members.begin(), Members.end(), [](const auto &Entry) {
                   return Entry.second.Member.State != wire::member_state::Dead;
                 }));
}

std::vector<ledger_peer> membership::highestLedgerOffset() const {
  std::vector<const known_member *> Ahead;
  for (const auto &[Name, Known] : Members)
    if (Known.Ledger > Ledger && Known.Member.State != wire::member_state::Dead)
      Ahead.push_back(&Known);
  std::stable_sort(Ahead.begin(), Ahead.end(),
                   [&](const known_member *Left, const known_member *Right) {
                     if (Left->Ledger != Right->Ledger)
                       return Left->Ledger > Right->Ledger;
                     return Left->Member.Zone == Self.Zone &&
                            Right->Member.Zone != Self.Zone;
                   });
  if (Ahead.size() > max_ledger_peers)
    Ahead.resize(max_ledger_peers);
  std::vector<ledger_peer> Peers;
  Peers.reserve(Ahead.size());
  for (const known_member *Known : Ahead)
    Peers.push_back({node_name(Known->Member.Name),
                     address(Known->Member.Address), Known->Ledger});
  return Peers;
}

void membership::setOwnLoads(std::vector<wire::pool_load> Own,
                             steady_time Now) {
  Loads.setOwn(std::move(Own), Now);
}

std::vector<wire::pool_load> membership::receivedLoads(steady_time Now) const {
  return Loads.received(Now);
}

uint64_t membership::draw() {
  ++Draws;
  return XXH3_64bits_withSeed(&Draws, sizeof(Draws), RandomSeed);
}

membership::known_member *membership::findKnown(const std::string &Name) {
  auto Found = Members.find(Name);
  return Found == Members.end() ? nullptr : &Found->second;
}

} // namespace monsoonreel
