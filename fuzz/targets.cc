#include "fuzz/targets.h"

#include "fuzz/input_mutator.h"
#include "fuzz/peer_target.h"
#include "io/http_head.h"
#include "io/http_reply_parser.h"
#include "io/load_poller.h"
#include "io/platform_client.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::fuzz {

namespace {

const char settings_sample[] = R"(name: entry-1
zone: north
listen: 127.0.0.1:7000
peer: 127.0.0.1:7100
admin: 127.0.0.1:7200
platform: 127.0.0.1:7900
seeds: [127.0.0.1:7101, 127.0.0.1:7102]
limits: {header_bytes: 32768, idle_timeout: 60s}
)";

const char load_sample[] =
    R"({"running": 3, "waiting": 1, "cache_use": 0.5, "age_ms": 500, "leaving": true})";
const char records_sample[] =
    R"({"horizon": 1, "end": 3, "records": [{"offset": 1, "data": "AAEC"}]})";
const char vms_sample[] =
    R"({"vms": [{"name": "m1", "zone": "north", "address": "127.0.0.1:1", "leaving": true}]})";
// Only a length is taken; changes make the last field one that is refused.
const char head_sample[] =
    "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: "
    "12\r\nAuthorization: Bearer k\r\nX-Transfer-Encoding: "
    "chunked\r\n\r\n";

const char answer_sample[] =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nhel\r\n2\r\nlo\r\n0\r\nX-Sum: 1\r\n\r\n";

// Returns whether no byte of the answers is refused.
bool areAnswers(const std::string &In) {
  http_reply_parser Parser;
  std::vector<reply_event> Events = Parser.read(In);
  return Events.empty() || !std::holds_alternative<reply_error>(Events.back());
}

std::string recordSample() {
  wire::config_edit Edit;
  Edit.Base = 1;
  Edit.Document = "classes: []";
  wire::log_record Record;
  Record.Incarnation = 7;
  Record.Sequence = 2;
  Record.__set_ConfigEdit(Edit);
  return encodeRecord(Record);
}

std::vector<target> documentTargets() {
  std::string Questionnaire = questionnaireTemplate();
  auto Answers = parseQuestionnaire(Questionnaire, "sample");
  std::string Document =
      Answers ? toConfigurationDocument(*Answers, "sample") : "";
  return {
      {"settings",
       [](const std::string &In) { return parseSettings(In, "f").has_value(); },
       {settings_sample}},
      {"configuration",
       [](const std::string &In) {
         return parseConfiguration(In, "f").has_value();
       },
       {Document}},
      {"questionnaire",
       [](const std::string &In) {
         auto Parsed = parseQuestionnaire(In, "f");
         if (Parsed)
           toConfigurationDocument(*Parsed, "f");
         return Parsed.has_value();
       },
       {Questionnaire}},
  };
}

std::vector<target> wireTargets() {
  return {
      {"message",
       [](const std::string &In) { return decodeMessage(In).has_value(); },
       messageSamples()},
      {"record",
       [](const std::string &In) { return decodeRecord(In).has_value(); },
       {recordSample()}},
      {"snapshot",
       [](const std::string &In) {
         bool IsLedger = decodeLedgerState(In).has_value();
         return decodeClaimsState(In).has_value() || IsLedger;
       },
       {encodeState(wire::ledger_state()), encodeState(wire::claims_state())}},
      {"peer-of-entry", sendToEntry, peerSamples()},
      {"peer-of-steward", sendToSteward, peerSamples()},
  };
}

std::vector<target> outsideTargets() {
  return {
      {"load-report",
       [](const std::string &In) {
         return parseLoadReport(upstream_name("m"), In).has_value();
       },
       {load_sample}},
      {"platform-answer",
       [](const std::string &In) {
         bool IsRead =
             parseLogRecords("operator", log_offset{1}, In).has_value();
         bool IsVmList = parseVmList(In).has_value();
         return parseAppended(In).has_value() || IsRead || IsVmList;
       },
       {records_sample, vms_sample, "{\"offset\": 7}"}},
      {"request-head",
       [](const std::string &In) { return parseRequestHead(In).has_value(); },
       {head_sample}},
      {"answers", areAnswers, {answer_sample}},
  };
}

} // namespace

std::vector<target> targets() {
  std::vector<target> All = documentTargets();
  for (auto Part : {wireTargets(), outsideTargets()})
    All.insert(All.end(), Part.begin(), Part.end());
  return All;
}

void runTarget(const target &Target, uint64_t Seed, int Runs) {
  input_mutator Mutator(Target.Samples, Seed);
  for (int Run = 0; Run < Runs; ++Run)
    Target.Run(Mutator.next());
}

} // namespace monsoonreel::fuzz
