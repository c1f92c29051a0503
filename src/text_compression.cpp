// Compression of text; see text_compression_p.h.
#include "text_compression_p.h"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace foxtaildyke
{

std::string compressText(std::string_view text)
{
    auto size = compressBound(text.size());
    std::string data(size, '\0');
    // A failure is impossible: the buffer has the largest possible size. Speed matters more than the last bytes.
    compress2(reinterpret_cast<Bytef *>(data.data()), &size, reinterpret_cast<const Bytef *>(text.data()), text.size(),
              Z_BEST_SPEED);
    data.resize(size);
    return data;
}

std::optional<std::string> decompressText(std::string_view data, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(data.data())); // not modified
    stream.avail_in = static_cast<uInt>(data.size());
    std::string text;
    std::array<char, 32768> chunk{};
    int status = Z_OK;
    while (status == Z_OK && text.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    return status == Z_STREAM_END && text.size() <= maxBytes ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace foxtaildyke
