#include "monsoonreel/caller_answer.h"

#include <utility>

#include "monsoonreel/invariant.h"

namespace monsoonreel {

void caller_answer::begin(int Status, const std::string &ContentType,
                          const upstream_name &Upstream, effect_list &Effects) {
  if (PassedOn)
    return;
  Head = begin_answer{Request, Status, ContentType, Stream, Upstream};
  if (Stream)
    passOnHead(Effects);
}

void caller_answer::add(const std::string &Data, int NewTokens,
                        effect_list &Effects) {
  Tokens += NewTokens;
  if (PassedOn) {
    if (mayWrite(Effects))
      Effects.push_back(write_answer{Request, Data});
    return;
  }
  Held += Data;
  if (Held.size() <= max_held_answer_bytes)
    return;
  Overflowed = true;
  if (Ended) {
    Held.clear();
    return;
  }
  Head->Stream = true;
  passOnHead(Effects);
  Effects.push_back(write_answer{Request, std::exchange(Held, {})});
}

void caller_answer::finish(effect_list &Effects) {
  if (!mayWrite(Effects))
    return;
  if (!PassedOn) {
    passOnHead(Effects);
    Effects.push_back(write_answer{Request, Held});
  }
  Effects.push_back(finish_answer{Request});
  Ended = true;
}

void caller_answer::restart() {
  if (PassedOn)
    return;
  Head.reset();
  Held.clear();
  Tokens = 0;
}

void caller_answer::giveUp(refuse_request Refusal, effect_list &Effects) {
  if (Ended)
    return;
  Ended = true;
  if (PassedOn) {
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
    Answer.Body = Held;
  return Answer;
}

void caller_answer::passOnHead(effect_list &Effects) {
  if (Ended)
    return;
  PassedOn = true;
  Effects.push_back(*Head);
}

bool caller_answer::mayWrite(effect_list &Effects) const {
  // A caller that has gone is no breach; a second answer to one is.
  if (Ended)
    return false;
  return invariantHolds(Effects, Head.has_value(), "answer-has-head",
                        std::to_string(Request.Value));
}

} // namespace monsoonreel
