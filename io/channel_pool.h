// HTTP/1.1 calls over connections that are kept and used again.
//
//   channel_pool Pool;
//   call_id Call = Pool.start(Address, Bytes, Options, Handler);
//   Pool.cancel(Call);      // resets its connection; Handler hears no more
//
// One call at a time uses a connection. Nothing is ever sent again by the pool:
// a call whose connection fails ends with what is known about its effect, and
// whoever made it decides.
//
// Answers that nobody waits for: one that comes before a call's own is dropped
// if it is a whole answer to an earlier call of the same connection, and the
// connection is not used again. Any other answer to another request, a head in
// which two answers run into each other, and bytes on an idle connection or
// after a complete answer, also the beginning of a further one, end the
// connection: the order of its bytes cannot be trusted any more.

#ifndef IO_CHANNEL_POOL_H
#define IO_CHANNEL_POOL_H

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <QTimer>

#include "absl/container/flat_hash_map.h"

#include "io/http_reply_parser.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// A connection that is not made in so long is given up; a lost packet's repeat
// comes after a second or more, and another upstream answers sooner.
constexpr duration connect_timeout = std::chrono::milliseconds(350);
// An idle connection without a stated limit is closed by its peer soon.
constexpr duration unstated_idle_limit = std::chrono::milliseconds(300);
// The part of a stated limit for which an idle connection is used again, so
// that a request does not cross its closing.
constexpr double idle_limit_part = 0.75;
// Answers to others that are dropped before a call's own.
constexpr int max_foreign_answers = 3;
// Earlier calls of a connection whose answers are recognised if they are
// repeated.
constexpr size_t max_remembered_calls = 8;
// Bytes on a connection before the head of a call's own answer; a peer that
// sends more is not going to answer.
constexpr size_t max_bytes_before_answer = size_t{256} << 10;

enum class reply_verdict {
  Own,     // the answer to this call
  Foreign, // another call's answer; this call's own may follow
  Invalid, // the connection can't be trusted
};

class call_handler {
public:
  virtual ~call_handler() = default;
  virtual reply_verdict onHead(const http_reply_head &Head) = 0;
  // Returns the id of the request that the answer belongs to; empty if it is
  // not stated. Called for foreign answers.
  virtual std::string requestIdOf(const http_reply_head & /*Head*/) const {
    return {};
  }
  virtual void onData(std::string &&Data) = 0;
  virtual void onEnd() = 0;
  virtual void onFailed(attempt_failure Failure, const std::string &Why) = 0;
};

struct call_options {
  int MaxConnections = 1000; // to this address
  bool HeadOnly = false;     // the answer has no body
  std::string Id = {};       // as returned by call_handler::requestIdOf
  bool Fresh = false;        // on a connection that was not used before
};

class channel_pool {
public:
  explicit channel_pool(duration ConnectTimeout = connect_timeout);
  ~channel_pool();
  channel_pool(const channel_pool &) = delete;
  channel_pool &operator=(const channel_pool &) = delete;

  // Handler is kept until the call has ended. It is never called from within
  // `start` or `cancel`.
  call_id start(const address &To, std::string_view Bytes,
                const call_options &Options,
                std::shared_ptr<call_handler> Handler);
  void cancel(call_id Call);
  // Stops and goes on reading a call's answer.
  void setReading(call_id Call, bool Enabled);

  size_t idleConnections() const;
  int64_t connectionsMade() const { return Made; }

private:
  class channel;
  friend class channel;
  struct site {
    std::vector<std::unique_ptr<channel>> Idle; // the last one was used last
    int Open = 0;                               // idle ones included
  };

  std::unique_ptr<channel> takeIdle(site &Site);
  void settle(channel *Channel, bool Reusable);
  void failLater(call_id Call, std::shared_ptr<call_handler> Handler,
                 const char *Why);
  void checkTimes();
  void bury(std::unique_ptr<channel> Channel);

  duration ConnectTimeout;
  absl::flat_hash_map<address, site> Sites;
  absl::flat_hash_map<call_id, std::unique_ptr<channel>> Active;
  // Channels that ended within their own callbacks.
  std::vector<std::unique_ptr<channel>> Dead;
  int64_t LastCall = 0;
  int64_t Made = 0;
  QTimer Watchdog;
};

} // namespace monsoonreel

#endif // IO_CHANNEL_POOL_H
