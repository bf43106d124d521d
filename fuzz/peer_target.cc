#include "fuzz/peer_target.h"

#include <memory>
#include <utility>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::fuzz {

namespace {

constexpr int length_bytes = 2;
constexpr duration time_between_frames = std::chrono::milliseconds(300);
const node_name peer_name("peer-1");
const address peer_address("10.0.1.2:7100");

const char document[] = R"(
classes:
  - {name: chat, tier: 0, first_token: 350ms, between_tokens: 61ms}
  - {name: order, tier: 1, first_token: 1s}
organisations:
  - {name: baths}
upstreams:
  - {name: m1, pool: planner, zone: north, address: "10.0.0.1:80"}
  - {name: s1, kind: service, pool: desk, zone: north, address: "10.0.0.3:80"}
routes:
  - {path: /v1/chat/completions, class: chat, idempotent: true, open: true}
  - {path: /orders, pool: desk, class: order, open: true}
)";

template <size_t... Index>
std::vector<std::string> emptyMessages(std::index_sequence<Index...>) {
  return {encodeMessage(
      std::variant_alternative_t<Index, wire::peer_message>())...};
}

wire::member member(const std::string &Name, const address &At,
                    wire::member_role::type Role) {
  wire::member Member;
  Member.Name = Name;
  Member.Role = Role;
  Member.Zone = "north";
  Member.Address = At.Value;
  Member.Incarnation = 5;
  Member.State = wire::member_state::Alive;
  return Member;
}

wire::heartbeat heartbeat() {
  wire::heartbeat Heartbeat;
  Heartbeat.Nonce = 3;
  Heartbeat.__set_Sender(
      member(peer_name.Value, peer_address, wire::member_role::Entry));
  Heartbeat.Gossip = {member("steward-1", address("10.0.1.2:7101"),
                             wire::member_role::Steward)};
  Heartbeat.LedgerOffset = 1;
  return Heartbeat;
}

wire::state_push configurationPush() {
  wire::config_edit Edit;
  Edit.Document = document;
  wire::log_record Record;
  Record.Incarnation = 9;
  Record.Sequence = 1;
  Record.__set_ConfigEdit(Edit);
  wire::stored_record Stored;
  Stored.Offset = 1;
  Stored.Bytes = encodeRecord(Record);
  wire::state_push Push;
  Push.Stream = "operator";
  Push.Records = {Stored};
  Push.HighestOffset = 1;
  return Push;
}

wire::slot_ask slotAsk() {
  wire::slot_ask Ask;
  Ask.Ask = 1;
  Ask.Pool = "planner";
  Ask.ServiceClass = "chat";
  Ask.Organisation = "baths";
  Ask.TimeLeftMicros = 350'000;
  Ask.GiveUpMicros = 10'000'000;
  Ask.Idempotent = true;
  Ask.Incarnation = 5;
  return Ask;
}

wire::claim_ask claimAsk() {
  wire::claim_ask Ask;
  Ask.Key.Organisation = "baths";
  Ask.Key.KeyHash = std::string(16, 'k');
  Ask.Attempt.Incarnation = 5;
  Ask.Attempt.Sequence = 1;
  return Ask;
}

wire::usage_offer usageOffer() {
  wire::usage_increment Increment;
  Increment.Organisation = "baths";
  Increment.ServiceClass = "chat";
  Increment.Requests = 1;
  wire::usage_offer Offer;
  Offer.Batch.Incarnation = 5;
  Offer.Batch.Sequence = 1;
  Offer.Batch.Increments = {Increment};
  return Offer;
}

std::string frame(const std::string &Message) {
  std::string Frame;
  Frame.push_back(static_cast<char>(Message.size() >> 8U));
  Frame.push_back(static_cast<char>(Message.size() & 0xffU));
  return Frame + Message;
}

// Takes the next frame off Input.
std::string takeFrame(std::string &Input) {
  if (Input.size() < length_bytes) {
    Input.clear();
    return "";
  }
  size_t Length = static_cast<unsigned char>(Input[0]) * size_t{256} +
                  static_cast<unsigned char>(Input[1]);
  std::string Message = Input.substr(length_bytes, Length);
  Input.erase(0, length_bytes + Length);
  return Message;
}

// A node under a clock that goes on with each event.
class driven_node {
public:
  explicit driven_node(std::unique_ptr<node> Driven) : Node(std::move(Driven)) {
    handle(peer_message_received{peer_name, peer_address, configurationPush()});
    handle(tick{});
    for (int64_t Request = 1; Request <= 3; ++Request) {
      request_arrived Arrived;
      Arrived.Request = request_id{Request};
      Arrived.Path = Request == 1 ? "/orders" : "/v1/chat/completions";
      Arrived.Model = "planner";
      Arrived.Timeout = std::chrono::seconds(20);
      handle(std::move(Arrived));
    }
  }

  void handle(event_body Body) {
    Now += time_between_frames;
    effect_list Effects;
    Node->handle(
        {Now, wall_time(Now.time_since_epoch()), ++Random, std::move(Body)},
        Effects);
  }

private:
  std::unique_ptr<node> Node;
  steady_time Now{std::chrono::hours(1)};
  uint64_t Random = 0;
};

// Returns whether every frame held a message.
bool sendTo(driven_node Node, std::string Input) {
  bool AllTaken = true;
  while (!Input.empty()) {
    auto Message = decodeMessage(takeFrame(Input));
    AllTaken &= Message.has_value();
    if (Message)
      Node.handle(
          peer_message_received{peer_name, peer_address, std::move(*Message)});
    Node.handle(tick{});
  }
  return AllTaken;
}

node_identity self() {
  return {node_name("node-1"), zone_name("north"), address("10.0.1.1:7100"),
          incarnation{1}};
}

} // namespace

std::vector<std::string> messageSamples() {
  std::vector<std::string> Samples = emptyMessages(
      std::make_index_sequence<std::variant_size_v<wire::peer_message>>());
  for (const wire::peer_message &Filled :
       std::vector<wire::peer_message>{heartbeat(), configurationPush(),
                                       slotAsk(), claimAsk(), usageOffer()})
    Samples.push_back(encodeMessage(Filled));
  return Samples;
}

std::vector<std::string> peerSamples() {
  std::vector<std::string> Rows;
  std::string All;
  for (const std::string &Message : messageSamples()) {
    Rows.push_back(frame(Message));
    All += Rows.back();
  }
  Rows.push_back(All);
  return Rows;
}

bool sendToEntry(const std::string &Input) {
  return sendTo(driven_node(entry_node_builder(self()).build()), Input);
}

bool sendToSteward(const std::string &Input) {
  return sendTo(driven_node(steward_node_builder(self()).build()), Input);
}

} // namespace monsoonreel::fuzz
