#include "monsoonreel/caller_answer.h"

#include <utility>

#include "monsoonreel/invariant.h"

namespace monsoonreel {

void caller_answer::begin(int Status, const std::string &ContentType,
                          const upstream_name &Upstream, effect_list &Effects) {
  if (Forwarded)
    return;
  Head = begin_answer{Request, Status, ContentType, Stream, Upstream};
  if (Stream)
    forwardHead(Effects);
}

void caller_answer::add(const std::string &Data, int NewTokens,
                        effect_list &Effects) {
  Tokens += NewTokens;
  if (Forwarded) {
    if (mayWrite(Effects))
      Effects.push_back(write_answer{Request, Data});
    return;
  }
  BufferedBody += Data;
  if (BufferedBody.size() <= max_buffered_answer_bytes)
    return;
  Overflowed = true;
  if (Ended) {
    BufferedBody.clear();
    return;
  }
  Head->Stream = true;
  forwardHead(Effects);
  Effects.push_back(write_answer{Request, std::exchange(BufferedBody, {})});
}

void caller_answer::finish(effect_list &Effects) {
  if (!mayWrite(Effects))
    return;
  if (!Forwarded) {
    forwardHead(Effects);
    Effects.push_back(write_answer{Request, BufferedBody});
  }
  Effects.push_back(finish_answer{Request});
  Ended = true;
}

void caller_answer::restart() {
  if (Forwarded)
    return;
  Head.reset();
  BufferedBody.clear();
  Tokens = 0;
}

void caller_answer::giveUp(refuse_request Refusal, effect_list &Effects) {
  if (Ended)
    return;
  Ended = true;
  if (Forwarded) {
    Effects.push_back(abort_answer{Request, Refusal.Code});
    return;
  }
  Refusal.Request = Request;
  Effects.push_back(std::move(Refusal));
}

std::optional<wire::recorded_answer> caller_answer::recorded() const {
  if (!Head)
    return std::nullopt;
  wire::recorded_answer Answer;
  Answer.Status = Head->Status;
  Answer.ContentType = Head->ContentType;
  Answer.BodyKept = !Stream && !Overflowed;
  if (Answer.BodyKept)
    Answer.Body = BufferedBody;
  return Answer;
}

void caller_answer::forwardHead(effect_list &Effects) {
  if (Ended)
    return;
  Forwarded = true;
  Effects.push_back(*Head);
}

bool caller_answer::mayWrite(effect_list &Effects) const {
  // Writing after the answer's end is not a violation, because the caller may
  // have disconnected. Writing before its head is one.
  if (Ended)
    return false;
  return invariantHolds(Effects, Head.has_value(), "answer-has-head",
                        std::to_string(Request.Value));
}

} // namespace monsoonreel
