#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcuptiller::internal {

// Assigns consecutive indexes, starting at 0, to names in the order in which they are first seen.
template <typename Name>
class name_table
{
public:
    std::uint32_t intern(const Name &name)
    {
        const auto [found, isNew] =
            m_positions.try_emplace(name, static_cast<std::uint32_t>(m_names.size()));
        if (isNew)
            m_names.push_back(name);
        return found->second;
    }

    [[nodiscard]] std::optional<std::uint32_t> find(const Name &name) const
    {
        const auto found = m_positions.find(name);
        return found == m_positions.end() ? std::nullopt : std::optional(found->second);
    }

    [[nodiscard]] const Name &name(std::uint32_t position) const { return m_names.at(position); }
    [[nodiscard]] std::size_t size() const { return m_names.size(); }

private:
    std::unordered_map<Name, std::uint32_t> m_positions;
    std::vector<Name> m_names;
};

} // namespace kingcuptiller::internal
