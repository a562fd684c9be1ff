#pragma once

/// Streaming compression of one direction of a connection. Each frame is compressed against the
/// frames sent before it, because frames to the same peer repeat header names, routes and
/// directories. Compression is worthwhile because traffic between availability zones is expensive.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "common/errors.h"

namespace bulrushgw::net::detail {

/// The stream cannot be initialized, its bytes are invalid, or they decompress to more than the
/// limit.
struct stream_error : error {
    using error::error;
};

/// The compressing end of a stream. Not thread-safe.
class stream_compressor {
public:
    /// `dictionary` is text that is likely to occur in the stream, with the most likely text at the
    /// end. It makes the first frames compress well too. The decompressor must use the same
    /// dictionary. Throws `stream_error`.
    explicit stream_compressor(std::string_view dictionary = {});
    ~stream_compressor();
    stream_compressor(stream_compressor&&) noexcept;
    stream_compressor& operator=(stream_compressor&&) noexcept;
    stream_compressor(const stream_compressor&) = delete;
    stream_compressor& operator=(const stream_compressor&) = delete;

    /// Compresses `plain` and returns the next bytes of the stream. The stream is flushed: the
    /// receiver can decompress all of `plain` without further bytes.
    std::string compress(std::string_view plain);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// The decompressing end of a stream. Not thread-safe.
class stream_decompressor {
public:
    /// Throws `stream_error`.
    explicit stream_decompressor(std::string_view dictionary = {});
    ~stream_decompressor();
    stream_decompressor(stream_decompressor&&) noexcept;
    stream_decompressor& operator=(stream_decompressor&&) noexcept;
    stream_decompressor(const stream_decompressor&) = delete;
    stream_decompressor& operator=(const stream_decompressor&) = delete;

    /// Decompresses `compressed`, the next bytes of the stream, and appends the result to `plain`.
    /// Throws `stream_error` for invalid bytes, and when `plain` grows beyond `max_plain_bytes`
    /// bytes.
    void decompress(std::string_view compressed, std::string& plain, std::size_t max_plain_bytes);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net::detail
