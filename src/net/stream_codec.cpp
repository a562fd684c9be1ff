#include "net/stream_codec.h"

#include <algorithm>
#include <array>

#include <zlib.h>

namespace bulrushgw::net::detail {

namespace {

/// 8 KiB of history, which holds a few frames of each type. With `memory_level`, an outgoing
/// connection takes about 64 KiB and an incoming one 16 KiB.
constexpr int window_bits = 13;
constexpr int memory_level = 6;
/// zlib selects raw deflate by negative window bits. The checksum of the zlib format is not
/// needed, since TCP has its own.
constexpr int raw_deflate_sign = -1;
constexpr std::size_t chunk_bytes = 4096;

Bytef* zlib_bytes(std::string_view text)
{
    // zlib's input pointer is not const, but zlib only reads through it.
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

} // namespace

struct stream_compressor::state {
    z_stream stream{};
    explicit state(std::string_view dictionary)
    {
        if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, raw_deflate_sign * window_bits,
                         memory_level, Z_DEFAULT_STRATEGY) != Z_OK) {
            throw stream_error("cannot begin a compressed stream");
        }
        if (!dictionary.empty()) {
            deflateSetDictionary(&stream, zlib_bytes(dictionary),
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
    std::string compressed;
    std::array<char, chunk_bytes> chunk{};
    stream.next_in = zlib_bytes(plain);
    stream.avail_in = static_cast<uInt>(plain.size());
    do {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk_bytes;
        deflate(&stream, Z_SYNC_FLUSH);
        compressed.append(chunk.data(), chunk_bytes - stream.avail_out);
    } while (stream.avail_out == 0);
    return compressed;
}

struct stream_decompressor::state {
    z_stream stream{};
    explicit state(std::string_view dictionary)
    {
        if (inflateInit2(&stream, raw_deflate_sign * window_bits) != Z_OK) {
            throw stream_error("cannot begin to read a compressed stream");
        }
        if (!dictionary.empty()) {
            inflateSetDictionary(&stream, zlib_bytes(dictionary),
                                 static_cast<uInt>(dictionary.size()));
        }
    }
    ~state() { inflateEnd(&stream); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
};

stream_decompressor::stream_decompressor(std::string_view dictionary)
    : state_(std::make_unique<state>(dictionary))
{
}

stream_decompressor::~stream_decompressor() = default;
stream_decompressor::stream_decompressor(stream_decompressor&&) noexcept = default;
stream_decompressor& stream_decompressor::operator=(stream_decompressor&&) noexcept = default;

void stream_decompressor::decompress(std::string_view compressed, std::string& plain,
                                     std::size_t max_plain_bytes)
{
    z_stream& stream = state_->stream;
    std::array<char, chunk_bytes> chunk{};
    stream.next_in = zlib_bytes(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    do {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk_bytes;
        const int result = inflate(&stream, Z_SYNC_FLUSH);
        if (result != Z_OK && result != Z_BUF_ERROR) {
            throw stream_error("the stream is not compressed as expected");
        }
        plain.append(chunk.data(), chunk_bytes - stream.avail_out);
        if (plain.size() > max_plain_bytes) {
            throw stream_error("the stream expands beyond the limit");
        }
    } while (stream.avail_out == 0);
}

} // namespace bulrushgw::net::detail
