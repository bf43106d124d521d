#include "io/datagram_port.h"

#include <vector>

#include <gtest/gtest.h>

#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

class recorder : public event_sink {
public:
  void post(event_body Event) override {
    Received.push_back(std::get<peer_message_received>(Event));
  }
  std::vector<peer_message_received> Received;
};

class datagram_port_test : public testing::Test {
protected:
  static address freeAddress() {
    QUdpSocket Probe;
    Probe.bind(QHostAddress::LocalHost, 0);
    return address("127.0.0.1:" + std::to_string(Probe.localPort()));
  }
  void SetUp() override {
    ASSERT_TRUE(A.bind());
    ASSERT_TRUE(B.bind());
  }
  static wire::peer_message report(int64_t Sequence) {
    wire::entry_report Report;
    Report.Sequence = Sequence;
    return Report;
  }

  address AddressA = freeAddress();
  address AddressB = freeAddress();
  recorder AtA;
  recorder AtB;
  datagram_port A{AddressA, AtA};
  datagram_port B{AddressB, AtB};
};

TEST_F(datagram_port_test, Message_Sent_ArrivesWithItsSendersAddress) {
  A.send({AddressB, AddressA}, report(7));
  ASSERT_TRUE(waitUntil([&] { return !AtB.Received.empty(); }));
  EXPECT_EQ(AtB.Received[0].FromAddress, AddressA);
  EXPECT_EQ(std::get<wire::entry_report>(AtB.Received[0].Message).Sequence, 7);
  EXPECT_EQ(A.takeUnsent(), 0);
}

TEST_F(datagram_port_test, Message_TooLargeForADatagram_IsCountedAsUnsent) {
  wire::entry_report Large;
  Large.DutyHolder = std::string(max_datagram_bytes, 'x');
  A.send({AddressB}, Large);
  EXPECT_EQ(A.takeUnsent(), 1);
}

TEST_F(datagram_port_test, Address_IsNone_IsCountedAsUnsent) {
  A.send({address("nowhere")}, report(1));
  EXPECT_EQ(A.takeUnsent(), 1);
}

TEST_F(datagram_port_test, Datagram_WithoutAMessage_IsCountedAndDropped) {
  QUdpSocket Stranger;
  auto Parts = splitAddress(AddressB);
  Stranger.writeDatagram("garbage", QHostAddress::LocalHost, Parts->Port);
  int64_t Unreadable = 0;
  ASSERT_TRUE(
      waitUntil([&] { return (Unreadable += B.takeUnreadable()) > 0; }));
  EXPECT_EQ(Unreadable, 1);
  EXPECT_TRUE(AtB.Received.empty());
}

TEST_F(datagram_port_test, Port_InUse_CantBeBound) {
  datagram_port Second(AddressA, AtA);
  EXPECT_FALSE(Second.bind());
}

} // namespace
} // namespace monsoonreel
