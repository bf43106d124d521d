// Connections whose end matters: resets, and answers before the request is
// read.

#include <array>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include "io/testing/channel_pool_fixture.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

// A listener of the system's own: Qt's sockets can't tell a reset from an
// orderly end.
class plain_listener {
public:
  plain_listener() : Listening(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(At);
    (void)::bind(Listening, reinterpret_cast<sockaddr *>(&At), Size);
    ::listen(Listening, 1);
    ::getsockname(Listening, reinterpret_cast<sockaddr *>(&At), &Size);
    Port = ntohs(At.sin_port);
  }
  ~plain_listener() {
    ::close(Accepted);
    ::close(Listening);
  }
  plain_listener(const plain_listener &) = delete;
  plain_listener &operator=(const plain_listener &) = delete;

  address at() const { return address("127.0.0.1:" + std::to_string(Port)); }
  // Of connections that are accepted later.
  void setReceiveBuffer(int Bytes) const {
    ::setsockopt(Listening, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }
  void accept() {
    close();
    Accepted = ::accept(Listening, nullptr, nullptr);
  }
  void write(const std::string &Bytes) const {
    EXPECT_EQ(::send(Accepted, Bytes.data(), Bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Bytes.size()));
  }
  // Reads what has arrived.
  size_t read() const {
    std::array<char, 4096> Buffer;
    ssize_t Size = 0;
    size_t All = 0;
    while ((Size = ::recv(Accepted, Buffer.data(), Buffer.size(),
                          MSG_DONTWAIT)) > 0)
      All += static_cast<size_t>(Size);
    return All;
  }
  void endWriting() const { ::shutdown(Accepted, SHUT_WR); }
  // Resets the connection if it has unread bytes.
  void close() { ::close(std::exchange(Accepted, -1)); }
  void reset() {
    linger Now{1, 0};
    ::setsockopt(Accepted, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    close();
  }
  // 0 after an orderly end, the error's number after another one.
  std::optional<int> ending() const {
    char Byte = 0;
    ssize_t Size = ::recv(Accepted, &Byte, 1, MSG_DONTWAIT);
    if (Size == 0)
      return 0;
    if (Size < 0 && errno != EAGAIN)
      return errno;
    return std::nullopt;
  }

private:
  int Listening;
  int Accepted = -1;
  uint16_t Port = 0;
};

class early_answer_test : public channel_pool_test {
protected:
  static constexpr size_t upload_bytes = size_t{4} << 20;

  early_answer_test() { Peer.setReceiveBuffer(4096); }
  // Begins an upload that the kernel's buffers can't hold.
  std::shared_ptr<recorder> upload() {
    auto Call = std::make_shared<recorder>("a");
    Pool.start(
        Peer.at(),
        "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(upload_bytes) +
            "\r\n\r\n" + std::string(upload_bytes, 'x'),
        {}, Call);
    Peer.accept();
    waitUntil([] { return false; }, 20ms);
    return Call;
  }
  static void expectTruncated(const std::shared_ptr<recorder> &Call) {
    EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
    EXPECT_EQ(Call->Failure, attempt_failure::Truncated);
    EXPECT_FALSE(Call->Ended);
  }

  const std::string Unframed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart";
  plain_listener Peer;
};

// Guards against a part of an answer that passes for a whole one: the write of
// the upload's rest took the reset's error, and the next read saw an orderly
// end (review/7).
TEST_F(early_answer_test, Unframed_ConnectionReset_IsTruncated) {
  for (bool HasUnread : {true, false}) {
    auto Call = upload();
    Peer.write(Unframed);
    if (!HasUnread)
      Peer.read();
    Peer.reset();
    expectTruncated(Call);
  }
}

TEST_F(early_answer_test, Unframed_ClosedWithUnreadBytes_IsTruncated) {
  auto Call = upload();
  Peer.write(Unframed);
  Peer.close();
  expectTruncated(Call);
}

// The end comes first, and the reset only answers further bytes.
TEST_F(early_answer_test, Unframed_EndsAndIsThenReset_IsTruncated) {
  for (bool Closes : {true, false}) {
    auto Call = upload();
    Peer.write(Unframed);
    Peer.read();
    Peer.endWriting();
    if (Closes) {
      Peer.close();
    } else {
      waitUntil([&] { return Call->isOver(); }, 50ms);
      EXPECT_FALSE(Call->isOver());
      Peer.reset();
    }
    expectTruncated(Call);
  }
}

TEST_F(early_answer_test, Unframed_UploadIsReadOn_IsWhole) {
  auto Call = upload();
  Peer.write(Unframed);
  Peer.endWriting();
  EXPECT_TRUE(waitUntil([&] {
    Peer.read();
    return Call->isOver();
  }));
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Call->Body, "part");
}

TEST_F(early_answer_test, WholeLength_ConnectionReset_IsWhole) {
  auto Call = upload();
  Peer.write(answer("a", "whole"));
  Peer.reset();
  EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Call->Body, "whole");
  EXPECT_EQ(Pool.idleConnections(), 0u);
}

// A cut holds bytes up and delivers them when it heals, unless their sender has
// reset the connection.
TEST_F(channel_pool_test, Call_Cancelled_ResetsItsConnection) {
  plain_listener Peer;
  auto Call = std::make_shared<recorder>("a");
  call_id Number = Pool.start(Peer.at(), request("a"), {}, Call);
  Peer.accept();
  Pool.cancel(Number);
  std::optional<int> Ending;
  EXPECT_TRUE(waitUntil([&] {
    Ending = Peer.ending();
    return Ending.has_value();
  }));
  EXPECT_EQ(Ending, ECONNRESET);
}

} // namespace
} // namespace monsoonreel
