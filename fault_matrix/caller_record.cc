#include "fault_matrix/caller_record.h"

#include <utility>

namespace monsoonreel::fault_matrix {

namespace {

std::string describe(size_t Number, const caller_request &Request) {
  std::string Text = "request " + std::to_string(Number) + " sent at " +
                     std::to_string(toMicros(Request.SentAt) / 1000) + "ms";
  if (Request.Refusal)
    Text += " refused as " + Request.Refusal->Code;
  return Text + ": ";
}

} // namespace

size_t caller_record::add(caller_request Request) {
  Requests.push_back(std::move(Request));
  return Requests.size() - 1;
}

void caller_record::judge(const execution_record &Executions,
                          std::vector<std::string> &Findings) const {
  for (size_t Number = 0; Number < Requests.size(); ++Number) {
    const caller_request &Request = Requests[Number];
    auto Add = [&](const std::string &What) {
      Findings.push_back(describe(Number, Request) + What);
    };
    int Runs = Executions.countOfBody(Request.BodyHash);
    if (!Request.Idempotent && Runs > 1)
      Add("a non-idempotent request ran " + std::to_string(Runs) + " times");
    bool SaidNotRun = Request.Refusal &&
                      Request.Refusal->Outcome == execution_outcome::NotRun;
    if (SaidNotRun && Executions.countOfCaller(Number) > 0)
      Add("was told \"not run\", but ran");
    if (Request.Finished &&
        Request.Received != answerText(Request.BodyHash, Request.Tokens))
      Add("the answer is not whole or not its own");
    if (Request.Aborted && Request.Finished)
      Add("an answer was both cut and completed");
    if (Request.FinalAnswers > 1)
      Add("got more than one answer");
    if (Request.FinalAnswers == 0 && !Request.Disconnected)
      Add("got no answer");
  }
}

} // namespace monsoonreel::fault_matrix
