#include <algorithm>
#include <array>
#include <map>
#include <type_traits>

#include "wire/fields.h"
#include "wire/messages.h"
#include "wire/msgpack_library.h"

namespace bulrushgw::wire {

namespace {

/// Appends msgpack values to a string and counts them.
class writer {
public:
    explicit writer(std::string& out) : sink_{out}, packer_(sink_) {}

    [[nodiscard]] std::size_t value_count() const { return value_count_; }

    void array(std::size_t size)
    {
        ++value_count_;
        packer_.pack_array(static_cast<std::uint32_t>(size));
    }

    template <typename T>
    void value(const T& from)
    {
        if constexpr (detail::has_fields<T>) {
            write_fields(from);
        }
        else if constexpr (detail::is_id<T>) {
            value(from.value);
        }
        else if constexpr (std::is_enum_v<T>) {
            value(static_cast<std::uint64_t>(from));
        }
        else {
            ++value_count_;
            packer_.pack(from);
        }
    }

    void value(milliseconds from)
    {
        const auto bounded = std::clamp(from, milliseconds{0}, max_duration);
        value(static_cast<std::uint64_t>(bounded.count()));
    }

    void value(const ownership::gossip_item& from)
    {
        array(2);
        value(static_cast<std::uint64_t>(from.index()));
        std::visit([this](const auto& item) { this->value(item); }, from);
    }

    template <typename T>
    void value(const std::vector<T>& from)
    {
        array(from.size());
        for (const auto& item : from) {
            value(item);
        }
    }

    template <typename First, typename Second>
    void value(const std::pair<First, Second>& from)
    {
        array(2);
        value(from.first);
        value(from.second);
    }

    template <typename Key, typename Value>
    void value(const std::map<Key, Value>& from)
    {
        array(from.size());
        for (const auto& item : from) {
            value(std::pair<Key, Value>(item));
        }
    }

private:
    template <typename T>
    void write_fields(const T& from)
    {
        const auto members = detail::fields(from);
        array(std::tuple_size_v<std::remove_const_t<decltype(members)>>);
        std::apply([this](const auto&... member) { (this->value(member), ...); }, members);
    }

    struct sink {
        std::string& out;
        void write(const char* bytes, std::size_t size) { out.append(bytes, size); }
    };

    sink sink_;
    msgpack::packer<sink> packer_;
    std::size_t value_count_ = 0;
};

std::uint64_t message_type(const body& content)
{
    if (const auto* message = std::get_if<ownership::message>(&content)) {
        return message->index();
    }
    return detail::first_non_ownership_type + content.index() - 1;
}

struct content_writer {
    writer& out;
    void operator()(const ownership::message& message) const { std::visit(*this, message); }
    template <typename T>
    void operator()(const T& message) const
    {
        out.value(message);
    }
};

void write_length_prefix(std::string& bytes)
{
    const auto size = bytes.size() - length_bytes;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        bytes[i] = static_cast<char>((size >> (8 * (length_bytes - 1 - i))) & 0xff);
    }
}

} // namespace

std::string encode(const frame& frame)
{
    std::string bytes(length_bytes, '\0');
    writer out(bytes);
    out.array(3);
    out.value(static_cast<std::uint64_t>(protocol_version));
    out.value(message_type(frame.content));
    out.array(4);
    out.value(frame.from);
    out.value(frame.to);
    out.value(frame.reply_address);
    std::visit(content_writer{out}, frame.content);
    if (bytes.size() - length_bytes > max_frame_bytes || out.value_count() > max_frame_values) {
        throw frame_error("frame of " + std::to_string(bytes.size() - length_bytes) +
                          " bytes and " + std::to_string(out.value_count()) +
                          " values is above the limit");
    }
    write_length_prefix(bytes);
    return bytes;
}

std::string_view type_name(std::size_t index)
{
    static constexpr std::array<std::string_view, std::variant_size_v<body>> names{
        "ownership",         "forward",
        "forward_reply",     "cancel",
        "rules_pull",        "rules_text",
        "failure",           "report",
        "report_reply",      "leader_hint",
        "directory",         "lead_request",
        "no_replies",        "probe",
        "probe_reply",       "confirm_request",
        "leadership_notice", "leadership_transfer",
        "forward_part",      "forward_credit"};
    return names.at(index);
}

std::size_t decode_length(const char* bytes)
{
    std::size_t result = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        result = (result << 8) | static_cast<unsigned char>(bytes[i]);
    }
    return result;
}

} // namespace bulrushgw::wire
