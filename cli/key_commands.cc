#include <iostream>

#include <QCryptographicHash>
#include <QRandomGenerator>

#include "cli/commands.h"
#include "cli/log_session.h"
#include "cli/site_view.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

constexpr int key_words = 256 / 32;
constexpr int id_words = 2;

// Bits from the operating system's generator.
QByteArray randomBytes(int Words) {
  std::vector<quint32> Bits(static_cast<size_t>(Words));
  QRandomGenerator::system()->fillRange(Bits.data(), Words);
  return {reinterpret_cast<const char *>(Bits.data()),
          static_cast<qsizetype>(Bits.size() * sizeof(quint32))};
}

std::string newKey() {
  return "mr-" + randomBytes(key_words)
                     .toBase64(QByteArray::Base64UrlEncoding |
                               QByteArray::OmitTrailingEquals)
                     .toStdString();
}

std::string hashOf(const std::string &Key) {
  return QCryptographicHash::hash(QByteArray::fromStdString(Key),
                                  QCryptographicHash::Sha256)
      .toStdString();
}

int reportFailure(const append_outcome &Outcome, const std::string &KeyId) {
  if (Outcome.Status == append_status::Void) {
    std::cerr << "not accepted: " << Outcome.Reason << "\n";
    return exit_conflict;
  }
  std::cerr << "no answer in time; the change to key " << KeyId
            << " may still take effect. Look with `monsoonreel key list`\n";
  return exit_unreachable;
}

} // namespace

int giveKey(const options &Options, const std::string &Organisation) {
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  if (!Session->state().config().Organisations.contains(
          organisation_name(Organisation))) {
    std::cerr << "the configuration in force has no organisation \""
              << Organisation << "\"\n";
    return exit_findings;
  }
  const std::string Key = newKey();
  wire::key_give Give;
  Give.KeyId = "key-" + randomBytes(id_words).toHex().toStdString();
  Give.Organisation = Organisation;
  Give.KeyHash = hashOf(Key);
  wire::log_record Record;
  Record.__set_KeyGive(Give);
  append_outcome Outcome = Session->append(std::move(Record));
  if (Outcome.Status != append_status::InForce)
    return reportFailure(Outcome, Give.KeyId);
  output Output(Options.Json);
  Output.json() = {{"id", Give.KeyId},
                   {"organisation", Organisation},
                   {"key", Key},
                   {"offset", Outcome.Offset.Value}};
  // Before the wait: an operator who ends it early must not lose the key.
  Output.line(fmt::format("{} for {}; the key is shown this once:", Give.KeyId,
                          Organisation));
  Output.line(Key);
  int Status = waitInForce(Options, Outcome.Offset, Output);
  Output.finish();
  return Status;
}

int withdrawKey(const options &Options, const std::string &KeyId) {
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  wire::key_withdraw Withdraw;
  Withdraw.KeyId = KeyId;
  wire::log_record Record;
  Record.__set_KeyWithdraw(Withdraw);
  append_outcome Outcome = Session->append(std::move(Record));
  if (Outcome.Status != append_status::InForce)
    return reportFailure(Outcome, KeyId);
  output Output(Options.Json);
  Output.line(
      fmt::format("{} withdrawn at offset {}", KeyId, Outcome.Offset.Value));
  Output.json() = {{"id", KeyId}, {"offset", Outcome.Offset.Value}};
  int Status = waitInForce(Options, Outcome.Offset, Output);
  Output.finish();
  return Status;
}

int listKeys(const options &Options) {
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  output Output(Options.Json);
  Output.json()["keys"] = nlohmann::json::array();
  for (const wire::key_state &Key : Session->state().state().Keys) {
    const char *State = Key.Withdrawn ? "withdrawn" : "live";
    Output.line(fmt::format("{}  {}  {}", Key.KeyId, Key.Organisation, State));
    Output.json()["keys"].push_back({{"id", Key.KeyId},
                                     {"organisation", Key.Organisation},
                                     {"state", State}});
  }
  Output.finish();
  return exit_done;
}

} // namespace monsoonreel::cli
