// What callers and operators do.

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "fault_matrix/world.h"
#include "monsoonreel/document_difference.h"

namespace monsoonreel::fault_matrix {

namespace {

constexpr duration request_period = std::chrono::milliseconds(180);
constexpr duration longest_repeat_delay = std::chrono::seconds(4);
// More than all upstreams serve at once, so that queues form.
constexpr int burst_requests = 300;
// Streams that go on long after a withdrawal has to be in force.
constexpr int long_streams = 6;
constexpr int long_stream_tokens = 400;
constexpr duration stream_timeout = std::chrono::seconds(60);
// Enough to fill every engine.
constexpr int batch_requests = 60;
constexpr int batch_tokens = 80;
constexpr int urgent_requests = 20;
constexpr int urgent_tokens = 20;
constexpr int64_t operator_incarnation = 42;
constexpr size_t key_hash_bytes = 32;

struct traffic_kind {
  const char *Path;
  const char *Class;
  bool Idempotent;
  bool Keyed;
  int Tokens;
};

constexpr std::array<traffic_kind, 5> Kinds = {{
    {"/v1/chat/completions", "draft", true, false, 30},
    {"/v1/chat/completions", "quick", true, false, 8},
    {"/orders", "booking", false, true, 1},
    {"/orders", "booking", false, false, 1},
    {"/quotes", "booking", true, false, 1},
}};

key_hash hashOf(const std::string &KeyId) {
  std::string Hash = KeyId;
  Hash.resize(key_hash_bytes, '.');
  return key_hash(std::move(Hash));
}

} // namespace

address world::upstreamAddress(const std::string &Name) const {
  auto Place = Upstreams.find(Name);
  auto Number = std::distance(Upstreams.begin(), Place);
  return address("10.200.0." + std::to_string(Number + 1) + ":8000");
}

std::string world::document() const {
  std::string Text = R"(
classes:
  - {name: draft, tier: 0, first_token: 800ms, between_tokens: 100ms, minimum_share: 0.1}
  - {name: quick, tier: 2, first_token: 2s, between_tokens: 200ms, minimum_share: 0.1, cheap_allowed: true}
  - {name: booking, tier: 1, first_token: 3s}
  - {name: batch, tier: 3, first_token: 20s, between_tokens: 200ms, cheap_allowed: true}
organisations:
  - {name: large, weight: 2}
  - {name: small}
routes:
  - {path: /v1/chat/completions, class: quick, idempotent: true}
  - {path: /orders, pool: desk, class: booking}
  - {path: /quotes, pool: desk, class: booking, idempotent: true}
limits: {usage_window: 10s, claim_window: 1h, stale_key_trust_non_idempotent: )";
  Text += std::to_string(key_trust / std::chrono::seconds(1));
  Text += "s, max_queue_wait: ";
  Text += std::to_string(20 + DocumentVersion) + "s}\nupstreams:\n";
  for (const auto &[Name, Upstream] : Upstreams) {
    bool Service = Name.starts_with("service");
    Text += "  - {name: " + Name;
    Text += Service ? ", kind: service, pool: desk" : ", pool: model";
    Text += ", zone: zone-" + std::to_string(ZoneOfUpstream.at(Name));
    Text += ", address: \"" + upstreamAddress(Name).Value + "\"";
    Text += Upstream.Cheap ? ", cheap: true}\n" : "}\n";
  }
  return Text;
}

// ---------------------------------------------------------------- operators

// The command line sends an append again, with the same sequence, until it has
// read it back.
log_offset world::operate(wire::log_record Record) {
  process &Near = Processes.begin()->second;
  fault_effect Call =
      strike({stepOf("append", Record), &Near, nullptr, duration::zero()});
  fault_effect Answer = strike(
      {stepOf("append-answer", Record), nullptr, &Near, duration::zero()});
  Record.Incarnation = operator_incarnation;
  Record.Sequence = ++OperatorSequence;
  log_offset Offset = Platform.append("operator", Record);
  // Of two edits of one version, the first in the log is in force.
  if (Record.__isset.ConfigEdit && Record.ConfigEdit.Base == ConfigBase)
    ConfigBase = Offset.Value;
  if (Call.Doubled || Call.AnswerLost || Answer.Lost || Answer.Doubled)
    Platform.append("operator", Record);
  checkInForce(Offset);
  return Offset;
}

void world::editConfiguration(const std::string &Author, int64_t Base) {
  ++DocumentVersion;
  std::string Document = document();
  wire::log_record Record;
  Record.__set_ConfigEdit(
      makeEdit(log_offset{Base}, Documents[Base], Document, Author));
  log_offset Offset = operate(Record);
  if (ConfigBase == Offset.Value)
    Documents[ConfigBase] = std::move(Document);
}

// Both name the same version; the log's order decides, and the other is void.
void world::raceOperators() {
  int64_t Base = ConfigBase;
  editConfiguration("first", Base);
  editConfiguration("second", Base);
}

void world::giveKey(const std::string &Id, const std::string &Organisation) {
  wire::key_give Give;
  Give.KeyId = Id;
  Give.Organisation = Organisation;
  Give.KeyHash = hashOf(Id).Value;
  wire::log_record Record;
  Record.__set_KeyGive(Give);
  operate(Record);
}

void world::withdrawKey(const std::string &Id) {
  wire::key_withdraw Withdraw;
  Withdraw.KeyId = Id;
  wire::log_record Record;
  Record.__set_KeyWithdraw(Withdraw);
  operate(Record);
  Withdrawn[Id] = Time.now();
}

void world::checkInForce(log_offset Offset) {
  Time.after(in_force_bound, [this, Offset] {
    for (auto &[Name, Process] : Processes)
      checkInForceAt(Process, Offset);
  });
}

void world::checkInForceAt(const process &Process, log_offset Offset) {
  if (Disturbed || !Process.Up)
    return;
  auto Status = nlohmann::json::parse(Process.Node->statusJson());
  if (Status["ledger_offset"] >= Offset.Value)
    return;
  // A node that has just started has to have it in the same time, and takes no
  // requests before.
  duration Remaining = Process.StartedAt + in_force_bound - Time.now();
  bool Serves = Process.IsEntry && Status["ready"] == true;
  if (Remaining > duration::zero() && !Serves) {
    Time.after(Remaining,
               [this, &Process, Offset] { checkInForceAt(Process, Offset); });
    return;
  }
  Findings.push_back(Process.Identity.Name.Value + " lacks offset " +
                     std::to_string(Offset.Value) + " after 9 s");
}

void world::scheduleOperators() {
  Time.after(std::chrono::milliseconds(500), [this] {
    editConfiguration("first", ConfigBase);
    giveKey("key-large", "large");
    giveKey("key-small", "small");
    giveKey("key-spare", "small");
  });
  auto At = [this](int Seconds, virtual_time::action Action) {
    Time.after(start_time + std::chrono::seconds(Seconds), std::move(Action));
  };
  At(3, [this] { editConfiguration("second", ConfigBase); });
  At(7, [this] {
    sendStreams("draft", "key-spare", long_stream_tokens, long_streams);
  });
  At(8, [this] { withdrawKey("key-spare"); });
  At(12, [this] { giveKey("key-late", "small"); });
  At(16, [this] { reclaimZone(0); });
  At(20, [this] {
    for (int Number = 0; Number < burst_requests; ++Number)
      sendRequest(makeRequest());
  });
  At(24, [this] { editConfiguration("third", ConfigBase); });
  // Some of these run at the entry that is drained.
  At(29, [this] {
    sendStreams("draft", "key-large", long_stream_tokens, long_streams);
  });
  At(30, [this] { drain(Processes.at("entry-1-1")); });
  // The drained entry's streams may outlast the run. A steward has none, so its
  // peers always find it silent.
  At(33, [this] { drain(Processes.at("steward-1-1")); });
  // Work of the lowest tier fills the engines, and then a higher tier comes.
  // The drained entry is back by then: an owner preempts by message only those
  // slots that are held by other entries.
  At(38, [this] {
    sendStreams("batch", "key-large", batch_tokens, batch_requests);
  });
  At(39, [this] {
    sendStreams("draft", "key-large", urgent_tokens, urgent_requests);
  });
}

// ------------------------------------------------------------------ callers

void world::scheduleTraffic() {
  scheduleOperators();
  Time.after(start_time - std::chrono::seconds(1), [this] { sendRequests(); });
}

void world::sendRequests() {
  if (Time.now() > start_time + Options.Length)
    return;
  sendRequest(makeRequest());
  Time.after(request_period / 2 + jitter(request_period),
             [this] { sendRequests(); });
}

caller_request world::makeRequest() {
  const traffic_kind &Kind = Kinds[draw() % Kinds.size()];
  caller_request Request;
  Request.BodyHash = draw();
  Request.Tokens = Kind.Tokens;
  Request.Idempotent = Kind.Idempotent;
  Request.Path = Kind.Path;
  Request.Class = Kind.Class;
  constexpr std::array<const char *, 3> Keys = {"key-large", "key-small",
                                                "key-spare"};
  Request.KeyId = Keys[draw() % Keys.size()];
  if (Kind.Keyed)
    Request.IdempotencyKey = "booking-" + std::to_string(Request.BodyHash);
  return Request;
}

void world::sendStreams(const char *Class, const char *KeyId, int Tokens,
                        int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    caller_request Request = makeRequest();
    Request.Idempotent = true;
    Request.IdempotencyKey.clear();
    Request.Path = "/v1/chat/completions";
    Request.Class = Class;
    Request.KeyId = KeyId;
    Request.Tokens = Tokens;
    Request.Timeout = stream_timeout;
    sendRequest(Request);
  }
}

world::process *world::pickEntry() {
  std::vector<process *> Entries;
  for (auto &[Name, Process] : Processes)
    if (Process.IsEntry && Process.Up && Time.now() >= Process.FrozenUntil)
      Entries.push_back(&Process);
  return Entries.empty() ? nullptr : Entries[draw() % Entries.size()];
}

void world::sendRequest(caller_request Request) {
  process *Entry = pickEntry();
  if (!Entry)
    return;
  Request.Entry = Entry->Identity.Name.Value;
  Request.SentAt = Time.now();
  Request.Received.clear();
  size_t Number = Callers.add(Request);
  request_arrived Arrived;
  Arrived.Request.Value = ++Entry->LastRequest;
  Arrived.Method = "POST";
  Arrived.Path = Request.Path;
  bool IsModel = Request.Path.starts_with("/v1");
  Arrived.Model = IsModel ? "model" : "";
  Arrived.Stream = IsModel;
  Arrived.Key = hashOf(Request.KeyId);
  Arrived.Class = class_name(Request.Class);
  if (!Request.IdempotencyKey.empty())
    Arrived.IdempotencyKey = Request.IdempotencyKey;
  Arrived.Timeout = Request.Timeout;
  Arrived.BodyHash = Request.BodyHash;
  Arrived.PromptTokens = 100;
  Arrived.MaxTokens = Request.Tokens;
  Entry->CallerOf[Arrived.Request] = Number;
  strike({"caller/request", nullptr, Entry, duration::zero()});
  deliver(*Entry, Arrived);
  // Some callers repeat a keyed request, at any entry.
  if (!Request.IdempotencyKey.empty() && draw() % 2 == 0)
    Time.after(jitter(longest_repeat_delay),
               [this, Request] { sendRequest(Request); });
  // And some leave.
  if (draw() % 16 == 0) {
    int Life = Entry->Life;
    Time.after(jitter(std::chrono::seconds(1)), [=, this] {
      if (Entry->Life != Life || !Entry->CallerOf.contains(Arrived.Request))
        return;
      ++CallersGone;
      Callers.at(Number).Disconnected = true;
      deliver(*Entry, caller_disconnected{Arrived.Request});
    });
  }
}

} // namespace monsoonreel::fault_matrix
