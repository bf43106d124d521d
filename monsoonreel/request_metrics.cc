#include "monsoonreel/request_metrics.h"

#include <utility>
#include <vector>

namespace monsoonreel {

namespace {

using label_list = std::vector<std::pair<std::string, std::string>>;

const char *toText(request_result Result) {
  switch (Result) {
  case request_result::Answered:
    return "answered";
  case request_result::Refused:
    return "refused";
  case request_result::Aborted:
    return "aborted";
  case request_result::CallerGone:
    return "caller-gone";
  }
  return "unknown";
}

double toSeconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

duration firstTokenTime(const active_request &Request, steady_time Now) {
  return Request.FirstTokenAt.value_or(Now) - Request.ArrivedAt;
}

// The mean time between two tokens; zero for fewer than two.
duration betweenTokens(const active_request &Request) {
  int Gaps = Request.Answer.tokens() - 1;
  if (Gaps < 1 || !Request.FirstTokenAt)
    return duration::zero();
  return (Request.LastTokenAt - *Request.FirstTokenAt) / Gaps;
}

void addLogLine(const active_request &Request, request_result Result,
                steady_time Now, effect_list &Effects) {
  std::string Text = "request=" + std::to_string(Request.Head.Request.Value);
  Text += " organisation=" + Request.Admitted.Organisation.Value;
  Text += " class=" + Request.Admitted.Class.Name.Value;
  Text += std::string(" result=") + toText(Result);
  Text += std::string(" outcome=") + outcomeName(Request.Knowledge);
  if (!Request.RefusalCode.empty())
    Text += " code=" + Request.RefusalCode;
  Text += " attempts=" + std::to_string(Request.Attempts);
  Text += " micros=" + std::to_string(toMicros(Now - Request.ArrivedAt));
  Effects.push_back(log_line{log_level::Info, std::move(Text)});
}

} // namespace

bool metTargets(const active_request &Request, request_result Result,
                steady_time Now) {
  if (Result != request_result::Answered)
    return false;
  const service_class &Class = Request.Admitted.Class;
  // An answer that is not streamed has to be complete by the time at which a
  // streamed one would have to be.
  if (!Request.Head.Stream && Request.Answer.tokens() > 0)
    return Now - Request.ArrivedAt <=
           Class.FirstTokenTarget +
               Class.BetweenTokensTarget * Request.Answer.tokens();
  if (firstTokenTime(Request, Now) > Class.FirstTokenTarget)
    return false;
  return Class.BetweenTokensTarget == duration::zero() ||
         betweenTokens(Request) <= Class.BetweenTokensTarget;
}

void reportRequest(const active_request &Request, request_result Result,
                   steady_time Now, effect_list &Effects) {
  label_list Labels = {{"class", Request.Admitted.Class.Name.Value},
                       {"organisation", Request.Admitted.Organisation.Value}};
  label_list ResultLabels = Labels;
  ResultLabels.emplace_back("result", toText(Result));
  Effects.push_back(
      count_metric{"monsoonreel_requests_total", std::move(ResultLabels)});
  if (Result != request_result::CallerGone) {
    label_list MetLabels = Labels;
    MetLabels.emplace_back("met",
                           metTargets(Request, Result, Now) ? "yes" : "no");
    Effects.push_back(
        count_metric{"monsoonreel_targets_total", std::move(MetLabels)});
  }
  if (Result == request_result::Answered) {
    Effects.push_back(observe_metric{"monsoonreel_first_token_seconds", Labels,
                                     toSeconds(firstTokenTime(Request, Now))});
    Effects.push_back(observe_metric{"monsoonreel_between_tokens_seconds",
                                     std::move(Labels),
                                     toSeconds(betweenTokens(Request))});
  }
  addLogLine(Request, Result, Now, Effects);
}

} // namespace monsoonreel
