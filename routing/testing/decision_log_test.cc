#include "routing/decision_log.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class decision_log_test : public testing::Test {};

TEST_F(decision_log_test, Line_Fields_AreNamed) {
  EXPECT_EQ(decision("sent")
                .add("request", "ab12")
                .add("age", duration(1500ms))
                .add("count", 3)
                .line(log_level::Info)
                .Text,
            "event=sent request=ab12 age_ms=1500 count=3");
}

TEST_F(decision_log_test, Value_WithSpacesOrQuotes_IsQuoted) {
  EXPECT_EQ(decision("x").add("why", "a \"b\"\n").line(log_level::Info).Text,
            "event=x why=\"a \\\"b\\\"?\"");
  EXPECT_EQ(decision("x").add("why", "").line(log_level::Info).Text,
            "event=x why=\"\"");
}

TEST_F(decision_log_test, Value_VeryLong_IsCut) {
  EXPECT_LT(decision("x")
                .add("id", std::string(100000, 'a'))
                .line(log_level::Info)
                .Text.size(),
            300u);
}

} // namespace
} // namespace monsoonreel
