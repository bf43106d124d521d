#include "io/channel_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "io/clock.h"
#include "io/tcp_stream.h"

namespace monsoonreel {

namespace {

// While there are connections; without any, nothing wakes the process.
constexpr std::chrono::milliseconds watchdog_period(100);

// The limit that "Keep-Alive: timeout=5" states, in whole seconds.
duration statedIdleLimit(const http_reply_head &Head) {
  const std::string *Value = Head.header("Keep-Alive");
  size_t At = Value ? Value->find("timeout=") : std::string::npos;
  if (At == std::string::npos)
    return unstated_idle_limit;
  int Seconds = 0;
  const char *Begin = Value->data() + At + std::string_view("timeout=").size();
  std::from_chars(Begin, Value->data() + Value->size(), Seconds);
  auto Stated = std::chrono::duration<double>(Seconds * idle_limit_part);
  return std::max(unstated_idle_limit,
                  std::chrono::duration_cast<duration>(Stated));
}

} // namespace

// One connection, and the call that uses it.
class channel_pool::channel : public tcp_stream_listener {
public:
  channel(channel_pool &Owner, const address &Peer)
      : Pool(Owner), To(Peer), Stream(*this), OpenedAt(steadyNow()) {}

  bool open() { return Stream.open(To); }
  // A call that was given up must not arrive later, when it may no longer be
  // wanted or allowed.
  void close() {
    Handler = nullptr;
    if (CallOpen)
      Stream.reset();
    else
      Stream.close();
  }
  void begin(call_id NewCall, std::string_view Bytes,
             const call_options &Options,
             std::shared_ptr<call_handler> NewHandler) {
    rememberCall(Options.Id);
    Call = NewCall;
    Handler = std::move(NewHandler);
    CallOpen = true;
    Phase = phase::Waiting;
    Foreign = 0;
    BytesBeforeAnswer = 0;
    WroteSome = Stream.isConnected();
    if (Options.HeadOnly)
      Parser.expectHeadOnly();
    // The call before may have ended while it was not read.
    Stream.setReading(true);
    Stream.write(Bytes);
  }

  void onStreamConnected() override { WroteSome = true; }

  void onStreamBytes(std::string_view Bytes) override {
    if (!Handler)
      return Pool.settle(this, false);
    if (Phase != phase::Body)
      BytesBeforeAnswer += Bytes.size();
    deliver(Parser.read(Bytes));
    if (Handler && Phase != phase::Body &&
        BytesBeforeAnswer > max_bytes_before_answer)
      fail("bytes without an answer");
  }

  void onStreamEnd(stream_end End, const std::string &Reason) override {
    if (!Handler)
      return Pool.settle(this, false);
    if (End == stream_end::Orderly && Phase == phase::Body) {
      deliver(Parser.finish());
      if (!Handler)
        return;
    }
    fail(Reason);
  }

  bool isCompletedByEnd() const override {
    return Handler && Phase == phase::Body && Parser.endsWithConnection();
  }

  void fail(const std::string &Reason) {
    attempt_failure Failure = attempt_failure::NeverSent;
    if (WroteSome)
      Failure = Phase == phase::Body ? attempt_failure::Truncated
                                     : attempt_failure::Broken;
    auto Kept = std::exchange(Handler, nullptr);
    Pool.settle(this, false);
    Kept->onFailed(Failure, Reason);
  }

  bool isConnecting() const { return !WroteSome; }
  steady_time openedAt() const { return OpenedAt; }
  // An idle connection that can still be used.
  bool isFresh(steady_time Now) const {
    return Now < IdleUntil && Stream.isConnected();
  }
  bool isQuiet() const { return Stream.isQuiet(); }
  void setReading(bool Enabled) { Stream.setReading(Enabled); }
  void restUntil(steady_time Until) { IdleUntil = Until; }
  const address &peer() const { return To; }
  call_id call() const { return Call; }
  duration idleLimit() const { return IdleLimit; }

private:
  enum class phase { Waiting, Skipping, Body };

  void deliver(std::vector<reply_event> Events) {
    // Bytes that follow an answer directly and do not begin another one may be
    // a part of it: its length is wrong, or bytes of another answer are in it.
    const auto *Error =
        Events.empty() ? nullptr : std::get_if<reply_error>(&Events.back());
    bool IsDamaged = Error && Error->MayBeBody;
    for (reply_event &Event : Events) {
      if (!Handler)
        return; // the call has ended meanwhile
      if (IsDamaged && Phase == phase::Body &&
          std::holds_alternative<reply_end>(Event))
        return fail("an answer followed by bytes that are none");
      if (auto *Head = std::get_if<http_reply_head>(&Event))
        onHead(*Head);
      else if (auto *Data = std::get_if<reply_data>(&Event))
        onData(std::move(Data->Data));
      else if (std::get_if<reply_end>(&Event))
        onEnd(&Event == &Events.back());
      else
        fail(std::get<reply_error>(Event).Reason);
    }
  }

  void onHead(const http_reply_head &Head) {
    constexpr int first_final_status = 200;
    if (Head.Status < first_final_status) {
      Phase = phase::Skipping;
      return;
    }
    KeepAlive = Head.KeepAlive;
    IdleLimit = statedIdleLimit(Head);
    switch (Handler->onHead(Head)) {
    case reply_verdict::Own:
      Phase = phase::Body;
      return;
    case reply_verdict::Foreign:
      Phase = phase::Skipping;
      if (!hasAsked(Handler->requestIdOf(Head)))
        return fail("an answer to a request of another connection");
      if (++Foreign > max_foreign_answers)
        fail("answers to other requests");
      return;
    case reply_verdict::Invalid:
      return fail("answer without the request's id");
    }
  }

  void onData(std::string &&Data) {
    if (Phase == phase::Body)
      Handler->onData(std::move(Data));
  }

  void onEnd(bool Last) {
    if (Phase != phase::Body) {
      Phase = phase::Waiting;
      return;
    }
    // Bytes behind the answer, however few, would become a part of the next
    // one. The rest of a request that was answered early would be read as the
    // next one's beginning.
    bool Reusable = KeepAlive && Last && Parser.isBetweenAnswers() &&
                    Foreign == 0 && !Stream.hasUnwritten() &&
                    Stream.isConnected();
    CallOpen = false;
    auto Kept = std::exchange(Handler, nullptr);
    Pool.settle(this, Reusable);
    Kept->onEnd();
  }

  void rememberCall(const std::string &Id) {
    if (!CurrentId.empty())
      EarlierIds.push_back(std::move(CurrentId));
    if (EarlierIds.size() > max_remembered_calls)
      EarlierIds.pop_front();
    CurrentId = Id;
  }
  // Returns whether the request was sent earlier on this connection.
  bool hasAsked(const std::string &Id) const {
    return std::find(EarlierIds.begin(), EarlierIds.end(), Id) !=
           EarlierIds.end();
  }

  channel_pool &Pool;
  address To;
  std::string CurrentId;
  std::deque<std::string> EarlierIds;
  tcp_stream Stream;
  http_reply_parser Parser;
  steady_time OpenedAt;
  steady_time IdleUntil;
  call_id Call;
  std::shared_ptr<call_handler> Handler;
  phase Phase = phase::Waiting;
  int Foreign = 0;
  size_t BytesBeforeAnswer = 0;
  bool WroteSome = false;
  bool CallOpen = false; // without a complete answer
  bool KeepAlive = true;
  duration IdleLimit = unstated_idle_limit;
};

channel_pool::channel_pool(duration ConnectTimeout)
    : ConnectTimeout(ConnectTimeout) {
  QObject::connect(&Watchdog, &QTimer::timeout, &Watchdog,
                   [this] { checkTimes(); });
  Watchdog.setInterval(watchdog_period);
}

channel_pool::~channel_pool() = default;

std::unique_ptr<channel_pool::channel> channel_pool::takeIdle(site &Site) {
  steady_time Now = steadyNow();
  while (!Site.Idle.empty()) {
    std::unique_ptr<channel> Channel = std::move(Site.Idle.back());
    Site.Idle.pop_back();
    if (Channel->isFresh(Now) && Channel->isQuiet())
      return Channel;
    --Site.Open;
    bury(std::move(Channel));
  }
  return nullptr;
}

call_id channel_pool::start(const address &To, std::string_view Bytes,
                            const call_options &Options,
                            std::shared_ptr<call_handler> Handler) {
  call_id Call{++LastCall};
  site &Site = Sites[To];
  std::unique_ptr<channel> Channel = Options.Fresh ? nullptr : takeIdle(Site);
  if (!Channel) {
    if (Site.Open >= Options.MaxConnections) {
      failLater(Call, std::move(Handler), "too many connections");
      return Call;
    }
    Channel = std::make_unique<channel>(*this, To);
    if (!Channel->open()) {
      failLater(Call, std::move(Handler), "no connection");
      return Call;
    }
    ++Site.Open;
    ++Made;
    if (!Watchdog.isActive())
      Watchdog.start();
  }
  Channel->begin(Call, Bytes, Options, std::move(Handler));
  Active[Call] = std::move(Channel);
  return Call;
}

void channel_pool::failLater(call_id /*Call*/,
                             std::shared_ptr<call_handler> Handler,
                             const char *Why) {
  QTimer::singleShot(0, &Watchdog, [Handler = std::move(Handler), Why] {
    Handler->onFailed(attempt_failure::NeverSent, Why);
  });
}

void channel_pool::cancel(call_id Call) {
  auto It = Active.find(Call);
  if (It == Active.end())
    return;
  std::unique_ptr<channel> Channel = std::move(It->second);
  Active.erase(It);
  --Sites[Channel->peer()].Open;
  bury(std::move(Channel));
}

void channel_pool::setReading(call_id Call, bool Enabled) {
  if (auto It = Active.find(Call); It != Active.end())
    It->second->setReading(Enabled);
}

// The channel's call has ended, or an idle channel has.
void channel_pool::settle(channel *Channel, bool Reusable) {
  site &Site = Sites[Channel->peer()];
  std::unique_ptr<channel> Owned;
  if (auto It = Active.find(Channel->call()); It != Active.end()) {
    Owned = std::move(It->second);
    Active.erase(It);
  } else {
    auto Found =
        std::find_if(Site.Idle.begin(), Site.Idle.end(),
                     [&](const auto &Idle) { return Idle.get() == Channel; });
    if (Found == Site.Idle.end())
      return;
    Owned = std::move(*Found);
    Site.Idle.erase(Found);
  }
  if (Reusable) {
    Owned->restUntil(steadyNow() + Owned->idleLimit());
    Site.Idle.push_back(std::move(Owned));
    return;
  }
  --Site.Open;
  bury(std::move(Owned));
}

// Closes a connection now that may still be running one of its callbacks.
void channel_pool::bury(std::unique_ptr<channel> Channel) {
  Channel->close();
  Dead.push_back(std::move(Channel));
  if (Dead.size() == 1)
    QTimer::singleShot(0, &Watchdog, [this] { Dead.clear(); });
}

void channel_pool::checkTimes() {
  steady_time Now = steadyNow();
  std::vector<channel *> Late;
  for (auto &[Call, Channel] : Active)
    if (Channel->isConnecting() && Now - Channel->openedAt() > ConnectTimeout)
      Late.push_back(Channel.get());
  for (channel *Channel : Late)
    Channel->fail("connect timeout");
  for (auto It = Sites.begin(); It != Sites.end();) {
    site &Site = It->second;
    for (auto Idle = Site.Idle.begin(); Idle != Site.Idle.end();) {
      if ((*Idle)->isFresh(Now)) {
        ++Idle;
        continue;
      }
      bury(std::move(*Idle));
      Idle = Site.Idle.erase(Idle);
      --Site.Open;
    }
    if (Site.Open == 0)
      Sites.erase(It++);
    else
      ++It;
  }
  if (Sites.empty())
    Watchdog.stop();
}

size_t channel_pool::idleConnections() const {
  size_t Count = 0;
  for (const auto &[To, Site] : Sites)
    Count += Site.Idle.size();
  return Count;
}

} // namespace monsoonreel
