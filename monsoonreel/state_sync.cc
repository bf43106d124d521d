#include "monsoonreel/state_sync.h"

#include <algorithm>
#include <random>
#include <utility>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

size_t sizeOf(const wire::stored_record &Stored) {
  return sizeof(Stored) + Stored.Bytes.size();
}

// The sender and its listening address, which may differ from the source
// address of the connection.
ledger_peer peerOf(const peer_message_received &Received,
                   const std::vector<wire::member> &Peers) {
  auto Known =
      std::find_if(Peers.begin(), Peers.end(), [&](const wire::member &Peer) {
        return Peer.Name == Received.From.Value;
      });
  if (Known == Peers.end())
    return {Received.From, Received.FromAddress, log_offset()};
  return {Received.From, address(Known->Address), log_offset()};
}

} // namespace

state_sync::state_sync(node_identity Identity, std::string Stream)
    : Self(std::move(Identity)), Stream(std::move(Stream)) {}

void state_sync::onLogRecords(const std::vector<wire::stored_record> &Read,
                              const std::vector<wire::member> &Peers,
                              uint64_t Random, effect_list &Effects) {
  log_offset Before = Highest;
  for (const wire::stored_record &Stored : Read)
    keepRecord(Stored);
  if (Highest > Before)
    pushEagerly(Before, Peers, node_name(), Random, Effects);
}

void state_sync::keepSnapshot(log_offset Covers, const std::string &State) {
  if (State.size() > max_snapshot_bytes ||
      (Snapshot && Snapshot->Offset >= Covers.Value))
    return;
  wire::log_record Record;
  Record.Snapshot.CoversOffset = Covers.Value;
  Record.Snapshot.State = State;
  Record.__isset.Snapshot = true;
  wire::stored_record Stored;
  Stored.Offset = Covers.Value;
  Stored.Bytes = encodeRecord(Record);
  storeSnapshot(std::move(Stored));
}

void state_sync::storeSnapshot(wire::stored_record Stored) {
  if (Snapshot)
    Bytes -= sizeOf(*Snapshot);
  Bytes += sizeOf(Stored);
  log_offset Covers{Stored.Offset};
  Snapshot = std::move(Stored);
  if (Covers > Highest) {
    Highest = Covers;
    clearRecords();
  }
  dropOld();
}

void state_sync::keepRecord(const wire::stored_record &Stored) {
  if (Stored.Offset <= Highest.Value)
    return;
  // Records before a gap are useless, because a replay can't continue past the
  // gap.
  if (Stored.Offset != Highest.Value + 1)
    clearRecords();
  Highest = log_offset{Stored.Offset};
  Bytes += sizeOf(Stored);
  Records.push_back(Stored);
  dropOld();
}

void state_sync::clearRecords() {
  for (const wire::stored_record &Stored : Records)
    Bytes -= sizeOf(Stored);
  Records.clear();
}

void state_sync::restart(log_offset Applied) {
  Snapshot.reset();
  Records.clear();
  Bytes = 0;
  Pull.reset();
  Highest = Applied;
}

// Drops the records that the snapshot covers, and the oldest records while the
// total exceeds max_sync_bytes.
void state_sync::dropOld() {
  int64_t Covers = Snapshot ? Snapshot->Offset : 0;
  while (!Records.empty() &&
         (Records.front().Offset <= Covers || Bytes > max_sync_bytes)) {
    Bytes -= sizeOf(Records.front());
    Records.pop_front();
  }
}

bool state_sync::onMessage(const peer_message_received &Received,
                           steady_time Now,
                           const std::vector<wire::member> &Peers,
                           uint64_t Random, stream_delivery &Delivery,
                           effect_list &Effects) {
  ledger_peer Peer = peerOf(Received, Peers);
  if (const auto *Asked = std::get_if<wire::state_pull>(&Received.Message)) {
    if (Asked->Stream != Stream)
      return false;
    answerPull(Peer, *Asked, Effects);
    return true;
  }
  if (const auto *Push = std::get_if<wire::state_push>(&Received.Message)) {
    if (Push->Stream != Stream)
      return false;
    log_offset Before = Highest;
    bool Asked = Pull && Pull->From == Received.From;
    takePush(*Push, Delivery, Effects);
    if (Asked)
      Pull.reset();
    bool CatchUp = Asked && (Push->__isset.Snapshot ||
                             Push->Records.size() > max_forwarded_records);
    if (Highest > Before && !CatchUp)
      pushEagerly(Before, Peers, Received.From, Random, Effects);
    if (Push->HighestOffset > Highest.Value && !Pull)
      pull(Peer.Name, Peer.Address, Now, Effects);
    return true;
  }
  return false;
}

void state_sync::answerPull(const ledger_peer &To,
                            const wire::state_pull &Asked,
                            effect_list &Effects) const {
  wire::state_push Push;
  Push.Stream = Stream;
  Push.HighestOffset = Highest.Value;
  int64_t From = Asked.FromOffset;
  bool Kept = !Records.empty() && Records.front().Offset <= From;
  if (!Kept && Snapshot && Snapshot->Offset >= From) {
    Push.__set_Snapshot(*Snapshot);
    From = Snapshot->Offset + 1;
  }
  size_t Size = Push.__isset.Snapshot ? sizeOf(Push.Snapshot) : 0;
  for (const wire::stored_record &Stored : Records) {
    if (Stored.Offset < From)
      continue;
    // A record over the limit is sent in a push of its own.
    if (Size > 0 && Size + sizeOf(Stored) > max_push_bytes)
      break;
    Size += sizeOf(Stored);
    Push.Records.push_back(Stored);
  }
  Effects.push_back(send_message{To.Name, To.Address, std::move(Push)});
}

void state_sync::takePush(const wire::state_push &Push,
                          stream_delivery &Delivery, effect_list &Effects) {
  if (Push.__isset.Snapshot)
    takeSnapshot(Push.Snapshot, Delivery);
  for (const wire::stored_record &Stored : Push.Records) {
    bool Next = Stored.Offset == Highest.Value + 1;
    if (!Next && isEnabled(mechanism::OffsetOnlyGrows))
      continue;
    if (!invariantHolds(Effects, Stored.Offset > Highest.Value,
                        "offset-only-grows", "record of a peer"))
      continue;
    keepRecord(Stored);
    Delivery.Records.push_back(Stored);
  }
}

void state_sync::takeSnapshot(const wire::stored_record &Stored,
                              stream_delivery &Delivery) {
  auto Record = decodeRecord(Stored.Bytes);
  bool Usable = Record && Record->__isset.Snapshot &&
                Record->Snapshot.CoversOffset == Stored.Offset &&
                Stored.Bytes.size() <= max_frame_bytes;
  bool Newer = Stored.Offset > Highest.Value;
  if (!Usable || !Newer)
    return;
  Delivery.Snapshot = std::move(Record->Snapshot);
  Delivery.Records.clear();
  storeSnapshot(Stored);
}

void state_sync::onTick(steady_time Now, const std::vector<ledger_peer> &Ahead,
                        effect_list &Effects) {
  if (Pull && Now - Pull->SentAt >= pull_timeout) {
    UnresponsivePeer = Pull->From;
    Pull.reset();
  }
  if (Pull)
    return;
  const ledger_peer *Chosen = nullptr;
  for (const ledger_peer &Peer : Ahead) {
    if (Peer.Offset <= Highest)
      continue;
    if (!Chosen || Chosen->Name == UnresponsivePeer)
      Chosen = &Peer;
  }
  if (Chosen)
    pull(Chosen->Name, Chosen->Address, Now, Effects);
}

void state_sync::pull(const node_name &From, const address &FromAddress,
                      steady_time Now, effect_list &Effects) {
  Pull = open_pull{From, Now};
  wire::state_pull Message;
  Message.Stream = Stream;
  Message.FromOffset = Highest.Value + 1;
  Effects.push_back(send_message{From, FromAddress, std::move(Message)});
}

void state_sync::pushEagerly(log_offset After,
                             const std::vector<wire::member> &Peers,
                             const node_name &Except, uint64_t Random,
                             effect_list &Effects) const {
  if (!isEnabled(mechanism::EagerPush))
    return;
  wire::state_push Push;
  Push.Stream = Stream;
  Push.HighestOffset = Highest.Value;
  size_t Size = 0;
  for (const wire::stored_record &Stored : Records) {
    if (Stored.Offset <= After.Value)
      continue;
    Size += Stored.Bytes.size();
    if (Size > max_eager_bytes) {
      Push.Records.clear();
      break;
    }
    Push.Records.push_back(Stored);
  }
  std::vector<wire::member> Targets;
  for (const wire::member &Peer : Peers)
    if (Peer.Name != Self.Name.Value && Peer.Name != Except.Value)
      Targets.push_back(Peer);
  std::shuffle(Targets.begin(), Targets.end(), std::mt19937_64(Random));
  if (Targets.size() > eager_fanout)
    Targets.resize(eager_fanout);
  for (const wire::member &Target : Targets)
    Effects.push_back(
        send_message{node_name(Target.Name), address(Target.Address), Push});
}

} // namespace monsoonreel
