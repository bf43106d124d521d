#include "routing/feed_packing.h"

#include <utility>

#include <QByteArray>
#include <QtEndian>

namespace monsoonreel {

namespace {

// qCompress() prepends the uncompressed length to its output.
constexpr qsizetype length_bytes = 4;

} // namespace

size_t sizeOf(const wire::feed_news &News) {
  size_t Bytes = News.Packed.size();
  for (const wire::feed_record &Record : News.Records)
    Bytes += Record.Key.size() + Record.Value.size();
  return Bytes;
}

wire::feed_news gapNewsFor(const wire::feed_news &News) {
  wire::feed_news Gap;
  Gap.Feed = News.Feed;
  Gap.From = Gap.End = News.End;
  Gap.AfterOutage = News.AfterOutage;
  Gap.Era = News.Era;
  return Gap;
}

wire::feed_news packNews(wire::feed_news News) {
  if (sizeOf(News) < min_packed_bytes)
    return News;
  std::string Bytes = encodeFeedNews(News);
  QByteArray Packed = qCompress(QByteArray::fromRawData(
      Bytes.data(), static_cast<qsizetype>(Bytes.size())));
  wire::feed_news Packet = gapNewsFor(News);
  Packet.__set_Packed(Packed.toStdString());
  return Packet;
}

std::optional<wire::feed_news> unpackNews(const wire::feed_news &News) {
  if (!News.__isset.Packed)
    return std::nullopt;
  auto Packed = QByteArray::fromStdString(News.Packed);
  if (Packed.size() < length_bytes ||
      qFromBigEndian<quint32>(Packed.constData()) > max_frame_bytes)
    return std::nullopt;
  auto Unpacked = decodeFeedNews(qUncompress(Packed).toStdString());
  if (!Unpacked || Unpacked->End != News.End || Unpacked->Feed != News.Feed ||
      Unpacked->Era != News.Era)
    return std::nullopt;
  return std::move(*Unpacked);
}

} // namespace monsoonreel
