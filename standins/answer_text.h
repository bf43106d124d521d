// The answers of the stand-ins: pure functions of the request body.
//
//   answer_text Answer = answerFor(Body);
//   EXPECT_EQ(Received, Answer.text(0));
//
// A load tool that has the body it sent can tell whether an answer is whole
// and its own, whichever engines made it.

#ifndef STANDINS_ANSWER_TEXT_H
#define STANDINS_ANSWER_TEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonreel::standin {

// The answer of a model engine to one request.
class answer_text {
public:
  answer_text(uint64_t BodyHash, int Tokens)
      : BodyHash(BodyHash), Tokens(Tokens) {}

  int tokens() const { return Tokens; }
  // Token number Index, from 0.
  std::string token(int Index) const;
  // All tokens from number First on.
  std::string text(int First) const;

private:
  uint64_t BodyHash;
  int Tokens;
};

// What an engine needs to know of a chat completion request.
struct chat_request {
  bool Valid = false;
  bool Stream = false;
  std::string Model;
  std::string Prompt; // the contents of all messages
  int PromptTokens = 0;
  int MaxTokens = 0;
};

// Tokens that an answer has at most when the request names no limit.
constexpr int default_max_tokens = 256;

chat_request parseChatRequest(std::string_view Body);

// The length is drawn from the body's hash, between a tenth and all of the
// request's max_tokens, so that nobody can know it in advance.
answer_text answerFor(std::string_view Body);

// Names a request to a plain service by its path and body.
std::string receiptFor(std::string_view Path, std::string_view Body);

// The body of a plain service's answer, which holds the receipt.
std::string serviceAnswerFor(std::string_view Path, std::string_view Body);

} // namespace monsoonreel::standin

#endif // STANDINS_ANSWER_TEXT_H
