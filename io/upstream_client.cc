#include "io/upstream_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "io/event_stream.h"
#include "io/request_text.h"

namespace monsoonreel {

namespace {

// A whole answer is kept up to this size to read its token count.
constexpr size_t max_counted_answer = size_t{1} << 20;

// Credentials, cookies and connection fields are left out.
constexpr std::array<std::string_view, 6> forwarded_headers = {
    "accept",      "content-type", "idempotency-key",
    "traceparent", "tracestate",   "x-request-id"};

bool isForwarded(const std::string &Name) {
  return std::any_of(
      forwarded_headers.begin(), forwarded_headers.end(),
      [&](std::string_view Each) { return equalsIgnoreCase(Each, Name); });
}

duration retryAfterOf(const http_reply_head &Head) {
  const std::string *Text = Head.header("Retry-After");
  int Seconds = 0;
  if (!Text)
    return {};
  const char *End = Text->data() + Text->size();
  auto [Stop, Error] = std::from_chars(Text->data(), End, Seconds);
  bool IsValid = Error == std::errc() && Stop == End;
  return std::chrono::seconds(IsValid ? std::max(Seconds, 0) : 0);
}

attempt_headers headersOf(attempt_number Attempt, const http_reply_head &Head) {
  const std::string *Type = Head.header("Content-Type");
  const std::string *NotRun = Head.header("X-Not-Run");
  return {Attempt, Head.Status, Type ? *Type : std::string(),
          NotRun && *NotRun == "true", retryAfterOf(Head)};
}

outgoing_request outgoing(const upstream_request &Request) {
  outgoing_request Wire{Request.Method, Request.Target, Request.Address,
                        Request.OwnHeaders, Request.Body};
  for (const http_header &Header : Request.CallerHeaders)
    if (isForwarded(Header.Name) && !findHeader(Wire.Headers, Header.Name))
      Wire.Headers.push_back(Header);
  return Wire;
}

} // namespace

// One request and what its answer has not passed on yet.
class upstream_client::exchange : public call_handler {
public:
  exchange(upstream_client &Owner, const upstream_request &Request)
      : Attempt(Request.Attempt), TokenStream(Request.TokenStream),
        Owner(&Owner) {}

  reply_verdict onHead(const http_reply_head &Reply) override {
    Head = headersOf(Attempt, Reply);
    CutsEvents =
        TokenStream && Head->ContentType.starts_with("text/event-stream");
    deliverMore();
    return reply_verdict::Own;
  }
  void onData(std::string &&Data) override {
    Unread += Data;
    deliverMore();
  }
  void onEnd() override {
    Ended = true;
    deliverMore();
  }
  void onFailed(attempt_failure How, const std::string &Why) override {
    Failure = attempt_failed{Attempt, How, Why};
    deliverMore();
  }

  attempt_number Attempt;
  call_id Call;
  bool TokenStream = false;
  bool CutsEvents = false;
  std::optional<attempt_headers> Head; // until it is passed on
  std::string Unread;
  bool Ended = false;
  std::optional<attempt_failed> Failure;
  event_stream Events;
  std::string Answer;     // of a whole JSON answer, for its token count
  upstream_client *Owner; // nullptr once the attempt is over

private:
  void deliverMore() {
    if (Owner)
      Owner->deliver(Attempt);
  }
};

upstream_client::upstream_client(upstream_listener &Target)
    : Listener(Target) {}

upstream_client::~upstream_client() {
  while (!Exchanges.empty())
    cancel(Exchanges.begin()->first);
}

void upstream_client::start(const upstream_request &Request) {
  auto Exchange = std::make_shared<exchange>(*this, Request);
  call_options Options;
  Options.HeadOnly = Request.Method == "HEAD";
  Options.Fresh = Request.FreshConnection;
  Exchanges[Request.Attempt] = Exchange;
  Exchange->Call = Channels.start(
      Request.Address, requestText(outgoing(Request)), Options, Exchange);
}

void upstream_client::cancel(attempt_number Attempt) {
  auto It = Exchanges.find(Attempt);
  if (It == Exchanges.end())
    return;
  std::shared_ptr<exchange> Exchange = std::move(It->second);
  Exchanges.erase(It);
  Exchange->Owner = nullptr;
  Channels.cancel(Exchange->Call);
}

void upstream_client::resume(attempt_number Attempt) { deliver(Attempt); }

// An event may cancel any attempt, so the exchange is looked up again after
// each one.
void upstream_client::deliver(attempt_number Attempt) {
  auto It = Exchanges.find(Attempt);
  if (It == Exchanges.end())
    return;
  std::shared_ptr<exchange> Exchange = It->second;
  if (auto Head = std::exchange(Exchange->Head, std::nullopt))
    Listener.onAttemptEvent(std::move(*Head));
  if (!Exchange->Owner)
    return;
  bool HasRoom = Listener.hasRoom(Attempt);
  Channels.setReading(Exchange->Call, HasRoom);
  if (!HasRoom)
    return;
  attempt_chunk Chunk{Attempt, std::exchange(Exchange->Unread, {}), 0};
  if (Exchange->CutsEvents) {
    Exchange->Events.add(Chunk.Data);
    Chunk.Data = Exchange->Events.takeEvents(Chunk.Tokens);
  } else if (Exchange->Answer.size() < max_counted_answer) {
    Exchange->Answer += Chunk.Data;
  }
  if (!Chunk.Data.empty())
    Listener.onAttemptEvent(std::move(Chunk));
  if (Exchange->Owner && Exchange->Events.isOversized()) {
    cancel(Attempt);
    return Listener.onAttemptEvent(attempt_failed{
        Attempt, attempt_failure::Truncated, "an event is too large"});
  }
  if (Exchange->Owner && (Exchange->Ended || Exchange->Failure))
    conclude(Attempt);
}

// Called when the answer has ended and all of it has been passed on.
void upstream_client::conclude(attempt_number Attempt) {
  std::shared_ptr<exchange> Exchange = Exchanges.find(Attempt)->second;
  Exchanges.erase(Attempt);
  Exchange->Owner = nullptr;
  // A token stream names its own end; how its connection closed does not
  // matter then.
  bool IsWhole =
      Exchange->CutsEvents ? Exchange->Events.isDone() : Exchange->Ended;
  if (!IsWhole && Exchange->Failure)
    return Listener.onAttemptEvent(std::move(*Exchange->Failure));
  if (!IsWhole)
    return Listener.onAttemptEvent(
        attempt_failed{Attempt, attempt_failure::Truncated,
                       "the stream ended without its last event"});
  int Tokens = completionTokens(Exchange->Answer);
  if (Tokens > 0)
    Listener.onAttemptEvent(attempt_chunk{Attempt, "", Tokens});
  Listener.onAttemptEvent(attempt_finished{Attempt});
}

} // namespace monsoonreel
