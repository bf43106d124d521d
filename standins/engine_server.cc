#include "standins/engine_server.h"

#include <algorithm>
#include <cstdlib>

#include <QJsonArray>
#include <QJsonDocument>

#include "standins/steady_clock.h"

namespace monsoonreel::standin {

namespace {

int intHeader(const http_request &Request, const std::string &Name) {
  return std::atoi(Request.header(Name).c_str());
}

std::string completionId(int64_t Id) {
  return "chatcmpl-" + std::to_string(Id);
}

QJsonObject usage(int PromptTokens, int Tokens) {
  return {{"prompt_tokens", PromptTokens},
          {"completion_tokens", Tokens},
          {"total_tokens", PromptTokens + Tokens}};
}

} // namespace

engine_server::engine_server(engine_costs Costs)
    : Model(Costs), Http(
                        [this](const http_request &Request,
                               std::shared_ptr<http_reply> Reply) {
                          handle(Request, std::move(Reply));
                        },
                        [this] { return records(); }) {
  Http.onFault([this](const fault &Fault) { handleFault(Fault); });
  StepTimer.setSingleShot(true);
  StepTimer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&StepTimer, &QTimer::timeout, [this] { step(); });
}

bool engine_server::listen(const std::string &Ip, quint16 Port,
                           quint16 ControlPort) {
  return Http.listen(Ip, {{Port, ""}}, ControlPort);
}

void engine_server::handle(const http_request &Request,
                           std::shared_ptr<http_reply> Reply) {
  if (Request.Path == "/v1/chat/completions" && Request.Method == "POST")
    handleChat(Request, std::move(Reply));
  else if (Request.Path == "/load")
    handleLoad(*Reply);
  else
    Reply->sendJson(404, {{"error", "no such path"}});
}

void engine_server::handleChat(const http_request &Request,
                               std::shared_ptr<http_reply> Reply) {
  if (!Request.header("authorization").empty())
    ++KeysSeen;
  std::string_view Body(Request.Body.data(), size_t(Request.Body.size()));
  chat_request Chat = parseChatRequest(Body);
  if (!Chat.Valid) {
    Reply->sendJson(400, {{"error", "not a chat completion request"}},
                    {{"X-Not-Run", "true"}});
    return;
  }
  answer_text Text = answerFor(Body);
  engine_request Job;
  Job.Id = ++LastId;
  Job.Prompt = std::move(Chat.Prompt);
  Job.PromptTokens = Chat.PromptTokens;
  Job.OutputTokens = Text.tokens();
  Job.FirstToken = std::clamp(intHeader(Request, "x-resume-after-tokens"), 0,
                              Text.tokens() - 1);
  Job.Priority = intHeader(Request, "x-priority");
  int FirstToken = Job.FirstToken;
  if (!Model.submit(std::move(Job), steadyNow())) {
    Reply->sendJson(503, {{"error", "waiting list is full"}},
                    {{"X-Not-Run", "true"}, {"Retry-After", "1"}});
    return;
  }
  int64_t Id = LastId;
  Reply->onGone([this, Id] {
    Model.cancel(Id);
    Answers.erase(Id);
  });
  Answers.emplace(Id, answer{std::move(Reply), Text, std::move(Chat.Model),
                             Chat.Stream, FirstToken, Chat.PromptTokens});
  wakeForStep();
}

void engine_server::handleLoad(http_reply &Reply) {
  engine_load Load = Model.load(steadyNow());
  auto AgeMs = std::chrono::duration_cast<std::chrono::milliseconds>(Load.Age);
  Reply.sendJson(200, {{"running", Load.Running},
                       {"waiting", Load.Waiting},
                       {"cache_use", Load.CacheUse},
                       {"age_ms", qint64(AgeMs.count())},
                       {"leaving", Http.faults().leaving()}});
}

void engine_server::handleFault(const fault &Fault) {
  Model.setSlowFactor(Http.faults().slowFactor());
  if (Fault.Kind != fault_kind::Crash)
    return;
  Model.cancelAll();
  Answers.clear();
}

void engine_server::step() {
  for (const made_token &Token : Model.advance(steadyNow()))
    sendToken(Token);
  wakeForStep();
}

void engine_server::wakeForStep() {
  auto End = Model.nextStep();
  if (!End || StepTimer.isActive())
    return;
  auto Wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(*End - steadyNow(), duration::zero()));
  StepTimer.start(Wait);
}

void engine_server::sendToken(const made_token &Token) {
  auto Place = Answers.find(Token.Id);
  if (Place == Answers.end())
    return;
  answer &Answer = Place->second;
  QJsonValue Finish = Token.Last ? QJsonValue("stop") : QJsonValue();
  QJsonObject Body = {
      {"id", QString::fromStdString(completionId(Token.Id))},
      {"object", Answer.Stream ? "chat.completion.chunk" : "chat.completion"},
      {"model", QString::fromStdString(Answer.Model)}};
  if (Token.Last)
    Body["usage"] = usage(Answer.PromptTokens, Answer.Text.tokens());
  if (Answer.Stream) {
    QString Content = QString::fromStdString(Answer.Text.token(Token.Index));
    Body["choices"] =
        QJsonArray{QJsonObject{{"index", 0},
                               {"delta", QJsonObject{{"content", Content}}},
                               {"finish_reason", Finish}}};
    QByteArray Json = QJsonDocument(Body).toJson(QJsonDocument::Compact);
    Answer.Reply->sendChunk("text/event-stream",
                            "data: " + Json.toStdString() + "\n\n");
  }
  if (!Token.Last)
    return;
  if (Answer.Stream) {
    Answer.Reply->sendChunk("text/event-stream", "data: [DONE]\n\n");
    Answer.Reply->endChunks();
  } else {
    QString Content =
        QString::fromStdString(Answer.Text.text(Answer.FirstToken));
    QJsonObject Message = {{"role", "assistant"}, {"content", Content}};
    Body["choices"] = QJsonArray{QJsonObject{
        {"index", 0}, {"message", Message}, {"finish_reason", Finish}}};
    Answer.Reply->sendJson(200, Body);
  }
  Answers.erase(Token.Id);
}

QJsonObject engine_server::records() const {
  const engine_totals &Totals = Model.totals();
  return {{"accepted", qint64(Totals.Accepted)},
          {"finished", qint64(Totals.Finished)},
          {"cancelled", qint64(Totals.Cancelled)},
          {"refused", qint64(Totals.Refused)},
          {"preempted", qint64(Totals.Preempted)},
          {"tokens_made", qint64(Totals.TokensMade)},
          {"tokens_of_cancelled", qint64(Totals.TokensOfCancelled)},
          {"prefill_tokens", qint64(Totals.PrefillTokens)},
          {"cached_tokens", qint64(Totals.CachedTokens)},
          {"busy_ms", qint64(Totals.Busy.count() / 1000)},
          {"caller_keys_seen", qint64(KeysSeen)}};
}

} // namespace monsoonreel::standin
