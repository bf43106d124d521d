// A pool, a server whose answers a test chooses, and a handler that records
// what becomes of a call.

#ifndef IO_TESTING_CHANNEL_POOL_FIXTURE_H
#define IO_TESTING_CHANNEL_POOL_FIXTURE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include "io/channel_pool.h"
#include "io/testing/raw_server.h"
#include "io/testing/wait.h"

namespace monsoonreel {

// Records what becomes of a call. Answers are told apart by the field "Id".
class recorder : public call_handler {
public:
  explicit recorder(std::string Wanted) : Id(std::move(Wanted)) {}

  reply_verdict onHead(const http_reply_head &Head) override {
    const std::string *Echo = Head.header("Id");
    if (!Echo)
      return reply_verdict::Invalid;
    if (*Echo != Id)
      return reply_verdict::Foreign;
    Status = Head.Status;
    IsFirst = Head.IsFirst;
    EndsWithConnection = Head.EndsWithConnection;
    return reply_verdict::Own;
  }
  std::string requestIdOf(const http_reply_head &Head) const override {
    return *Head.header("Id");
  }
  void onData(std::string &&Data) override {
    Body += Data;
    if (OnBody)
      OnBody();
  }
  void onEnd() override { Ended = true; }
  void onFailed(attempt_failure How, const std::string & /*Why*/) override {
    Failure = How;
  }
  bool isOver() const { return Ended || Failure; }

  std::function<void()> OnBody;
  std::string Id;
  int Status = 0;
  std::string Body;
  bool IsFirst = false;
  bool EndsWithConnection = false;
  bool Ended = false;
  std::optional<attempt_failure> Failure;
};

class channel_pool_test : public testing::Test {
protected:
  static std::string request(const std::string &Id) {
    return "POST /x HTTP/1.1\r\nHost: h\r\nId: " + Id +
           "\r\nContent-Length: 2\r\n\r\nhi";
  }
  static std::string answer(const std::string &Id, const std::string &Body,
                            const std::string &Fields = "") {
    return "HTTP/1.1 200 OK\r\nId: " + Id + "\r\n" + Fields +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  // Its connection is not kept.
  static std::string failure(const std::string &Id) {
    return "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nId: " +
           Id + "\r\nContent-Length: 6\r\n\r\nfailed";
  }
  std::shared_ptr<recorder> start(const std::string &Id,
                                  call_options Options = {}) {
    auto Call = std::make_shared<recorder>(Id);
    Options.Id = Id;
    LastCall = Pool.start(Server.at(), request(Id), Options, Call);
    return Call;
  }
  std::shared_ptr<recorder> run(const std::string &Id) {
    auto Call = start(Id);
    EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
    return Call;
  }
  // Has a call answered on a connection that is kept.
  void runFirst(const std::string &Id) {
    answerWith(answer(Id, "first", "Keep-Alive: timeout=5\r\n"));
    EXPECT_TRUE(run(Id)->Ended);
  }
  // Answers every request with these bytes, then does Then.
  void answerWith(std::string Bytes,
                  const std::function<void(QTcpSocket *)> &Then = nullptr) {
    Server.OnRequest = [Bytes = std::move(Bytes), Then](QTcpSocket *Socket) {
      Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
      Socket->flush();
      if (Then)
        Then(Socket);
    };
  }
  static void reset(QTcpSocket *Socket) {
    linger Now{1, 0};
    ::setsockopt(static_cast<int>(Socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &Now, sizeof(Now));
    Socket->abort();
  }

  raw_server Server;
  channel_pool Pool;
  call_id LastCall;
};

} // namespace monsoonreel

#endif // IO_TESTING_CHANNEL_POOL_FIXTURE_H
