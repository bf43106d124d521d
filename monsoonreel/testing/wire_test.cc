#include "monsoonreel/wire.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class wire_test : public ::testing::Test {
protected:
  static std::string encodedAsk() {
    wire::slot_ask Ask;
    Ask.Ask = 7;
    Ask.Pool = "chat-small";
    Ask.TimeLeftMicros = 350000;
    return encodeMessage(Ask);
  }
};

TEST_F(wire_test, SlotAsk_EncodedAndDecoded_IsUnchanged) {
  auto Decoded = decodeMessage(encodedAsk());
  ASSERT_TRUE(Decoded);
  const auto &Ask = std::get<wire::slot_ask>(*Decoded);
  EXPECT_EQ(Ask.Ask, 7);
  EXPECT_EQ(Ask.Pool, "chat-small");
  EXPECT_EQ(Ask.TimeLeftMicros, 350000);
}

TEST_F(wire_test, Message_EveryTruncation_NeverCrashes) {
  std::string Frame = encodedAsk();
  for (size_t Size = 0; Size < Frame.size(); ++Size)
    decodeMessage(Frame.substr(0, Size));
}

TEST_F(wire_test, Message_EveryByteReplaced_NeverCrashes) {
  std::string Frame = encodedAsk();
  for (size_t Place = 0; Place < Frame.size(); ++Place)
    for (int Byte = 0; Byte < 256; ++Byte) {
      std::string Hostile = Frame;
      Hostile[Place] = static_cast<char>(Byte);
      decodeMessage(Hostile);
    }
}

TEST_F(wire_test, Message_HugeStringLength_IsAnError) {
  // Field 2 of slot_ask (a string) with a length of 2^31 - 1.
  std::string Frame = encodedAsk().substr(0, 1);
  Frame += std::string("\x28\xff\xff\xff\xff\x07", 6);
  EXPECT_FALSE(decodeMessage(Frame));
}

TEST_F(wire_test, Message_UnknownNumber_IsAnError) {
  EXPECT_FALSE(decodeMessage(std::string(1, '\x7f')));
  EXPECT_FALSE(decodeMessage(std::string()));
}

} // namespace
} // namespace monsoonreel
