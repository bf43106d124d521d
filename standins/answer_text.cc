#include "standins/answer_text.h"

#include <algorithm>
#include <array>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <xxhash.h>

namespace monsoonreel::standin {

namespace {

constexpr int bytes_per_token = 4;
constexpr int max_answer_tokens = 8192;
constexpr double shortest_part = 0.1;

std::string hex(uint64_t Value, int Digits) {
  constexpr std::string_view Alphabet = "0123456789abcdef";
  std::string Text;
  for (int I = 0; I < Digits; ++I) {
    Text += Alphabet[Value & 15];
    Value >>= 4;
  }
  return Text;
}

uint64_t hashOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

QJsonObject parseObject(std::string_view Body) {
  QByteArray Bytes =
      QByteArray::fromRawData(Body.data(), static_cast<qsizetype>(Body.size()));
  return QJsonDocument::fromJson(Bytes).object();
}

} // namespace

std::string answer_text::token(int Index) const {
  std::array<uint64_t, 2> Input = {BodyHash, static_cast<uint64_t>(Index)};
  return " " + hex(XXH3_64bits(Input.data(), sizeof(Input)), 5);
}

std::string answer_text::text(int First) const {
  std::string Text;
  for (int I = First; I < Tokens; ++I)
    Text += token(I);
  return Text;
}

chat_request parseChatRequest(std::string_view Body) {
  QJsonObject Object = parseObject(Body);
  chat_request Request;
  Request.Model = Object["model"].toString().toStdString();
  Request.Stream = Object["stream"].toBool();
  for (const auto &Message : Object["messages"].toArray())
    Request.Prompt += Message.toObject()["content"].toString().toStdString();
  Request.PromptTokens =
      1 + static_cast<int>(Request.Prompt.size()) / bytes_per_token;
  int Max = Object["max_tokens"].toInt(default_max_tokens);
  Request.MaxTokens = std::clamp(Max, 1, max_answer_tokens);
  Request.Valid = Object["messages"].isArray();
  return Request;
}

answer_text answerFor(std::string_view Body) {
  uint64_t Hash = hashOf(Body);
  int Max = parseChatRequest(Body).MaxTokens;
  double Draw = static_cast<double>(Hash >> 40) / static_cast<double>(1 << 24);
  // The square makes short answers more common than long ones.
  double Part = shortest_part + (1 - shortest_part) * Draw * Draw;
  return {Hash, std::max(1, static_cast<int>(Part * Max))};
}

std::string receiptFor(std::string_view Path, std::string_view Body) {
  std::string Input(Path);
  Input += '\n';
  Input += Body;
  return hex(hashOf(Input), 16);
}

std::string serviceAnswerFor(std::string_view Path, std::string_view Body) {
  return R"({"done":true,"receipt":")" + receiptFor(Path, Body) + "\"}";
}

} // namespace monsoonreel::standin
