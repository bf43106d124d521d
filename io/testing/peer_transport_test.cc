#include "io/peer_transport.h"

#include <vector>

#include <QDataStream>
#include <QtEndian>

#include <gtest/gtest.h>

#include "io/testing/free_port.h"
#include "io/testing/raw_client.h"
#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

wire::peer_message probe(int64_t Nonce) {
  wire::heartbeat Heartbeat;
  Heartbeat.Nonce = Nonce;
  return Heartbeat;
}

class recorder : public event_sink {
public:
  void post(event_body Event) override {
    Received.push_back(std::get<peer_message_received>(Event));
  }
  bool has(int64_t Nonce) const {
    for (const peer_message_received &Message : Received)
      if (std::get<wire::heartbeat>(Message.Message).Nonce == Nonce)
        return true;
    return false;
  }
  std::vector<peer_message_received> Received;
};

class peer_transport_test : public testing::Test {
protected:
  static node_identity identity(const std::string &Name) {
    node_identity Identity;
    Identity.Name = node_name(Name);
    Identity.Address = freeLoopback();
    return Identity;
  }
  void SetUp() override {
    ASSERT_TRUE(A->listen());
    ASSERT_TRUE(B->listen());
  }
  // A message and its answer.
  void exchangeMessages(int64_t Nonce) {
    A->send(IdentityB.Address, probe(Nonce));
    ASSERT_TRUE(waitUntil([&] { return AtB.has(Nonce); }));
    B->send(IdentityA.Address, probe(Nonce + 1));
    ASSERT_TRUE(waitUntil([&] { return AtA.has(Nonce + 1); }));
  }
  uint16_t portOfB() const {
    const std::string &Text = IdentityB.Address.Value;
    return static_cast<uint16_t>(std::stoi(Text.substr(Text.find(':') + 1)));
  }

  node_identity IdentityA = identity("a");
  node_identity IdentityB = identity("b");
  recorder AtA;
  recorder AtB;
  std::unique_ptr<peer_transport> A =
      std::make_unique<peer_transport>(IdentityA, AtA);
  std::unique_ptr<peer_transport> B =
      std::make_unique<peer_transport>(IdentityB, AtB);
};

TEST_F(peer_transport_test, Message_AndItsAnswer_NameTheirSenders) {
  exchangeMessages(1);
  EXPECT_EQ(AtB.Received[0].From, IdentityA.Name);
  EXPECT_EQ(AtB.Received[0].FromAddress, IdentityA.Address);
  EXPECT_EQ(AtA.Received[0].FromAddress, IdentityB.Address);
}

TEST_F(peer_transport_test, Bytes_OfAKindOfMessage_AreCountedAtBothEnds) {
  exchangeMessages(1);
  constexpr size_t heartbeat_kind = 0;
  const message_bytes &Ours = A->traffic()[heartbeat_kind];
  const message_bytes &Theirs = B->traffic()[heartbeat_kind];
  EXPECT_GT(Ours.Sent, 0);
  EXPECT_EQ(Ours.Sent, Theirs.Received);
  EXPECT_EQ(Ours.Received, Theirs.Sent);
  EXPECT_EQ(A->traffic()[heartbeat_kind + 1].Sent, 0);
}

TEST_F(peer_transport_test, Link_OfAPeerThatIsGone_IsForgotten) {
  peer_transport Dialler(identity("c"), AtA, std::chrono::milliseconds(100));
  Dialler.send(IdentityB.Address, probe(1));
  ASSERT_TRUE(waitUntil([&] { return AtB.has(1); }));
  EXPECT_EQ(Dialler.linkCount(), 1U);
  B.reset();
  EXPECT_TRUE(waitUntil([&] { return Dialler.linkCount() == 0; }));
}

TEST_F(peer_transport_test, Link_ResetByEitherSide_CarriesItsNextMessage) {
  exchangeMessages(1);
  A->resetLink(IdentityB.Address);
  A->send(IdentityB.Address, probe(3));
  EXPECT_TRUE(waitUntil([&] { return AtB.has(3); }));
  B->resetLink(IdentityA.Address);
  B->send(IdentityA.Address, probe(4));
  EXPECT_TRUE(waitUntil([&] { return AtA.has(4); }));
}

TEST_F(peer_transport_test, Peer_Restarted_IsReachedAgain) {
  exchangeMessages(1);
  B.reset();
  B = std::make_unique<peer_transport>(IdentityB, AtB);
  ASSERT_TRUE(waitUntil([&] { return B->listen(); }));
  // Messages are lost while the old connection still counts as open.
  ASSERT_TRUE(waitUntil([&] {
    A->send(IdentityB.Address, probe(9));
    return AtB.has(9);
  }));
}

TEST_F(peer_transport_test, Frame_Hostile_ClosesOnlyItsConnection) {
  auto Length = [](uint32_t Value) {
    std::string Bytes(4, '\0');
    qToBigEndian(Value, Bytes.data());
    return Bytes;
  };
  const std::vector<std::string> Cases = {
      Length(0xffffffff),
      Length(max_hello_bytes + 1),
      Length(4) + "nope",
      Length(8) + std::string("\x7f\xff\xff\xff\x7f\xff\xff\xff", 8),
  };
  for (const std::string &Bytes : Cases) {
    raw_client Client(portOfB());
    Client.send(Bytes);
    EXPECT_TRUE(Client.waitForClose());
  }
  EXPECT_TRUE(AtB.Received.empty());
  exchangeMessages(1);
}

// Guards against connections without a hello that keep peers out.
TEST_F(peer_transport_test, Connections_AtTheLimit_UnnamedOneMakesPlace) {
  B->setLimits({.Connections = 1});
  raw_client Silent(portOfB());
  ASSERT_TRUE(Silent.isConnected());
  exchangeMessages(1);
  EXPECT_TRUE(Silent.waitForClose());
}

// Guards against unfinished frames that exceed the memory together.
TEST_F(peer_transport_test, Frames_Unfinished_AreBoundedInAll) {
  constexpr quint32 Half = max_frame_bytes / 2;
  B->setLimits({.HeldBytes = int64_t{3} * Half / 2});
  auto Begin = [&](raw_client &Client, const char *Port) {
    QByteArray Hello;
    QDataStream Stream(&Hello, QIODevice::WriteOnly);
    Stream << QByteArray("x") << QByteArray("127.0.0.1:") + Port;
    std::string Lengths(8, '\0');
    qToBigEndian(static_cast<quint32>(Hello.size()), Lengths.data());
    qToBigEndian(Half + 1, Lengths.data() + 4);
    Client.send(Lengths.substr(0, 4) + Hello.toStdString() + Lengths.substr(4) +
                std::string(Half, 'x'));
  };
  raw_client First(portOfB());
  raw_client Second(portOfB());
  Begin(First, "8");
  Begin(Second, "9");
  EXPECT_TRUE(
      waitUntil([&] { return !First.isConnected() || !Second.isConnected(); }));
  exchangeMessages(1);
}

TEST_F(peer_transport_test, Queue_OfAnUnreachablePeer_StaysBounded) {
  address Nowhere = identity("nobody").Address;
  for (int64_t I = 0; I < 10 * int64_t{max_queued_frames}; ++I)
    A->send(Nowhere, probe(I));
  EXPECT_GE(A->framesDropped(), 9 * int64_t{max_queued_frames});
}

} // namespace
} // namespace monsoonreel
