// Failure detection and membership of entries and stewards, without a
// coordination service.
//
//   membership Members(Self, wire::member_role::Entry, Settings.Seeds);
//   Members.onTick(Event.Now, Event.Random, Ledger.applied(), Effects);
//   if (Members.onMessage(Received, Event.Now, Effects))
//     return; // it was one of its messages
//   for (const wire::member &M : Members.alive(Role, Self.Zone))
//     use(M);
//
// This is a SWIM protocol. In each period a node sends a heartbeat to one
// member of its zone, and less often to one of another zone, in shuffled
// round-robin order. When a member does not answer, the node sends a heartbeat
// on a new connection and indirect probes through two other members. If these
// fail too, it suspects the member, which may refute that, and finally declares
// it dead. When several members of a zone are suspected, the rest of the zone
// is probed faster. Dead members are still probed occasionally, so that healed
// partitions are detected.
//
// Changes are gossiped in bounded lists with each heartbeat and each answer, so
// the bytes that a node sends per second do not depend on the number of
// members. A new member is sent in full; later changes of it take a few bytes.
// Each message contains a digest of the members that its sender considers live.
// A node that receives a heartbeat with a digest other than its own adds recent
// changes and some randomly chosen members to its answer, so that changes that
// the sender missed reach it later.
//
// Heartbeats also carry the sender's offset in the operator stream and the
// loads of pools. Answers also carry the age of the sender's knowledge of the
// log (see `log_freshness`).

#ifndef MONSOONREEL_MEMBERSHIP_H
#define MONSOONREEL_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/key_trust.h"
#include "monsoonreel/node.h"
#include "monsoonreel/pool_load_table.h"
#include "monsoonreel/probe_schedule.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// Time between two heartbeats to members of the own zone.
constexpr duration heartbeat_period = std::chrono::seconds(1);
// Time between two heartbeats to members of other zones.
constexpr duration far_heartbeat_period = std::chrono::seconds(4);
// Time between two heartbeats to addresses without a live member: those of dead
// members, seeds and the platform's VM list.
constexpr duration reconnect_period = std::chrono::seconds(5);
// When a probe is unanswered for this long, the link is reset and indirect
// probes are requested.
constexpr duration direct_probe_timeout = std::chrono::milliseconds(300);
// When a probe is unanswered for this long, the member is suspected.
constexpr duration probe_timeout = std::chrono::milliseconds(900);
// A suspect that does not refute within this time is declared dead.
constexpr duration suspicion_timeout = std::chrono::seconds(4);
// How long a change is sent to members whose digest differs, even after it
// reached the limit of `disseminationLimit`.
constexpr duration recent_change_time = std::chrono::minutes(2);
// How long a member that died counts towards lost_zone_threshold.
constexpr duration lost_zone_window = std::chrono::seconds(30);
// A node whose digest differs from those that it receives requests the complete
// member list after this delay, counted from its start or from the last list
// with unknown members. Each further delay is twice as long, up to
// longest_list_delay.
constexpr duration first_list_delay = std::chrono::milliseconds(400);
constexpr duration longest_list_delay = std::chrono::minutes(10);
// Time between two answers with the complete member list, so that these don't
// use up the bandwidth of a seed in a large site.
constexpr duration list_answer_period = std::chrono::milliseconds(100);
// Time between two checks for expired suspicions and expired dead members.
constexpr duration expiry_period = std::chrono::milliseconds(100);
// How long a dead member is kept, so that it is probed again.
constexpr duration dead_member_retention = std::chrono::hours(1);
// How long the leaving marks of a VM list stay valid without a newer list.
constexpr duration vm_mark_retention = std::chrono::minutes(1);

constexpr size_t indirect_probe_count = 2;
constexpr size_t max_members = 2048;
constexpr size_t max_gossip_members = 4;
constexpr size_t max_gossip_changes = 48;
constexpr size_t max_gossip_loads = 3;
constexpr size_t max_ledger_peers = 4;
// When this many members of a zone are suspected or died recently, the rest of
// the zone is probed faster.
constexpr size_t lost_zone_threshold = 3;
// Probes per second of each member of such a zone, by all nodes together.
constexpr size_t lost_zone_probes = 2;
constexpr size_t max_relayed_probes = 64;
// Number of members that a leaving node notifies immediately.
constexpr size_t leaving_fanout = 4;
// Number of complete member lists that a starting node requests.
constexpr int wanted_member_lists = 3;
constexpr size_t max_member_name_bytes = 128;

// A peer that has a higher offset of the operator stream.
struct ledger_peer {
  node_name Name;
  address Address;
  log_offset Offset;
};

class membership {
public:
  membership(node_identity Self, wire::member_role::type Role,
             std::vector<address> Seeds);

  // Sends probes and messages that are due. Ledger is this node's applied
  // offset of the operator stream.
  void onTick(steady_time Now, uint64_t Random, log_offset Ledger,
              effect_list &Effects);

  // Returns true when the message was a heartbeat, an answer to one or a probe
  // request.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 effect_list &Effects);

  // The platform's list is only a hint: its addresses are probed, and `alive`
  // skips members on VMs that are marked as leaving. It never makes a member
  // dead.
  void onVmList(const vm_list_read &List, steady_time Now);

  // The members of Role in Zone that accept new work, including this node,
  // sorted by name. Suspected members are included; leaving and dead ones are
  // not. The marks of the VM list are ignored when they would exclude all.
  std::vector<wire::member> alive(wire::member_role::type Role,
                                  const zone_name &Zone) const;
  // The members of Role in all zones, selected and sorted in the same way.
  std::vector<wire::member> alive(wire::member_role::type Role) const;
  // All other members that are not dead.
  std::vector<wire::member> livePeers() const;
  // A member in any state, including this node; nullptr when unknown.
  const wire::member *find(const node_name &Name) const;
  // Whether the process with this incarnation may still be running: it is known
  // and not declared dead.
  bool mayBeRunning(incarnation Incarnation) const;

  // Announces to all members that this node accepts no new work.
  void announceLeaving();

  // Sets the loads of the pools whose queue this node owns. They are sent with
  // the heartbeats.
  void setOwnLoads(std::vector<wire::pool_load> Loads, steady_time Now);
  // The newest load of each pool from each other owner.
  std::vector<wire::pool_load> receivedLoads(steady_time Now) const;

  // Live peers that announced a higher offset of the operator stream than this
  // node's, ordered by falling offset; with equal offsets, peers of the own
  // zone come first. At most max_ledger_peers.
  std::vector<ledger_peer> highestLedgerOffset() const;

  // How recent this node's knowledge of the log is. A node that reads the log
  // itself calls `freshness().onLogRead`.
  log_freshness &freshness() { return Freshness; }
  const log_freshness &freshness() const { return Freshness; }

  const wire::member &self() const { return Self; }
  // The number of other members of Role that died or began to leave at Since or
  // later, as far as this node knows.
  size_t countLostSince(wire::member_role::type Role, steady_time Since) const;
  // The number of members that are not dead, including this node.
  size_t liveCount() const;

private:
  struct known_member {
    wire::member Member;
    steady_time ChangedAt; // when its state last changed
    steady_time UpdatedAt; // when the newest version was received
    int SendCount = 0;     // how often the newest version was sent
    log_offset Ledger;
    bool SendsDigest = false; // its heartbeats contain MembersDigest
    // Its current process has acknowledged a heartbeat of this process, so it
    // can resolve the short form of this node's name.
    bool ResolvesShortForm = false;
  };
  // The members and changes that one message carries.
  struct gossip {
    std::vector<wire::member> Members;
    std::vector<int64_t> Changes; // see member_change.h
  };
  // What a message carries besides the changes that were sent least often.
  enum class extra_gossip {
    None,
    RandomMember, // a random member, as the receiver does not compare digests
    Difference,   // recent changes, as the receiver's digest differs
  };
  struct open_probe {
    node_name Target; // empty: no member is known at the address
    address TargetAddress;
    steady_time SentAt;
    bool Escalated = false; // the link was reset, indirect probes requested
  };
  struct relayed_probe {
    int64_t Nonce = 0; // of the requester
    node_name Requester;
    address RequesterAddress;
    steady_time SentAt;
  };

  void beginProbe(const node_name &Target, const address &TargetAddress,
                  steady_time Now, effect_list &Effects);
  void probeUnconnected(steady_time Now, effect_list &Effects);
  void checkProbes(steady_time Now, effect_list &Effects);
  void escalate(int64_t Nonce, steady_time Now, effect_list &Effects);
  void probeNext(probe_schedule &Schedule, bool InOwnZone, steady_time Now,
                 effect_list &Effects);
  void probeLostZones(steady_time Now, effect_list &Effects);
  void sendLeaving(steady_time Now, effect_list &Effects);
  void expireMembers(steady_time Now, effect_list &Effects);
  void requestMissingMembers(steady_time Now, effect_list &Effects);
  void probeSeed(const address &Seed, steady_time Now, effect_list &Effects);
  void forgetProbesAfterPause(steady_time Now);

  // The sender of a message from From. Returns nothing when the message has the
  // short form of a sender that this node does not know; the sender's retry has
  // the full form.
  template <typename T>
  std::optional<wire::member> senderOf(const T &Message, const node_name &From);
  // Sets the sender of a message to this node, in the short form when To can
  // resolve it.
  template <typename T> void setSender(const node_name &To, T &Message);
  void onHeartbeat(const wire::heartbeat &Beat, const wire::member &Sender,
                   steady_time Now, effect_list &Effects);
  void onAck(const wire::heartbeat_ack &Ack, const wire::member &Sender,
             steady_time Now, effect_list &Effects);
  void onProbeRequest(const wire::probe_request &Request, steady_time Now,
                      effect_list &Effects);
  void relayAck(const wire::member &Reached, const relayed_probe &Relay,
                effect_list &Effects);

  // Merges a received version of a member. SendCount is the initial count of a
  // member that was unknown.
  void mergeMember(const wire::member &Received, int SendCount, steady_time Now,
                   effect_list &Effects);
  void mergeMembers(const wire::member &Sender, log_offset Ledger,
                    const std::vector<wire::member> &Gossip, int SendCount,
                    steady_time Now, effect_list &Effects);
  // Merges changes of known members. Others are ignored.
  void mergeChanges(const std::vector<int64_t> &Changes, steady_time Now,
                    effect_list &Effects);
  void refute(const wire::member &Received);
  void suspect(known_member &Known, steady_time Now, effect_list &Effects);
  void declareDead(known_member &Known, steady_time Now, effect_list &Effects);
  // Evicts the member that died first when the table is full. Returns false
  // when no member can be evicted.
  bool makeRoom();

  void sendHeartbeat(int64_t Nonce, const node_name &To,
                     const address &ToAddress, bool Retry, steady_time Now,
                     effect_list &Effects);
  log_offset ledgerOffset() const;
  // Selects the changes that were sent least often so far, and what Further
  // asks for. Includes To itself when this node does not consider it alive.
  gossip pickGossip(const node_name &To, extra_gossip Further, steady_time Now);
  void addRecentChanges(const node_name &To, steady_time Now, gossip &Picked);
  template <typename T> static void setGossip(gossip Picked, T &Message);
  // Adds a member or its change to Picked. Returns false when Picked is full.
  static bool addToGossip(const wire::member &Member, gossip &Picked);
  // Equal for nodes that have the same live members in the same states.
  int32_t membersDigest() const;
  void addRandomMembers(size_t Count, const node_name &To,
                        std::vector<wire::member> &Picked);
  std::vector<wire::member> allMembers() const;
  size_t disseminationLimit() const;
  uint64_t draw();
  bool isMarkedLeaving(const wire::member &Member) const;
  std::vector<wire::member> aliveIf(wire::member_role::type Role,
                                    const zone_name *Zone) const;
  known_member *findKnown(const std::string &Name);

  wire::member Self;
  std::vector<address> Seeds;
  std::map<std::string, known_member> Members;
  std::map<int64_t, open_probe> Probes;
  std::map<int64_t, relayed_probe> Relays;
  probe_schedule Near;
  probe_schedule Far;
  // Names and addresses of VMs that the list marks as leaving. The addresses
  // may lack a port.
  absl::flat_hash_set<std::string> LeavingMarks;
  // Listener addresses from the list.
  std::vector<address> ListedAddresses;
  steady_time VmListAt;

  steady_time LastTick;
  bool Started = false;
  steady_time NextNear;
  steady_time NextFar;
  steady_time NextLostZones;
  steady_time NextReconnect;
  steady_time NextExpiry;
  steady_time LastFullList;
  uint64_t RandomSeed = 0;
  uint64_t Draws = 0;
  int64_t NextNonce = 1;
  int ListsWanted = wanted_member_lists;
  // Whether the last answer to a heartbeat contained another digest.
  bool DigestDiffers = false;
  steady_time NextList;
  duration ListDelay = first_list_delay;
  bool LeavingUnsent = false;
  log_offset Ledger;
  pool_load_table Loads;
  log_freshness Freshness;
};

} // namespace monsoonreel

#endif // MONSOONREEL_MEMBERSHIP_H
