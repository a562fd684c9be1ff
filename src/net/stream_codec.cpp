#include "net/stream_codec.h"

#include <algorithm>
#include <array>

#include <zlib.h>

namespace bulrushgw::net::detail {

namespace {

/// 8 KiB of history: a few frames of each kind. With the memory level it takes
/// about 64 KiB for a connection out and 16 KiB for one in.
constexpr int window_bits = 13;
constexpr int memory_level = 6;
/// Raw deflate: TCP has its own check sums.
constexpr int raw = -1;
constexpr std::size_t chunk_bytes = 4096;

Bytef* bytes_of(std::string_view text)
{
    // zlib reads through a pointer that is not const.
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

} // namespace

struct stream_compressor::state {
    z_stream stream{};
    explicit state(std::string_view dictionary)
    {
        if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, raw * window_bits, memory_level,
                         Z_DEFAULT_STRATEGY) != Z_OK) {
            throw stream_error("cannot begin a compressed stream");
        }
        if (!dictionary.empty()) {
            deflateSetDictionary(&stream, bytes_of(dictionary),
                                 static_cast<uInt>(dictionary.size()));
        }
    }
    ~state() { deflateEnd(&stream); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
};

stream_compressor::stream_compressor(std::string_view dictionary)
    : state_(std::make_unique<state>(dictionary))
{
}

stream_compressor::~stream_compressor() = default;
stream_compressor::stream_compressor(stream_compressor&&) noexcept = default;
stream_compressor& stream_compressor::operator=(stream_compressor&&) noexcept = default;

std::string stream_compressor::compress(std::string_view plain)
{
    z_stream& stream = state_->stream;
    std::string packed;
    std::array<char, chunk_bytes> chunk{};
    stream.next_in = bytes_of(plain);
    stream.avail_in = static_cast<uInt>(plain.size());
    do {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk_bytes;
        deflate(&stream, Z_SYNC_FLUSH);
        packed.append(chunk.data(), chunk_bytes - stream.avail_out);
    } while (stream.avail_out == 0);
    return packed;
}

struct stream_expander::state {
    z_stream stream{};
    explicit state(std::string_view dictionary)
    {
        if (inflateInit2(&stream, raw * window_bits) != Z_OK) {
            throw stream_error("cannot begin to read a compressed stream");
        }
        if (!dictionary.empty()) {
            inflateSetDictionary(&stream, bytes_of(dictionary),
                                 static_cast<uInt>(dictionary.size()));
        }
    }
    ~state() { inflateEnd(&stream); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
};

stream_expander::stream_expander(std::string_view dictionary)
    : state_(std::make_unique<state>(dictionary))
{
}

stream_expander::~stream_expander() = default;
stream_expander::stream_expander(stream_expander&&) noexcept = default;
stream_expander& stream_expander::operator=(stream_expander&&) noexcept = default;

void stream_expander::expand(std::string_view packed, std::string& plain, std::size_t most)
{
    z_stream& stream = state_->stream;
    std::array<char, chunk_bytes> chunk{};
    stream.next_in = bytes_of(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    do {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk_bytes;
        const int result = inflate(&stream, Z_SYNC_FLUSH);
        if (result != Z_OK && result != Z_BUF_ERROR) {
            throw stream_error("the stream is not compressed as expected");
        }
        plain.append(chunk.data(), chunk_bytes - stream.avail_out);
        if (plain.size() > most) {
            throw stream_error("the stream expands beyond the limit");
        }
    } while (stream.avail_out == 0);
}

} // namespace bulrushgw::net::detail
