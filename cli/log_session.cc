#include "cli/log_session.h"

#include <iostream>
#include <utility>

#include <QRandomGenerator>

#include "cli/blocking_call.h"
#include "io/clock.h"
#include "io/platform_client.h"

namespace monsoonreel::cli {

namespace {

constexpr duration retry_pause = std::chrono::milliseconds(200);
constexpr int read_records = 256;
constexpr int random_bits = 20;

// Unique for each run of the command line, also when two start together.
incarnation makeWriter() {
  int64_t Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                       wallNow().time_since_epoch())
                       .count();
  auto Random = static_cast<int64_t>(
      QRandomGenerator::system()->bounded(1U << random_bits));
  return {(Millis << random_bits) | Random};
}

} // namespace

log_session::log_session(const options &Options)
    : Platform(Options.Platform), Timeout(Options.Timeout),
      Writer(makeWriter()), State(operator_stream) {}

std::optional<log_records_read> log_session::readFrom(log_offset From) {
  const std::string Stream(operator_stream);
  steady_time End = steadyNow() + Timeout;
  do {
    http_result Result = callAndWait(
        makeReadCall(Platform, Stream, From, read_records, duration::zero()));
    if (!platformErrorOf(Result))
      return parseLogRecords(Stream, From, Result.Body);
    pause(retry_pause);
  } while (steadyNow() < End);
  return std::nullopt;
}

bool log_session::replay() {
  while (true) {
    log_offset Next{State.applied().Value + 1};
    auto Read = readFrom(Next);
    if (!Read)
      return false;
    if (Read->Horizon > Next)
      startFromSnapshot(*Read);
    log_offset Before = State.applied();
    apply(*Read);
    if (State.applied().Value + 1 >= Read->End.Value)
      return true;
    // Records before the first snapshot that is kept can't be applied; the
    // snapshot comes with a later read.
    if (State.applied() == Before)
      return false;
  }
}

// The newest snapshot among all records that are kept.
void log_session::startFromSnapshot(const log_records_read &First) {
  log_records_read Read = First;
  effect_list Effects;
  while (!Read.Records.empty()) {
    for (const wire::stored_record &Stored : Read.Records) {
      auto Record = decodeRecord(Stored.Bytes);
      if (!Record || !Record->__isset.Snapshot)
        continue;
      auto Snapshot = decodeLedgerState(Record->Snapshot.State);
      if (Snapshot)
        State.restore(log_offset{Record->Snapshot.CoversOffset}, *Snapshot,
                      Effects);
    }
    log_offset Next{Read.Records.back().Offset + 1};
    if (Next >= Read.End)
      break;
    auto More = readFrom(Next);
    if (!More)
      break;
    Read = std::move(*More);
  }
  if (State.configOffset().Value > 0)
    Documents[State.configOffset().Value] = State.document();
}

void log_session::apply(const log_records_read &Read) {
  effect_list Effects;
  for (const wire::stored_record &Stored : Read.Records) {
    ledger_change Change =
        State.apply(log_offset{Stored.Offset}, Stored.Bytes, Effects);
    if (Change.ConfigurationChanged)
      Documents[State.configOffset().Value] = State.document();
    if (!Change.Record || Change.Record->Incarnation != Writer.Value)
      continue;
    // A later copy of a record that was read back says nothing new.
    Own.try_emplace(Change.Record->Sequence,
                    append_outcome{Change.isValid() ? append_status::InForce
                                                    : append_status::Void,
                                   Change.Offset, Change.Reason});
  }
}

append_outcome log_session::append(wire::log_record Record) {
  Record.Incarnation = Writer.Value;
  Record.Sequence = ++LastSequence;
  const std::string Bytes = encodeRecord(Record);
  steady_time End = steadyNow() + Timeout;
  do {
    // Its answer is not looked at: only what is read back counts.
    callAndWait(makeAppendCall(Platform, std::string(operator_stream), Bytes));
    if (replay() && Own.contains(Record.Sequence))
      return Own[Record.Sequence];
    // Also after an answer, because a read may show the record later.
    pause(retry_pause);
  } while (steadyNow() < End);
  return {};
}

std::optional<log_session> openLog(const options &Options) {
  std::optional<log_session> Session(std::in_place, Options);
  if (Session->replay())
    return Session;
  std::cerr << "the platform at " << Options.Platform.Value
            << " can't be reached; nothing was changed\n";
  return std::nullopt;
}

} // namespace monsoonreel::cli
