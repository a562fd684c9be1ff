#pragma once

/// Compression of one direction of a connection. Frames to the same peer repeat
/// header names, routes and directories, and bytes between availability zones are
/// dear; the codec remembers what it has sent.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "common/errors.h"

namespace bulrushgw::net::detail {

/// Bytes that are no continuation of the stream, or expand beyond the limit.
struct stream_error : error {
    using error::error;
};

/// Not thread-safe.
class stream_compressor {
public:
    /// `dictionary`: text that is likely to occur, the most likely last; repeats of it are
    /// small from the first frame on. The expander must have the same.
    explicit stream_compressor(std::string_view dictionary = {});
    ~stream_compressor();
    stream_compressor(stream_compressor&&) noexcept;
    stream_compressor& operator=(stream_compressor&&) noexcept;
    stream_compressor(const stream_compressor&) = delete;
    stream_compressor& operator=(const stream_compressor&) = delete;

    /// The bytes that follow on the connection; all of `plain` can be read from
    /// them and those before.
    std::string compress(std::string_view plain);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Not thread-safe.
class stream_expander {
public:
    explicit stream_expander(std::string_view dictionary = {});
    ~stream_expander();
    stream_expander(stream_expander&&) noexcept;
    stream_expander& operator=(stream_expander&&) noexcept;
    stream_expander(const stream_expander&) = delete;
    stream_expander& operator=(const stream_expander&) = delete;

    /// Appends what `packed` stands for to `plain`. Throws `stream_error`, also when
    /// `plain` would become longer than `most`.
    void expand(std::string_view packed, std::string& plain, std::size_t most);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net::detail
