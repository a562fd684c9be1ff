#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <type_traits>

#include "wire/fields.h"
#include "wire/messages.h"
#include "wire/msgpack_library.h"

namespace bulrushgw::wire {

namespace {

constexpr std::uint64_t max_status = 999;

/// One msgpack value. The token of an array is followed by the tokens of its elements.
struct token {
    enum class kind : std::uint8_t { array, number, boolean, text };
    kind type = kind::number;
    std::uint32_t size = 0; ///< elements of an array, bytes of a text
    std::uint64_t number = 0;
    const char* text = nullptr;
};

/// Splits a frame into tokens without building msgpack objects. msgpack would allocate these by the
/// sizes that the frame announces, which may be far too large. Refuses value types that no message
/// contains.
struct token_collector : msgpack::null_visitor {
    std::vector<token> tokens;
    std::size_t depth = 0;

    bool add(token value)
    {
        if (tokens.size() >= max_frame_values) {
            return false;
        }
        tokens.push_back(value);
        return true;
    }

    bool start_array(std::uint32_t size)
    {
        return ++depth <= max_frame_depth && add({token::kind::array, size, 0, nullptr});
    }
    bool end_array()
    {
        --depth;
        return true;
    }
    bool visit_positive_integer(std::uint64_t value)
    {
        return add({token::kind::number, 0, value, nullptr});
    }
    bool visit_boolean(bool value)
    {
        return add({token::kind::boolean, 0, value ? 1U : 0U, nullptr});
    }
    bool visit_str(const char* text, std::uint32_t size)
    {
        return add({token::kind::text, size, 0, text});
    }
    // NOLINTBEGIN(readability-convert-member-functions-to-static)
    bool visit_nil() { return false; }
    bool visit_negative_integer(std::int64_t) { return false; }
    bool visit_float32(float) { return false; }
    bool visit_float64(double) { return false; }
    bool visit_bin(const char*, std::uint32_t) { return false; }
    bool visit_ext(const char*, std::uint32_t) { return false; }
    bool start_map(std::uint32_t) { return false; }
    // NOLINTEND(readability-convert-member-functions-to-static)
};

void check_version(const token& version)
{
    if (version.type == token::kind::number && version.number != protocol_version) {
        throw unknown_version("protocol version " + std::to_string(version.number) + ", expected " +
                              std::to_string(protocol_version));
    }
}

std::vector<token> tokenize(const char* bytes, std::size_t size)
{
    token_collector into;
    std::size_t parsed_bytes = 0;
    bool is_complete = false;
    try {
        is_complete = msgpack::parse(bytes, size, parsed_bytes, into);
    }
    catch (const msgpack::unpack_error&) {
        is_complete = false;
    }
    if (!is_complete) {
        // A later protocol version may use value types that this version does not accept, so the
        // version is reported first if it was read.
        if (into.tokens.size() > 1) {
            check_version(into.tokens[1]);
        }
        throw frame_error("the frame is not msgpack of this protocol");
    }
    if (parsed_bytes != size) {
        throw frame_error("bytes follow the message");
    }
    return std::move(into.tokens);
}

/// Reads the tokens of a frame in order as typed values. Throws `frame_error` when the next token
/// has another type than expected, or a value out of range.
class reader {
public:
    explicit reader(const std::vector<token>& tokens) : tokens_(tokens) {}

    std::uint32_t array() { return next(token::kind::array).size; }

    void expect_array(std::size_t size)
    {
        if (array() != size) {
            throw frame_error("an array of the wrong size");
        }
    }

    std::uint64_t number(std::uint64_t max)
    {
        const auto value = next(token::kind::number).number;
        if (value > max) {
            throw frame_error("a number above its range");
        }
        return value;
    }

    template <typename T>
    void value(T& into)
    {
        if constexpr (detail::has_fields<T>) {
            auto members = detail::fields(into);
            expect_array(std::tuple_size_v<decltype(members)>);
            std::apply([this](auto&... member) { (this->value(member), ...); }, members);
        }
        else if constexpr (detail::is_id<T>) {
            value(into.value);
        }
        else if constexpr (std::is_enum_v<T>) {
            into = static_cast<T>(number(detail::highest_enumerator<T>));
        }
        else {
            static_assert(std::is_unsigned_v<T>);
            into = static_cast<T>(number(std::numeric_limits<T>::max()));
        }
    }

    void value(bool& into) { into = next(token::kind::boolean).number != 0; }

    /// An HTTP status, the only signed member of a message.
    void value(int& into) { into = static_cast<int>(number(max_status)); }

    void value(milliseconds& into)
    {
        into = milliseconds{number(static_cast<std::uint64_t>(max_duration.count()))};
    }

    void value(std::string& into)
    {
        const auto& text = next(token::kind::text);
        into.assign(text.text, text.size);
    }

    void value(ownership::gossip_item& into)
    {
        expect_array(2);
        const auto type = number(std::variant_size_v<ownership::gossip_item> - 1);
        emplace_alternative(into, type);
        std::visit([this](auto& item) { this->value(item); }, into);
    }

    template <typename T>
    void value(std::vector<T>& into)
    {
        // Does not reserve memory: the announced size may be far above the number of values that
        // follow.
        for (auto remaining = array(); remaining > 0; --remaining) {
            value(into.emplace_back());
        }
    }

    template <typename First, typename Second>
    void value(std::pair<First, Second>& into)
    {
        expect_array(2);
        value(into.first);
        value(into.second);
    }

    template <typename Key, typename Value>
    void value(std::map<Key, Value>& into)
    {
        for (auto remaining = array(); remaining > 0; --remaining) {
            std::pair<Key, Value> item;
            value(item);
            if (!into.emplace(std::move(item)).second) {
                throw frame_error("a key appears twice");
            }
        }
    }

    /// Sets a variant to a default value of the alternative with this index.
    template <typename... Types>
    static void emplace_alternative(std::variant<Types...>& into, std::uint64_t index)
    {
        using emplacer = void (*)(std::variant<Types...>&);
        static constexpr std::array<emplacer, sizeof...(Types)> emplacers = {
            [](std::variant<Types...>& target) { target.template emplace<Types>(); }...};
        emplacers.at(index)(into);
    }

private:
    const token& next(token::kind expected)
    {
        if (position_ == tokens_.size() || tokens_[position_].type != expected) {
            throw frame_error("a value of the wrong type");
        }
        return tokens_[position_++];
    }

    const std::vector<token>& tokens_;
    std::size_t position_ = 0;
};

void read_content(reader& input, std::uint64_t type, body& into)
{
    if (type < detail::first_non_ownership_type) {
        ownership::message message;
        reader::emplace_alternative(message, type);
        std::visit([&](auto& content) { input.value(content); }, message);
        into = std::move(message);
        return;
    }
    reader::emplace_alternative(into, type - detail::first_non_ownership_type + 1);
    std::visit(
        [&](auto& content) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(content)>, ownership::message>) {
                input.value(content);
            }
        },
        into);
}

} // namespace

frame decode(const char* bytes, std::size_t size)
{
    if (size > max_frame_bytes) {
        throw frame_error("frame of " + std::to_string(size) + " bytes is above the limit");
    }
    const auto tokens = tokenize(bytes, size);
    reader input(tokens);
    input.expect_array(3);
    if (tokens.size() > 1) {
        check_version(tokens[1]);
    }
    input.number(protocol_version);
    const auto type = input.number(std::numeric_limits<std::uint64_t>::max());
    if (type >= detail::message_type_count) {
        throw unknown_type("message type " + std::to_string(type) + " is not defined");
    }
    frame result;
    input.expect_array(4);
    input.value(result.from);
    input.value(result.to);
    input.value(result.reply_address);
    read_content(input, type, result.content);
    return result;
}

} // namespace bulrushgw::wire
