// Commands that give, withdraw and list keys.

#include <iostream>
#include <utility>

#include <QByteArray>
#include <QCryptographicHash>
#include <QRandomGenerator>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/operator_log.h"

namespace monsoonreel {

namespace {

constexpr int key_words = 8;    // of 32 bits: 256 random bits
constexpr int key_id_words = 2; // 64 bits: unique, and not secret

QByteArray randomBytes(int Words) {
  QByteArray Bytes;
  for (int Number = 0; Number < Words; ++Number) {
    quint32 Word = QRandomGenerator::system()->generate();
    Bytes.append(reinterpret_cast<const char *>(&Word), sizeof(Word));
  }
  return Bytes;
}

std::string makeKey() {
  return "mr_" + randomBytes(key_words)
                     .toBase64(QByteArray::Base64UrlEncoding |
                               QByteArray::OmitTrailingEquals)
                     .toStdString();
}

std::string hashOf(const std::string &Key) {
  return QCryptographicHash::hash(QByteArray::fromStdString(Key),
                                  QCryptographicHash::Sha256)
      .toStdString();
}

exit_status appendFailed(const std::string &Error) {
  std::cerr << Error << std::endl;
  return exit_status::Unreachable;
}

} // namespace

exit_status giveKey(const command_context &Context,
                    const std::string &Organisation) {
  operator_log Log(Context.Platform);
  if (auto Error = Log.catchUp())
    return appendFailed(*Error);
  if (!Log.state().config().Organisations.contains(
          organisation_name(Organisation))) {
    std::cerr << "the configuration in force has no organisation "
              << Organisation << std::endl;
    return exit_status::NotFound;
  }
  std::string Key = makeKey();
  wire::key_give Give;
  Give.KeyId = randomBytes(key_id_words).toHex().toStdString();
  Give.Organisation = Organisation;
  Give.KeyHash = hashOf(Key);
  wire::log_record Record;
  Record.__set_KeyGive(Give);
  auto Change = Log.append(std::move(Record));
  if (!Change)
    return appendFailed(Change.error());
  if (!Change->isValid()) {
    std::cerr << "no key was given: " << Change->Reason << std::endl;
    return exit_status::Conflict;
  }
  if (Context.Json)
    std::cout << nlohmann::json({{"id", Give.KeyId}, {"key", Key}}).dump()
              << std::endl;
  else
    std::cout << "id " << Give.KeyId
              << "; the key is shown this once:" << std::endl
              << Key << std::endl;
  return exit_status::Done;
}

exit_status withdrawKey(const command_context &Context, const std::string &Id) {
  operator_log Log(Context.Platform);
  if (auto Error = Log.catchUp())
    return appendFailed(*Error);
  wire::key_withdraw Withdraw;
  Withdraw.KeyId = Id;
  wire::log_record Record;
  Record.__set_KeyWithdraw(Withdraw);
  auto Change = Log.append(std::move(Record));
  if (!Change)
    return appendFailed(Change.error());
  if (!Change->isValid()) {
    std::cerr << "not withdrawn: " << Change->Reason << std::endl;
    return exit_status::NotFound;
  }
  std::cout << "withdrawn at offset " << Change->Offset.Value << std::endl;
  return exit_status::Done;
}

exit_status listKeys(const command_context &Context) {
  operator_log Log(Context.Platform);
  if (auto Error = Log.catchUp())
    return appendFailed(*Error);
  nlohmann::json Keys = nlohmann::json::array();
  for (const wire::key_state &Key : Log.state().state().Keys)
    Keys.push_back({{"id", Key.KeyId},
                    {"organisation", Key.Organisation},
                    {"withdrawn", Key.Withdrawn}});
  if (Context.Json) {
    std::cout << Keys.dump() << std::endl;
    return exit_status::Done;
  }
  for (const auto &Key : Keys)
    std::cout << Key["id"].get<std::string>() << " "
              << Key["organisation"].get<std::string>() << " "
              << (Key["withdrawn"].get<bool>() ? "withdrawn" : "live")
              << std::endl;
  return exit_status::Done;
}

} // namespace monsoonreel
