#include "io/timed_call.h"

#include <utility>

#include <QTimer>

namespace monsoonreel {

class timed_caller::handler : public call_handler {
public:
  handler(callback Then, size_t MaxBytes)
      : Callback(std::move(Then)), MaxBytes(MaxBytes) {
    Timer.setSingleShot(true);
  }

  void startTimer(duration Timeout, std::function<void()> OnTimeout) {
    QObject::connect(&Timer, &QTimer::timeout, &Timer, std::move(OnTimeout));
    Timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(Timeout));
  }

  reply_verdict onHead(const http_reply_head &Head) override {
    Result.Status = Head.Status;
    Result.Headers = Head.Headers;
    return reply_verdict::Own;
  }
  void onData(std::string &&Data) override {
    if (Result.Body.size() + Data.size() <= MaxBytes)
      Result.Body += Data;
    else
      Result.TooLarge = true;
  }
  void onEnd() override {
    if (Result.TooLarge)
      return fail("answer too large");
    finish();
  }
  void onFailed(attempt_failure Failure, const std::string &Why) override {
    Result.NeverSent = Failure == attempt_failure::NeverSent;
    fail(Why);
  }
  void fail(const std::string &Why) {
    Result.Status = 0;
    Result.Headers.clear();
    Result.Body.clear();
    Result.Error = Why;
    finish();
  }

private:
  void finish() {
    Timer.stop();
    if (auto Then = std::exchange(Callback, nullptr))
      Then(Result);
  }

  callback Callback;
  timed_result Result;
  size_t MaxBytes;
  QTimer Timer;
};

call_id timed_caller::call(const address &To, std::string_view Bytes,
                           duration Timeout, callback Callback) {
  auto Handler = std::make_shared<handler>(std::move(Callback), MaxAnswerBytes);
  call_id Call = Channels.start(To, Bytes, call_options(), Handler);
  std::weak_ptr<handler> Weak = Handler;
  Handler->startTimer(Timeout, [this, Call, Weak] {
    auto Kept = Weak.lock();
    Channels.cancel(Call);
    if (Kept)
      Kept->fail("timeout");
  });
  return Call;
}

} // namespace monsoonreel
