#include "routing/feed_packing.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class feed_packing_test : public testing::Test {
protected:
  static wire::feed_news news(size_t Routes) {
    wire::feed_record Record;
    Record.Offset = 6;
    Record.Key = "config";
    std::string Value;
    for (size_t I = 0; I < Routes; ++I)
      Value += R"({"host": "app.example", "pathPrefix": "/route)" +
               std::to_string(I) + R"(/", "timeoutMs": 1500},)";
    Record.__set_Value(Value);
    wire::feed_news News;
    News.Feed = "op";
    News.From = 5;
    News.End = 7;
    News.Records = {Record};
    return News;
  }
};

TEST_F(feed_packing_test, News_Large_ArePackedAndUnpackedUnchanged) {
  wire::feed_news News = news(300);
  wire::feed_news Packed = packNews(News);
  EXPECT_LT(sizeOf(Packed), sizeOf(News) / 4);
  auto Unpacked = unpackNews(Packed);
  ASSERT_TRUE(Unpacked);
  EXPECT_TRUE(*Unpacked == News);
}

TEST_F(feed_packing_test, News_Small_StayAsTheyAre) {
  wire::feed_news News = news(1);
  EXPECT_TRUE(packNews(News) == News);
  EXPECT_FALSE(unpackNews(News));
}

// An entry of an earlier version, which cannot unpack them, treats packed news
// as a gap and reads the store.
TEST_F(feed_packing_test, News_Packed_ReadAsAGapWithoutUnpacking) {
  wire::feed_news Packed = packNews(news(300));
  EXPECT_EQ(Packed.From, Packed.End);
  EXPECT_TRUE(Packed.Records.empty());
  EXPECT_FALSE(Packed.Whole);
}

TEST_F(feed_packing_test, News_Damaged_AreNotUnpacked) {
  wire::feed_news Packed = packNews(news(300));
  wire::feed_news Short = Packed;
  Short.Packed.resize(3);
  EXPECT_FALSE(unpackNews(Short));
  wire::feed_news Cut = Packed;
  Cut.Packed.resize(Cut.Packed.size() / 2);
  EXPECT_FALSE(unpackNews(Cut));
  wire::feed_news Huge = Packed;
  Huge.Packed[0] = '\x7f'; // claims to hold 2 GB
  EXPECT_FALSE(unpackNews(Huge));
  wire::feed_news Other = Packed;
  Other.End = 8;
  EXPECT_FALSE(unpackNews(Other));
}

} // namespace
} // namespace monsoonreel
