#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

// Strong types for the identifiers of the system. A bare string or integer never crosses a module's
// border: two identifiers of different kinds cannot be mixed up or compared.

namespace kingcuptiller {

// A text identifier. Instances are immutable values; `Tag` makes each kind a type of its own.
template <typename Tag>
class text_identifier
{
public:
    text_identifier() = default;
    explicit text_identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    [[nodiscard]] const std::string &text() const { return m_text; }
    [[nodiscard]] bool empty() const { return m_text.empty(); }

    auto operator<=>(const text_identifier &) const = default;

private:
    std::string m_text;
};

// A number that counts up. `next()` returns the successor; values of different kinds do not mix.
template <typename Tag>
class number_identifier
{
public:
    constexpr number_identifier() = default;
    constexpr explicit number_identifier(std::uint64_t number)
        : m_number(number)
    {
    }

    [[nodiscard]] constexpr std::uint64_t number() const { return m_number; }
    [[nodiscard]] constexpr number_identifier next() const
    {
        return number_identifier(m_number + 1);
    }

    constexpr auto operator<=>(const number_identifier &) const = default;

private:
    std::uint64_t m_number = 0;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &stream, const text_identifier<Tag> &identifier)
{
    return stream << identifier.text();
}

template <typename Tag>
std::ostream &operator<<(std::ostream &stream, const number_identifier<Tag> &identifier)
{
    return stream << identifier.number();
}

// Places and processes.
using host_id = text_identifier<struct host_id_tag>;
using region_name = text_identifier<struct region_name_tag>;
using zone_name = text_identifier<struct zone_name_tag>;
using upstream_id = text_identifier<struct upstream_id_tag>;
// Drawn at random when a process starts (entries, upstreams) or when a data folder is made
// (control).
using incarnation_id = text_identifier<struct incarnation_id_tag>;
// "IP:port".
using endpoint_address = text_identifier<struct endpoint_address_tag>;

// A group of upstreams that serve the same requests.
using service_name = text_identifier<struct service_name_tag>;

// A customer on whose behalf clients send requests.
using account_name = text_identifier<struct account_name_tag>;

// Work and operators' changes.
using class_name = text_identifier<struct class_name_tag>;
using request_key = text_identifier<struct request_key_tag>;
// Drawn at random by an entry for each sending of a non-idempotent request.
using attempt_id = text_identifier<struct attempt_id_tag>;
using change_id = text_identifier<struct change_id_tag>;
using stop_id = text_identifier<struct stop_id_tag>;
// Hexadecimal xxhash64 of a request body.
using body_hash = text_identifier<struct body_hash_tag>;

// Counters of the replicated state.
// Goes up by one for each accepted change of configuration.
using revision_number = number_identifier<struct revision_number_tag>;
// Goes up by one for each change of the slot shares or the list of entries.
using assignment_sequence = number_identifier<struct assignment_sequence_tag>;
// The leader's term in the replicated log.
using epoch_number = number_identifier<struct epoch_number_tag>;
using log_index = number_identifier<struct log_index_tag>;

} // namespace kingcuptiller

template <typename Tag>
struct std::hash<kingcuptiller::text_identifier<Tag>>
{
    std::size_t operator()(const kingcuptiller::text_identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.text());
    }
};

template <typename Tag>
struct std::hash<kingcuptiller::number_identifier<Tag>>
{
    std::size_t operator()(const kingcuptiller::number_identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::uint64_t>()(identifier.number());
    }
};
