// The answer to one caller, from its first byte to its end.
//
//   caller_answer Answer(Request, /*Stream=*/true);
//   Answer.begin(200, "text/event-stream", Upstream, Effects);
//   Answer.add(Chunk.Data, Chunk.Tokens, Effects);
//   Answer.finish(Effects);
//
// A caller gets exactly one answer: a whole one, a refusal, or a closed
// connection in place of the rest. A streamed answer is passed on as it comes.
// An answer that is not streamed is held back until it is complete, so that the
// request can be run again when an upstream fails half way; one that exceeds
// `max_held_answer_bytes` is passed on from there.

#ifndef MONSOONREEL_CALLER_ANSWER_H
#define MONSOONREEL_CALLER_ANSWER_H

#include <cstddef>
#include <optional>
#include <string>

#include "monsoonreel/effect.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr size_t max_held_answer_bytes = size_t{1} << 20;

class caller_answer {
public:
  caller_answer(request_id Request, bool Stream)
      : Request(Request), Stream(Stream) {}

  // The upstream's head has come. Again after a resume, where it is ignored.
  void begin(int Status, const std::string &ContentType,
             const upstream_name &Upstream, effect_list &Effects);
  void add(const std::string &Data, int Tokens, effect_list &Effects);
  void finish(effect_list &Effects);

  // Drops what was held back, before the request runs again. Does nothing to a
  // streamed answer, which resumes after `tokens()`.
  void restart();

  // Ends the answer without completing it: by Refusal when nothing was passed
  // on, else by closing the connection.
  void giveUp(refuse_request Refusal, effect_list &Effects);

  // The caller has gone; nothing more is passed on.
  void detach() { Ended = true; }

  // Whether the caller has received a part of the answer.
  bool isPassedOn() const { return PassedOn; }
  bool isEnded() const { return Ended; }
  // Tokens of the answer that the caller has, or will have.
  int tokens() const { return Tokens; }
  int status() const { return Head ? Head->Status : 0; }

  // For an answer that was held back: what a repeat of the request gets.
  std::optional<wire::recorded_answer> recorded() const;

private:
  void passOnHead(effect_list &Effects);
  bool mayWrite(effect_list &Effects) const;

  request_id Request;
  bool Stream;
  bool PassedOn = false;
  bool Ended = false;
  bool Overflowed = false;
  int Tokens = 0;
  std::optional<begin_answer> Head;
  std::string Held;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CALLER_ANSWER_H
