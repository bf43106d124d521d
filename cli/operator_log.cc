#include "cli/operator_log.h"

#include <chrono>
#include <utility>

#include <QEventLoop>
#include <QRandomGenerator>

namespace monsoonreel {

namespace {

constexpr int records_per_read = 256;
constexpr int append_tries = 5;
constexpr duration read_back_wait = std::chrono::seconds(2);

// Unique for each run of the command line.
incarnation makeIncarnation() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  int64_t Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  constexpr int random_bits = 20;
  return {(Millis << random_bits) |
          static_cast<int64_t>(
              QRandomGenerator::system()->bounded(1U << random_bits))};
}

} // namespace

http_result callAndWait(const http_call &Call) {
  http_caller Caller;
  QEventLoop Loop;
  http_result Answer;
  bool Done = false;
  Caller.call(Call, [&](const http_result &Result) {
    Answer = Result;
    Done = true;
    Loop.quit();
  });
  if (!Done)
    Loop.exec();
  return Answer;
}

operator_log::operator_log(address Platform)
    : Platform(std::move(Platform)), Ledger(operator_stream),
      Writer(makeIncarnation()) {}

std::optional<std::string>
operator_log::startFromSnapshot(const log_records_read &Read) {
  effect_list Ignored;
  for (const wire::stored_record &Stored : Read.Records) {
    auto Record = decodeRecord(Stored.Bytes);
    if (!Record || !Record->__isset.Snapshot)
      continue;
    auto State = decodeLedgerState(Record->Snapshot.State);
    if (State && Ledger.restore(log_offset{Record->Snapshot.CoversOffset},
                                *State, Ignored))
      return std::nullopt;
  }
  return "the log's beginning was dropped and it holds no snapshot";
}

tl::expected<bool, std::string>
operator_log::readOnce(duration Wait, std::optional<ledger_change> *Own) {
  log_offset From{Ledger.applied().Value + 1};
  http_result Result = callAndWait(makeReadCall(
      Platform, std::string(operator_stream), From, records_per_read, Wait));
  auto Read = parseLogRecords(std::string(operator_stream), From, Result.Body);
  if (Result.Status != 200 || !Read)
    return tl::unexpected("the platform's log can't be read at " +
                          Platform.Value + ": " + Result.Error);
  if (Read->Horizon > From)
    if (auto Error = startFromSnapshot(*Read))
      return tl::unexpected(*Error);
  effect_list Ignored;
  for (const wire::stored_record &Stored : Read->Records) {
    ledger_change Change =
        Ledger.apply(log_offset{Stored.Offset}, Stored.Bytes, Ignored);
    bool IsOwn = Change.Record && Change.Record->Incarnation == Writer.Value &&
                 Change.Record->Sequence == Sequence;
    if (Own && IsOwn && !*Own)
      *Own = std::move(Change);
  }
  return Ledger.applied().Value + 1 < Read->End.Value;
}

std::optional<std::string> operator_log::catchUp() {
  for (;;) {
    auto More = readOnce(duration::zero(), nullptr);
    if (!More)
      return More.error();
    if (!*More)
      return std::nullopt;
  }
}

tl::expected<ledger_change, std::string>
operator_log::append(wire::log_record Record) {
  ++Sequence;
  Record.Incarnation = Writer.Value;
  Record.Sequence = Sequence;
  std::string Bytes = encodeRecord(Record);
  std::optional<ledger_change> Own;
  std::string LastError = "it was not read back";
  for (int Try = 0; Try < append_tries && !Own; ++Try) {
    http_result Result = callAndWait(
        makeAppendCall(Platform, std::string(operator_stream), Bytes));
    if (Result.Status != 200)
      LastError =
          "status " + std::to_string(Result.Status) + " " + Result.Error;
    // An append without an answer may have taken effect: look for it.
    for (bool More = true; More && !Own;) {
      auto Read = readOnce(read_back_wait, &Own);
      More = Read && *Read;
    }
  }
  if (!Own)
    return tl::unexpected("the record could not be appended: " + LastError);
  return std::move(*Own);
}

} // namespace monsoonreel
