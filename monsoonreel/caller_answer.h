// The answer to one caller's request.
//
//   caller_answer Answer(Request, /*Stream=*/true);
//   Answer.begin(200, "text/event-stream", Upstream, Effects);
//   Answer.add(Chunk.Data, Chunk.Tokens, Effects);
//   Answer.finish(Effects);
//
// A caller gets exactly one answer: a complete one, a refusal, or a partial one
// that ends with a closed connection. A streamed answer is forwarded as it
// arrives. An answer that is not streamed is buffered until it is complete, so
// that the request can be run again when an upstream fails half way. Once it
// exceeds `max_buffered_answer_bytes`, it is forwarded like a streamed one.

#ifndef MONSOONREEL_CALLER_ANSWER_H
#define MONSOONREEL_CALLER_ANSWER_H

#include <cstddef>
#include <optional>
#include <string>

#include "monsoonreel/effect.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr size_t max_buffered_answer_bytes = size_t{1} << 20;

class caller_answer {
public:
  caller_answer(request_id Request, bool Stream)
      : Request(Request), Stream(Stream) {}

  // Called when the upstream's status and headers arrive. Ignored after a
  // resume, when the caller has the head already.
  void begin(int Status, const std::string &ContentType,
             const upstream_name &Upstream, effect_list &Effects);
  void add(const std::string &Data, int Tokens, effect_list &Effects);
  void finish(effect_list &Effects);

  // Discards the buffered answer before the request runs again. Does nothing
  // once the answer is being forwarded: it resumes after `tokens()` tokens.
  void restart();

  // Ends the answer without completing it: with Refusal when nothing was
  // forwarded, otherwise by closing the connection.
  void giveUp(refuse_request Refusal, effect_list &Effects);

  // The caller has disconnected; nothing more is forwarded.
  void detach() { Ended = true; }

  // Whether the caller has received a part of the answer.
  bool isForwarding() const { return Forwarded; }
  bool isEnded() const { return Ended; }
  // Tokens of the answer that were forwarded or are buffered.
  int tokens() const { return Tokens; }
  int status() const { return Head ? Head->Status : 0; }

  // The answer that a repeat of the request gets, without the body when the
  // answer was not buffered whole. Returns nothing before the upstream's
  // status and headers have arrived.
  std::optional<wire::recorded_answer> recorded() const;

private:
  void forwardHead(effect_list &Effects);
  bool mayWrite(effect_list &Effects) const;

  request_id Request;
  bool Stream;
  bool Forwarded = false;
  bool Ended = false;
  bool Overflowed = false;
  int Tokens = 0;
  std::optional<begin_answer> Head;
  std::string BufferedBody;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CALLER_ANSWER_H
