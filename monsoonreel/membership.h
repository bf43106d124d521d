// Which entries and stewards are alive, without a coordination service.
//
//   membership Members(Self, wire::member_role::Entry, Settings.Seeds);
//   Members.onTick(Event.Now, Event.Random, Ledger.applied(), Effects);
//   if (Members.onMessage(Received, Event.Now, Effects))
//     return; // it was one of its messages
//   for (const wire::member &M : Members.alive(Role, Self.Zone))
//     use(M);
//
// A SWIM protocol. Each period a node sends a heartbeat to one member of its
// zone, and less often to one of another zone, in a shuffled round-robin
// order. Silence is met, in this order, by a heartbeat on a new connection and
// indirect probes through two others, by suspicion, which the suspect may
// refute, and by death. When several members of a zone are suspected, the rest
// of it is probed at once. A dead member is still probed now and then, so that
// a healed partition is found.
//
// Changes spread in bounded lists with each heartbeat and each answer, so the
// bytes a second of a node do not depend on the number of members. A new
// member is told whole, a later change of it in a few bytes. Each message names
// a digest of the members that its sender holds live; whoever finds another
// digest than its own in a heartbeat tells recent changes and some members at
// random in its answer, so a missed change is heard later.
//
// Heartbeats also carry the sender's offset of the operator stream, the age of
// its knowledge of the log (see `log_freshness`), and the loads of pools.

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

// Between two heartbeats to members of the own zone.
constexpr duration heartbeat_period = std::chrono::seconds(1);
// Between two heartbeats to members of other zones.
constexpr duration far_heartbeat_period = std::chrono::seconds(4);
// Between two heartbeats to a dead member, a seed or an address of the
// platform's VM list.
constexpr duration reconnect_period = std::chrono::seconds(5);
// Without an answer for so long, the link is reset and others are asked.
constexpr duration direct_probe_timeout = std::chrono::milliseconds(300);
// Without an answer for so long, the member is suspected.
constexpr duration probe_timeout = std::chrono::milliseconds(900);
// A suspicion that is not refuted for so long becomes death.
constexpr duration suspicion_timeout = std::chrono::seconds(4);
// How long a change is told to members whose digest differs, after it was told
// often enough to everybody.
constexpr duration recent_change_time = std::chrono::minutes(2);
// So long a dead member counts for its zone being lost.
constexpr duration lost_zone_memory = std::chrono::seconds(30);
// A node whose digest differs from what it hears asks for the whole list after
// this time from its start or from a list with members that it did not know,
// and then each time after twice as long.
constexpr duration first_list_delay = std::chrono::milliseconds(400);
constexpr duration longest_list_delay = std::chrono::minutes(10);
// Between two answers with the whole list, so that a seed of a large site has
// room on its link for other work.
constexpr duration list_answer_period = std::chrono::milliseconds(100);
// Between two looks for suspicions that ended and members to forget.
constexpr duration expiry_period = std::chrono::milliseconds(100);
// How long a dead member is remembered, so that it is probed again.
constexpr duration dead_member_retention = std::chrono::hours(1);
// How long a mark of the platform's VM list counts without a newer list.
constexpr duration vm_mark_retention = std::chrono::minutes(1);

constexpr size_t indirect_probe_count = 2;
constexpr size_t max_members = 2048;
constexpr size_t max_gossip_members = 4;
constexpr size_t max_gossip_changes = 48;
constexpr size_t max_gossip_loads = 3;
constexpr size_t max_ledger_peers = 4;
// With so many members suspected or dead, the rest of their zone is probed.
constexpr size_t lost_zone_threshold = 3;
// Probes in a second, of all nodes together, of each member of such a zone.
constexpr size_t lost_zone_probes = 2;
constexpr size_t max_relayed_probes = 64;
// Members that a node tells at once that it is leaving.
constexpr size_t leaving_fanout = 4;
// Answers with all members that a starting node asks for.
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

  // Sends what is due. Ledger is the applied offset of the operator stream.
  void onTick(steady_time Now, uint64_t Random, log_offset Ledger,
              effect_list &Effects);

  // True when the message was a heartbeat, an answer to one or a probe
  // request.
  bool onMessage(const peer_message_received &Received, steady_time Now,
                 effect_list &Effects);

  // The platform's list is a hint: its addresses are probed, and members on
  // VMs that it calls leaving are passed over by `alive`. It never declares a
  // member dead.
  void onVmList(const vm_list_read &List, steady_time Now);

  // The members of Role in Zone that new work may go to, sorted by name, this
  // node included. Suspects are among them; leaving and dead members are not.
  // Marks of the VM list are ignored when they would leave nobody.
  std::vector<wire::member> alive(wire::member_role::type Role,
                                  const zone_name &Zone) const;
  // The same over all zones.
  std::vector<wire::member> alive(wire::member_role::type Role) const;
  // All other members that are not dead.
  std::vector<wire::member> livePeers() const;
  // A member in any state, this node included; nullptr when unknown.
  const wire::member *find(const node_name &Name) const;
  // Whether the process of this incarnation may still run: it is known and was
  // not declared dead.
  bool mayRun(incarnation Incarnation) const;

  // This node takes no new work from now on. Spread to all members.
  void announceLeaving();

  // Loads of pools whose queue this node owns, spread with the heartbeats.
  void setOwnLoads(std::vector<wire::pool_load> Loads, steady_time Now);
  // The newest load of each pool by each owner, own ones excluded.
  std::vector<wire::pool_load> heardLoads(steady_time Now) const;

  // Live peers that told a higher offset of the operator stream than this
  // node's: the highest first, then those of the own zone. At most
  // max_ledger_peers.
  std::vector<ledger_peer> highestLedgerOffset() const;

  // How recent this node's knowledge of the log is. A node that reads the log
  // itself calls `freshness().onLogRead`.
  log_freshness &freshness() { return Freshness; }
  const log_freshness &freshness() const { return Freshness; }

  const wire::member &self() const { return Self; }
  // Members in any state but dead, this node included.
  size_t liveCount() const;

private:
  struct known_member {
    wire::member Member;
    steady_time ChangedAt; // of its state
    steady_time NewsAt;    // the newest version was heard
    int Spread = 0;        // how often the newest version was sent
    log_offset Ledger;
    bool TellsDigest = false; // it compares MembersDigest
    // Its present process has acknowledged a heartbeat of this one.
    bool KnowsSelf = false;
  };
  // What one message tells of members.
  struct gossip {
    std::vector<wire::member> Members;
    std::vector<int64_t> Changes; // see member_change.h
  };
  // What a message tells beside the changes that few have heard.
  enum class further_gossip {
    None,
    AnyMember,  // the receiver compares no digests
    Difference, // the receiver's digest differs
  };
  struct open_probe {
    node_name Target; // empty: an address that no member is known at
    address TargetAddress;
    steady_time SentAt;
    bool Escalated = false; // the link was reset and others were asked
  };
  struct relayed_probe {
    int64_t Nonce = 0; // of the member that asked
    node_name Asker;
    address AskerAddress;
    steady_time SentAt;
  };

  void beginProbe(const node_name &Target, const address &TargetAddress,
                  steady_time Now, effect_list &Effects);
  void probeUnknown(steady_time Now, effect_list &Effects);
  void checkProbes(steady_time Now, effect_list &Effects);
  void escalate(int64_t Nonce, steady_time Now, effect_list &Effects);
  void probeNext(probe_schedule &Schedule, bool InOwnZone, steady_time Now,
                 effect_list &Effects);
  void probeLostZones(steady_time Now, effect_list &Effects);
  void tellLeaving(steady_time Now, effect_list &Effects);
  void expireMembers(steady_time Now, effect_list &Effects);
  void askForMissedMembers(steady_time Now, effect_list &Effects);
  void probeSeed(const address &Seed, steady_time Now, effect_list &Effects);
  void forgetProbesAfterPause(steady_time Now);

  // The sender of a message from From. Nothing when it is named by a short
  // form that this node can't complete; the sender's retry names it whole.
  template <typename T>
  std::optional<wire::member> senderOf(const T &Message, const node_name &From);
  // Names this node in a message: by the short form when To can complete it.
  template <typename T> void nameSelf(const node_name &To, T &Message);
  void onHeartbeat(const wire::heartbeat &Beat, const wire::member &Sender,
                   steady_time Now, effect_list &Effects);
  void onAck(const wire::heartbeat_ack &Ack, const wire::member &Sender,
             steady_time Now, effect_list &Effects);
  void onProbeRequest(const wire::probe_request &Request, steady_time Now,
                      effect_list &Effects);
  void relayAck(const wire::member &Reached, const relayed_probe &Relay,
                effect_list &Effects);

  // Merges what a message told about a member. One that was unknown counts as
  // told to others Spread times.
  void learn(const wire::member &Heard, int Spread, steady_time Now,
             effect_list &Effects);
  void learnAll(const wire::member &Sender, log_offset Ledger,
                const std::vector<wire::member> &Gossip, int Spread,
                steady_time Now, effect_list &Effects);
  // Merges changes of members that are known.
  void learnChanges(const std::vector<int64_t> &Changes, steady_time Now,
                    effect_list &Effects);
  void refute(const wire::member &Heard);
  void suspect(known_member &Known, steady_time Now, effect_list &Effects);
  void declareDead(known_member &Known, steady_time Now, effect_list &Effects);
  bool makeRoom();

  void sendHeartbeat(int64_t Nonce, const node_name &To,
                     const address &ToAddress, bool Retry, steady_time Now,
                     effect_list &Effects);
  log_offset ledgerOffset() const;
  // The changes that were told least often so far, and Further. To hears of
  // itself unless it is held alive.
  gossip pickGossip(const node_name &To, further_gossip Further,
                    steady_time Now);
  void addRecentChanges(const node_name &To, steady_time Now, gossip &Picked);
  template <typename T> static void setGossip(gossip Picked, T &Message);
  // Adds what is told of a member, if there is room for it in Picked.
  static bool tell(const wire::member &Member, gossip &Picked);
  // Equal for nodes that hold the same members live, in the same states.
  int32_t membersDigest() const;
  void addAnyMembers(size_t Count, const node_name &To,
                     std::vector<wire::member> &Picked);
  std::vector<wire::member> allMembers() const;
  size_t spreadLimit() const;
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
  // Names, addresses and hosts of VMs that the list calls leaving.
  absl::flat_hash_set<std::string> LeavingMarks;
  // Listener addresses in the list.
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
  // The last answer to a heartbeat named another digest.
  bool DigestDiffers = false;
  steady_time NextList;
  duration ListDelay = first_list_delay;
  bool LeavingUntold = false;
  log_offset Ledger;
  pool_load_table Loads;
  log_freshness Freshness;
};

} // namespace monsoonreel

#endif // MONSOONREEL_MEMBERSHIP_H
