#include "fault_matrix/steps.h"

#include <array>
#include <type_traits>
#include <utility>
#include <variant>

namespace monsoonreel::fault_matrix {

namespace {

struct record_kind {
  const char *Name;
  bool (*IsSet)(const wire::log_record &);
};

#define MONSOONREEL_RECORD(Field, Name)                                        \
  record_kind {                                                                \
    Name, [](const wire::log_record &R) { return R.__isset.Field; }            \
  }

constexpr std::array<record_kind, 11> RecordKinds = {
    MONSOONREEL_RECORD(ConfigEdit, "config_edit"),
    MONSOONREEL_RECORD(KeyGive, "key_give"),
    MONSOONREEL_RECORD(KeyWithdraw, "key_withdraw"),
    MONSOONREEL_RECORD(LeaseClaim, "lease_claim"),
    MONSOONREEL_RECORD(UsageAppend, "usage_append"),
    MONSOONREEL_RECORD(UsageClose, "usage_close"),
    MONSOONREEL_RECORD(UsageReported, "usage_reported"),
    MONSOONREEL_RECORD(OrderIntent, "order_intent"),
    MONSOONREEL_RECORD(OrderDone, "order_done"),
    MONSOONREEL_RECORD(ClaimBatch, "claim_batch"),
    MONSOONREEL_RECORD(Snapshot, "snapshot"),
};

#undef MONSOONREEL_RECORD

// The last kinds are of routing nodes, which are not in the matrix.
constexpr size_t routing_message_kinds = 8;
constexpr size_t message_kinds =
    std::variant_size_v<wire::peer_message> - routing_message_kinds;
static_assert(std::is_same_v<
              std::variant_alternative_t<message_kinds, wire::peer_message>,
              wire::entry_report>);

// Calls and answers that are no messages between processes.
constexpr std::array OtherSteps = {
    "read/call",      "read/answer",  "report/call",      "report/answer",
    "order/call",     "order/answer", "dispatch/request", "dispatch/headers",
    "dispatch/chunk", "dispatch/end", "caller/request"};

constexpr std::array<std::pair<fault, const char *>, 20> FaultNames = {{
    {fault::Lost, "lost"},
    {fault::Delayed, "delayed"},
    {fault::Doubled, "doubled"},
    {fault::Stalled, "stalled"},
    {fault::Reordered, "reordered"},
    {fault::AnswerLost, "answer-lost"},
    {fault::SenderKilled, "sender-killed"},
    {fault::ReceiverKilled, "receiver-killed"},
    {fault::SenderFrozen, "sender-frozen"},
    {fault::ReceiverFrozen, "receiver-frozen"},
    {fault::ZoneCutPeers, "zone-cut-peers"},
    {fault::ZoneCutPlatform, "zone-cut-platform"},
    {fault::ZoneCutBoth, "zone-cut-both"},
    {fault::ZoneCutLog, "zone-cut-log"},
    {fault::PlatformOut, "platform-out"},
    {fault::PlatformSlow, "platform-slow"},
    {fault::OperatorsRace, "operators-race"},
    {fault::UpstreamCrash, "upstream-crash"},
    {fault::UpstreamSilent, "upstream-silent"},
    {fault::ZoneReclaimed, "zone-reclaimed"},
}};

} // namespace

step_name stepOf(const wire::peer_message &Message) {
  return std::string("message/") + messageName(Message.index());
}

step_name stepOf(const std::string &Prefix, const wire::log_record &Record) {
  for (const record_kind &Kind : RecordKinds)
    if (Kind.IsSet(Record))
      return Prefix + "/" + Kind.Name;
  return Prefix + "/empty";
}

std::vector<step_name> allSteps() {
  std::vector<step_name> Steps;
  Steps.reserve(message_kinds + 2 * RecordKinds.size() + OtherSteps.size());
  for (size_t Kind = 0; Kind < message_kinds; ++Kind)
    Steps.push_back(std::string("message/") + messageName(Kind));
  for (const record_kind &Kind : RecordKinds) {
    Steps.push_back(std::string("append/") + Kind.Name);
    Steps.push_back(std::string("append-answer/") + Kind.Name);
  }
  Steps.insert(Steps.end(), OtherSteps.begin(), OtherSteps.end());
  return Steps;
}

const std::vector<fault> &allFaults() {
  static const std::vector<fault> Faults = [] {
    std::vector<fault> All;
    All.reserve(FaultNames.size());
    for (const auto &[Fault, Name] : FaultNames)
      All.push_back(Fault);
    return All;
  }();
  return Faults;
}

std::string toText(fault Fault) {
  for (const auto &[Known, Name] : FaultNames)
    if (Known == Fault)
      return Name;
  return "unknown";
}

} // namespace monsoonreel::fault_matrix
