#include "monsoonreel/address.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class address_test : public testing::Test {};

TEST_F(address_test, IpAndPort_OfBothFamilies_AreTakenApart) {
  auto V4 = splitAddress(address("10.0.0.1:7200"));
  ASSERT_TRUE(V4);
  EXPECT_EQ(V4->Host, "10.0.0.1");
  EXPECT_EQ(V4->Port, 7200);
  auto V6 = splitAddress(address("[::1]:7200"));
  ASSERT_TRUE(V6);
  EXPECT_EQ(V6->Host, "::1");
  EXPECT_EQ(V6->Port, 7200);
}

TEST_F(address_test, Ipv6_WithoutBrackets_IsRefused) {
  // The port can't be distinguished from the last group of the address.
  EXPECT_FALSE(isAddress("::1:7200"));
  EXPECT_FALSE(isAddress("fe80::1:2:3:4:7200"));
}

TEST_F(address_test, NoIpOrNoPort_IsRefused) {
  for (const char *Text :
       {"", ":", "[]:1", "[:1", "host:1", "[10.0.0.1]:1", "10.0.0.1",
        "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:7x"})
    EXPECT_FALSE(isAddress(Text)) << Text;
}

} // namespace
} // namespace monsoonreel
